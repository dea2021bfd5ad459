package latency

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peardrift/internal/status"
)

func TestComparisonFailsOverBound(t *testing.T) {
	sample := func(cpu, allocs, bytes float64) samples {
		return samples{"Request/hop/nodes": {unitCPU: {cpu * 1.5, cpu}, unitAllocs: {allocs}, unitBytes: {bytes}}}
	}
	withoutBytes := func(cpu, allocs float64) samples { return sample(cpu, allocs, 1e4) }
	c := Comparison{BaseRevision: "before", MaxCPU: 1.3, MaxAllocs: 1.05, MaxBytes: 1.2}
	for name, tt := range map[string]struct {
		other, this samples
		ok          bool
	}{
		"the same":             {withoutBytes(1, 100), withoutBytes(1, 100), true},
		"within the bounds":    {withoutBytes(1, 100), withoutBytes(1.29, 105), true},
		"more processor time":  {withoutBytes(1, 100), withoutBytes(1.31, 100), false},
		"more allocations":     {withoutBytes(1, 100), withoutBytes(1, 106), false},
		"more bytes":           {withoutBytes(1, 100), sample(1, 100, 1.21e4), false},
		"nothing to compare":   {samples{}, withoutBytes(1, 100), false},
		"less of everything":   {withoutBytes(1, 100), withoutBytes(0.5, 50), true},
		"a benchmark is added": {withoutBytes(1, 100), withBenchmark(withoutBytes(1, 100), "Request/new"), true},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			err := c.report(tt.other, tt.this, &out)
			is := is.New(t)
			is.Equal(err == nil, tt.ok)
			is.True(tt.ok || errors.Is(err, &status.Error{Code: CodeRegression}))
		})
	}
}

func withBenchmark(s samples, name string) samples {
	s[name] = map[string][]float64{unitCPU: {1}, unitAllocs: {1}}
	return s
}
