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

// VersionAfterFailedWrite reads the version of a key after a write of it has failed
// with err. ok is false if the version could not be read, or if err is a conflict on
// other keys, after which the version has not changed. It is meant for keys that only
// the caller writes, so that the value in the store is from a write of its own or of
// an earlier epoch.
func VersionAfterFailedWrite(ctx context.Context, reader Reader, p Priority, key string, err error) (version uint64, ok bool) {
	var conflict *Conflict
	if ctx.Err() != nil || errors.As(err, &conflict) && !conflict.Includes(key) {
		return 0, false
	}
	item, err := reader.Get(ctx, p, key)
	return item.Version, err == nil || errors.Is(err, ErrNotFound)
}
