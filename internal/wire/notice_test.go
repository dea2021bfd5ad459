package wire

import (
	"math"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"
)

func TestGetNotice(t *testing.T) {
	d := Dialect{RateLimit: []string{"Limit", "X-Limit"}, Leaving: []string{"Leaving"}, Signature: "Signed", NotExecuted: "Not-Run"}
	inf := math.Inf(1)
	tests := []struct {
		name    string
		headers map[string]string
		want    Notice
		ok      bool
	}{
		{"says nothing", map[string]string{"Signed": "x"}, Notice{RateLimit: inf}, true},
		{"not the target's", map[string]string{"Limit": "3", "Leaving": "1"}, Notice{}, false},
		{"a limit", map[string]string{"Signed": "x", "Limit": "22.9"}, Notice{RateLimit: 22.9}, true},
		{"the other spelling", map[string]string{"Signed": "x", "X-Limit": "0.25"}, Notice{RateLimit: 0.25}, true},
		{"in an answer that did not run", map[string]string{"Not-Run": "1", "Limit": "5"}, Notice{RateLimit: 5}, true},
		{"a limit of zero", map[string]string{"Signed": "x", "Limit": "0"}, Notice{}, true},
		{"negative", map[string]string{"Signed": "x", "Limit": "-1"}, Notice{RateLimit: inf}, false},
		{"no number", map[string]string{"Signed": "x", "Limit": "many"}, Notice{RateLimit: inf}, false},
		{"NaN", map[string]string{"Signed": "x", "Limit": "NaN"}, Notice{RateLimit: inf}, false},
		{"infinite", map[string]string{"Signed": "x", "Limit": "1e999"}, Notice{RateLimit: inf}, false},
		{"leaving", map[string]string{"Signed": "x", "Leaving": "1"}, Notice{RateLimit: inf, Leaving: true}, true},
		{"not leaving", map[string]string{"Signed": "x", "Leaving": "0"}, Notice{RateLimit: inf}, true},
		{"leaving with a malformed limit", map[string]string{"Signed": "x", "Leaving": "1", "Limit": "?"}, Notice{RateLimit: inf, Leaving: true}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var h protocol.ResponseHeader
			for k, v := range tt.headers {
				h.Set(k, v)
			}
			n, ok := d.GetNotice(&h)
			is.Equal(n, tt.want)
			is.Equal(ok, tt.ok)
		})
	}
}
