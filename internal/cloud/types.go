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

// Store is the part of the key-value store's client that TypeCache needs.
type Store interface {
	Get(ctx context.Context, p state.Priority, key string) (wire.Item, error)
	Txn(ctx context.Context, p state.Priority, txn wire.Txn) (uint64, error)
}

// Source is the part of the cloud's client that TypeCache needs, see Client.
type Source interface {
	Types(ctx context.Context) ([]wire.MachineType, error)
}

// retryInterval is how long a failed read of the types waits before it is retried.
const retryInterval = 500 * time.Millisecond

// TypeCache holds the cloud's machine types. They are cached in the store too, so
// that a controller that starts while the cloud is unavailable can still place work.
// It is safe for concurrent use.
type TypeCache struct {
	source        Source
	store         Store
	maxValueBytes int // of a value of the store
	log           *slog.Logger
	loaded        chan struct{} // closed once the types are known

	mu    sync.Mutex
	types []wire.MachineType
}

// NewTypeCache makes a TypeCache; Run fills it. A value of the store may have at most
// maxValue bytes; types that do not fit are not cached in the store.
func NewTypeCache(source Source, store Store, maxValue int, log *slog.Logger) *TypeCache {
	return &TypeCache{source: source, store: store, maxValueBytes: maxValue, log: log, loaded: make(chan struct{})}
}

// Types returns the machine types, nil while they are not known.
func (c *TypeCache) Types() []wire.MachineType {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.types
}

// WaitUntilLoaded waits until the machine types are known. The error is that of ctx.
func (c *TypeCache) WaitUntilLoaded(ctx context.Context) error { return wait.For(ctx, c.loaded) }

// Run reads the types from the store or the cloud, again and again until it has them
// or ctx ends.
func (c *TypeCache) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		types, err := c.read(ctx)
		if err == nil && len(types) > 0 {
			c.set(types)
			c.log.Info("machine types known", "count", len(types))
			return nil
		}
		c.log.Info("machine types not known yet", "err", err)
		wait.Sleep(ctx, retryInterval)
	}
	return nil
}

// set makes the types known. It is called once.
func (c *TypeCache) set(types []wire.MachineType) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.types = types
	close(c.loaded)
}

// read reads the types from the store, or else from the cloud.
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

// write caches the types in the store, unless another controller has done so. Types
// that do not fit a value are read from the cloud at each start.
func (c *TypeCache) write(ctx context.Context, types []wire.MachineType) {
	value, err := json.Marshal(types)
	if err != nil || len(value) > c.maxValueBytes {
		return
	}
	_, err = c.store.Txn(ctx, state.Submission, wire.Txn{
		If:   []wire.Condition{{Key: typesKey}},
		Then: []wire.Change{{Put: typesKey, Value: value}},
	})
	c.log.Debug("machine types written", "err", err)
}
