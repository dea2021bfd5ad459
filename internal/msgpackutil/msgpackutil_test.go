package msgpackutil

import (
	"runtime"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

type item struct {
	Name  string
	Lists [][]int64
	Pad   [16]int64
}

// Guards against running out of memory on a row, an object or a peer's patch that
// is truncated or foreign: lists were allocated with the length in their header.
func TestIncompleteInputAllocatesLittle(t *testing.T) {
	const maxAllocated = 1 << 20
	complete, err := msgpack.Marshal([]item{{Name: "a", Lists: [][]int64{{1}, {2, 3}}}})
	is := is.New(t)
	is.NoErr(err)
	var got []item
	is.NoErr(Unmarshal(complete, &got))
	is.Equal(got[0].Lists, [][]int64{{1}, {2, 3}})
	for _, b := range [][]byte{
		{0xdd, 0x7f, 0xff, 0xff, 0xff}, // two billion items
		{0x91, 0x93, 0xa0, 0xdd, 0x7f, 0xff, 0xff, 0xff, 0xdd, 0x7f, 0xff, 0xff, 0xff}, // lists of lists
		{0xdf, 0x7f, 0xff, 0xff, 0xff}, // a map
		complete[:len(complete)-1],
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		var v []item
		is.True(Unmarshal(b, &v) != nil)
		runtime.ReadMemStats(&after)
		is.True(after.TotalAlloc-before.TotalAlloc < maxAllocated)
	}
}
