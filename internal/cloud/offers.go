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

// Store is the part of the state service's client that Offers needs.
type Store interface {
	Get(ctx context.Context, p state.Priority, key string) (wire.Item, error)
	Txn(ctx context.Context, p state.Priority, txn wire.Txn) (uint64, error)
}

// Source is the part of the cloud's client that Offers needs.
type Source interface {
	Types(ctx context.Context) ([]wire.MachineType, error)
}

// Offers knows the machine types. They are kept in the store too, so that a
// controller that starts while the cloud is away can decide.
type Offers struct {
	client Source
	store  Store
	most   int // bytes that a value of the store may have
	log    *slog.Logger

	mu    sync.Mutex
	types []wire.MachineType
	known chan struct{}
}

// askTypesEvery is how often the types are asked for until they are known.
const askTypesEvery = 500 * time.Millisecond

// NewOffers makes Offers; Run fills them. A value of the store may have maxValue
// bytes.
func NewOffers(client Source, store Store, maxValue int, log *slog.Logger) *Offers {
	return &Offers{client: client, store: store, most: maxValue, log: log, known: make(chan struct{})}
}

// Types returns the machine types, nil while they are not known.
func (o *Offers) Types() []wire.MachineType {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.types
}

// Wait waits until the machine types are known.
func (o *Offers) Wait(ctx context.Context) error {
	select {
	case <-o.known:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run asks the store and the cloud until one tells the types.
func (o *Offers) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		types, err := o.read(ctx)
		if err == nil && len(types) > 0 {
			o.mu.Lock()
			o.types = types
			o.mu.Unlock()
			close(o.known)
			o.log.Info("machine types known", "count", len(types))
			return nil
		}
		o.log.Info("machine types not known yet", "err", err)
		wait.For(ctx, askTypesEvery)
	}
	return nil
}

func (o *Offers) read(ctx context.Context) ([]wire.MachineType, error) {
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
		if value, err := json.Marshal(types); err == nil && len(value) <= o.most {
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
