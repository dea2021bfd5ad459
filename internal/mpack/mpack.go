// Package mpack decodes MessagePack that was written by somebody else: rows and
// objects of the platform, and what peers hand on within their messages.
package mpack

import "github.com/vmihailenco/msgpack/v5"

// Unmarshal decodes b into v, as msgpack.Unmarshal does.
//
// The library makes a list as long as its head says, a million elements at a time
// and for lists within lists each anew: ten bytes were seen to ask for 60 GB, and
// the node ended for want of memory. So b is first skipped through, which fails
// unless it is complete; then each element has at least one byte.
func Unmarshal(b []byte, v any) error {
	var raw msgpack.RawMessage
	if err := msgpack.Unmarshal(b, &raw); err != nil {
		return err
	}
	return msgpack.Unmarshal(raw, v)
}
