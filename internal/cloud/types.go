package cloud

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

// typesKey is the key that holds the machine types.
const typesKey = "cloud/types"

// Store is the part of the key-value store client that TypeCache uses.
type Store interface {
	Get(ctx context.Context, p state.Priority, key string) (wire.Item, error)
	Txn(ctx context.Context, p state.Priority, txn wire.Txn) (uint64, error)
}

// Source is the part of Client that TypeCache uses.
type Source interface {
	Types(ctx context.Context) ([]wire.MachineType, error)
}

// retryInterval is the delay between attempts to read the types.
const retryInterval = 500 * time.Millisecond

// TypeCache holds the cloud's machine types. It also stores them in the key-value store,
// so that a controller that starts while the cloud is unavailable can still place tasks.
// It is safe for concurrent use.
type TypeCache struct {
	source        Source
	store         Store
	maxValueBytes int // limit of the store on the size of a value
	log           *slog.Logger
	loaded        chan struct{} // closed once types is set

	mu    sync.Mutex
	types []wire.MachineType
}

// NewTypeCache returns an empty TypeCache, which Run fills. The types are not stored in the
// key-value store if they exceed maxSize bytes, the limit of the store on a value.
func NewTypeCache(source Source, store Store, maxSize int, log *slog.Logger) *TypeCache {
	return &TypeCache{source: source, store: store, maxValueBytes: maxSize, log: log, loaded: make(chan struct{})}
}

// Types returns the machine types, or nil if they are not loaded yet.
func (c *TypeCache) Types() []wire.MachineType {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.types
}

// WaitUntilLoaded waits until the machine types are loaded. It returns the error of ctx if
// ctx ends first.
func (c *TypeCache) WaitUntilLoaded(ctx context.Context) error { return wait.For(ctx, c.loaded) }

// Run reads the types from the store or the cloud and retries until it succeeds or ctx
// ends.
func (c *TypeCache) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		types, err := c.read(ctx)
		if err == nil && len(types) > 0 {
			c.set(types)
			c.log.Info("machine types loaded", "count", len(types))
			return nil
		}
		c.log.Info("machine types not loaded yet; will retry", "err", err)
		wait.Sleep(ctx, retryInterval)
	}
	return nil
}

// set sets the types and unblocks WaitUntilLoaded. It must be called only once.
func (c *TypeCache) set(types []wire.MachineType) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.types = types
	close(c.loaded)
}

// read returns the types from the store or, if the store does not return a value, from the
// cloud. Types read from the cloud are stored if the store has none.
func (c *TypeCache) read(ctx context.Context) ([]wire.MachineType, error) {
	item, err := c.store.Get(ctx, state.Safety, typesKey)
	if err == nil {
		var types []wire.MachineType
		err = json.Unmarshal(item.Value, &types)
		return types, err
	}
	types, cloudErr := c.source.Types(ctx)
	if cloudErr != nil {
		return nil, errors.Join(err, cloudErr)
	}
	if errors.Is(err, state.ErrNotFound) {
		c.write(ctx, types)
	}
	return types, nil
}

// write stores the types in the key-value store, unless another controller has already
// done so. Types that exceed the size of a value are read from the cloud at each start.
func (c *TypeCache) write(ctx context.Context, types []wire.MachineType) {
	value, err := json.Marshal(types)
	if err != nil || len(value) > c.maxValueBytes {
		return
	}
	_, err = c.store.Txn(ctx, state.Submission, wire.Txn{
		If:   []wire.Condition{{Key: typesKey}},
		Then: []wire.Change{{Put: typesKey, Value: value}},
	})
	c.log.Debug("tried to write the machine types to the store", "err", err)
}
