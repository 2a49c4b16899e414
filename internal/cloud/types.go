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

const typesKey = "cloud/types"

// Store is the part of the key-value store's client that TypeCache needs.
type Store interface {
	Get(ctx context.Context, p state.Priority, key string) (wire.Item, error)
	Txn(ctx context.Context, p state.Priority, txn wire.Txn) (uint64, error)
}

// Source is the part of the cloud's client that TypeCache needs.
type Source interface {
	Types(ctx context.Context) ([]wire.MachineType, error)
}

// TypeCache holds the cloud's machine types. They are cached in the store too, so
// that a controller that starts while the cloud is unavailable can still place work.
type TypeCache struct {
	client        Source
	store         Store
	maxValueBytes int // bytes that a value of the store may have
	log           *slog.Logger

	mu     sync.Mutex
	types  []wire.MachineType
	loaded chan struct{}
}

// retryInterval is how often the types are asked for until they are known.
const retryInterval = 500 * time.Millisecond

// NewTypeCache makes a TypeCache; Run fills it. A value of the store may have at most
// maxValue bytes; types that do not fit are not cached in the store.
func NewTypeCache(client Source, store Store, maxValue int, log *slog.Logger) *TypeCache {
	return &TypeCache{client: client, store: store, maxValueBytes: maxValue, log: log, loaded: make(chan struct{})}
}

// Types returns the machine types, nil while they are not known.
func (o *TypeCache) Types() []wire.MachineType {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.types
}

// Wait waits until the machine types are known.
func (o *TypeCache) Wait(ctx context.Context) error {
	select {
	case <-o.loaded:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run asks the store and the cloud until one tells the types.
func (o *TypeCache) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		types, err := o.read(ctx)
		if err == nil && len(types) > 0 {
			o.mu.Lock()
			o.types = types
			o.mu.Unlock()
			close(o.loaded)
			o.log.Info("machine types known", "count", len(types))
			return nil
		}
		o.log.Info("machine types not known yet", "err", err)
		wait.Sleep(ctx, retryInterval)
	}
	return nil
}

func (o *TypeCache) read(ctx context.Context) ([]wire.MachineType, error) {
	item, err := o.store.Get(ctx, state.Safety, typesKey)
	if err == nil {
		var types []wire.MachineType
		err = json.Unmarshal(item.Value, &types)
		return types, err
	}
	types, cloudErr := o.client.Types(ctx)
	if cloudErr != nil {
		return nil, errors.Join(err, cloudErr)
	}
	if errors.Is(err, state.ErrNotFound) {
		// What does not fit a value is asked of the cloud at each start.
		if value, err := json.Marshal(types); err == nil && len(value) <= o.maxValueBytes {
			// Whoever is first writes it; failing is no harm.
			_, err = o.store.Txn(ctx, state.Submission, wire.Txn{
				If:   []wire.Condition{{Key: typesKey}},
				Then: []wire.Change{{Put: typesKey, Value: value}},
			})
			o.log.Debug("machine types written", "err", err)
		}
	}
	return types, nil
}
