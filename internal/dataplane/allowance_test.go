package dataplane

import (
	"testing"

	"github.com/matryer/is"

	"peardrift/internal/core/confset"
	"peardrift/internal/core/retry"
)

// Symptom: 3% of the lookups fail when one answer in a hundred is lost, though
// the trials that set the allowance completed 99%. Events: operators declare no
// attempts for the class. Cause: the configuration's default was 1, and not the
// one that the policy was measured with.
func TestClassesHaveTheAllowanceThatWasMeasured(t *testing.T) {
	is := is.New(t)
	is.Equal(confset.DefaultAttempts, retry.DefaultConfig().Attempts)
}
