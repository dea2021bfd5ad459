// Package msgpackutil decodes untrusted MessagePack: rows and objects of the platform,
// and data that peers forward in their messages.
package msgpackutil

import "github.com/vmihailenco/msgpack/v5"

// Unmarshal decodes b into v, as msgpack.Unmarshal does.
//
// The library allocates as many elements as a list header announces, a million at
// a time and again for each nested list: ten bytes requested 60 GB, and the node
// ran out of memory. Unmarshal therefore skips through b first, which fails unless
// b is complete; in complete input each element takes at least one byte.
func Unmarshal(b []byte, v any) error {
	var raw msgpack.RawMessage
	if err := msgpack.Unmarshal(b, &raw); err != nil {
		return err
	}
	return msgpack.Unmarshal(raw, v)
}
