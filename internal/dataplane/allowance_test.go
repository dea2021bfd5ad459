package dataplane

import (
	"testing"

	"github.com/matryer/is"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/retry"
)

// Guards against a configuration default that differs from the measured policy. With a
// default of 1 for classes that declare no attempts, 3% of the lookups failed when 1%
// of the answers were lost; the measured allowance completed 99%.
func TestDefaultAttemptsMatchRetryConfig(t *testing.T) {
	is := is.New(t)
	is.Equal(configset.DefaultAttempts, retry.DefaultConfig().Attempts)
}
