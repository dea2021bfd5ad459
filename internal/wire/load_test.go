package wire

import (
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"
)

// Guards against load figures that are malformed, out of range or not the target's own, and
// are acted on.
func TestGetLoad(t *testing.T) {
	d := Dialect{Load: "Load", Signature: "Signed", NotExecuted: "Not-Run"}
	tests := []struct {
		value string
		want  Load
		ok    bool
	}{
		{"3,0,42", Load{Running: 3, Slots: 42}, true},
		{"3,1,42,250", Load{3, 1, 42, 250}, true},
		{" 3, 1 ,42,\t250", Load{3, 1, 42, 250}, true},
		{"3,1", Load{}, false},
		{"3,1,42,250,7", Load{}, false},
		{"3,1,42,", Load{}, false},
		{"3,1,0,100", Load{}, false},
		{"3,1,42,0", Load{}, false},
		{"3,1,42,10001", Load{}, false},
		{"3,1,42,-50", Load{}, false},
		{"3,1,42,1e2", Load{}, false},
		{"3,1,42,100.0", Load{}, false},
		{"3;1;42;100", Load{}, false},
		{"9999999,1,42,100", Load{}, false},
		{"99999999999999999999,1,42,100", Load{}, false},
		{strings.Repeat("1,", 1000), Load{}, false},
		{"", Load{}, false},
	}
	for _, mark := range []string{"Signed", "Not-Run", ""} {
		for _, tt := range tests {
			t.Run(mark+" "+tt.value[:min(len(tt.value), 20)], func(t *testing.T) {
				is := is.New(t)
				var h protocol.ResponseHeader
				h.Set("Load", tt.value)
				if mark != "" {
					h.Set(mark, "x")
				}
				got, ok := d.GetLoad(&h)
				is.Equal(ok, tt.ok && mark != "")
				if ok {
					is.Equal(got, tt.want)
				}
				_, ok = new(Dialect).GetLoad(&h)
				is.True(!ok)
			})
		}
	}
}

// Guards against an allocation for each answer that states a load.
func TestGetLoadDoesNotAllocate(t *testing.T) {
	d := Dialect{Load: "Load"}
	var h protocol.ResponseHeader
	h.Set("Load", "3,1,42,250")
	if n := testing.AllocsPerRun(1000, func() { d.GetLoad(&h) }); n != 0 {
		t.Fatalf("%v allocations, want 0", n)
	}
}
