package dataplane

import (
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/matryer/is"

	"peardrift/internal/wire"
)

// Checks that the fast traceparent parser agrees with the library's.
func TestTraceparentParsersAgree(t *testing.T) {
	is := is.New(t)
	var h protocol.RequestHeader
	want := traceContext{newID(), newSpan(), true}
	want.set(&h)
	got, ok := traceOf(&h)
	is.True(ok)
	is.Equal(got, want)
	for value, valid := range map[string]bool{
		"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01":       true,
		"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-03":       true,
		"cc-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-extra": true,
		"00-00000000000000000000000000000000-b7ad6b7169203331-01":       false,
		"00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01":       false,
		"00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01":       false,
		"00-0af7651916cd43dd8448eb211c80319cxb7ad6b7169203331-01":       false,
		"": false,
	} {
		h.Set(wire.HeaderTraceparent, value)
		_, ok := traceOf(&h)
		if ok != valid {
			t.Errorf("%q: valid %t", value, ok)
		}
	}
}
