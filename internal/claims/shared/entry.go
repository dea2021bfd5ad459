package shared

import (
	"errors"

	"peardrift/internal/core/claim"
	"peardrift/internal/core/claim/batch"
	"peardrift/internal/port"
)

// entryOf returns what a read of a shared row says of one claim in it.
func entryOf(item port.Item, err error, key string) claim.Event {
	switch {
	case errors.Is(err, port.ErrNotFound):
		return claim.RowRead{}
	case err != nil:
		return claim.ReadFailed{}
	}
	entries, err := batch.Decode(item.Value)
	if err != nil {
		// Written by a newer node, over a row that may have had our claim:
		// RowUnreadable would say that it had not.
		return claim.ReadFailed{}
	}
	e, ok := entries[key]
	if !ok {
		return claim.RowRead{}
	}
	row, err := claim.Decode(e.Version, unpack(e.Token), e.Value)
	if err != nil {
		return claim.RowUnreadable{}
	}
	return claim.RowRead{Row: row}
}
