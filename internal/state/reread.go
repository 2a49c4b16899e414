package state

import (
	"context"
	"errors"

	"heronwick/wire"
)

// Reader reads one key of the key-value store.
type Reader interface {
	Get(ctx context.Context, p Priority, key string) (wire.Item, error)
}

// VersionAfterFailedWrite returns the version that a key has after a write of it has failed with
// err; ok is false if that is not known, or did not change. It is for keys that only
// the caller writes: what is there is an earlier write of its own, or of an earlier
// epoch.
func VersionAfterFailedWrite(ctx context.Context, reader Reader, p Priority, key string, err error) (version uint64, ok bool) {
	var conflict *Conflict
	if ctx.Err() != nil || errors.As(err, &conflict) && !conflict.Includes(key) {
		return 0, false
	}
	item, err := reader.Get(ctx, p, key)
	return item.Version, err == nil || errors.Is(err, ErrNotFound)
}
