package autoscale

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"heronwick/internal/duty"
	"heronwick/internal/state"
	"heronwick/internal/wait"
)

// ReturnReason says why a machine is returned to the cloud. It is logged and stored in
// the return intent.
type ReturnReason string

// The reasons to return a machine. ReasonNone means that it is not returned.
const (
	ReasonNone              ReturnReason = ""
	ReasonIdle              ReturnReason = "idle"
	ReasonFailed            ReturnReason = "failed"
	ReasonNeverBooted       ReturnReason = "never came up"
	ReasonExistingIntent    ReturnReason = "condemned by its owner before"
	ReasonLost              ReturnReason = "lost"
	ReasonOverdueTask       ReturnReason = "a cancelled task may still be on it"
	ReasonUnreachable       ReturnReason = "nothing reaches it"
	ReasonQuarantined       ReturnReason = "set aside"
	ReasonSendsNoHeartbeats ReturnReason = "it reaches nobody"
)

const (
	// overdueRecordTimeout bounds how long the return of a machine with an overdue
	// cancelled task waits for its intent to be recorded.
	overdueRecordTimeout = time.Second
	// A failed return is retried after returnRetryDelay plus a random part of
	// returnRetryJitter.
	returnRetryDelay  = 300 * time.Millisecond
	returnRetryJitter = 400 * time.Millisecond
)

// ReturnActions records return intents before the return requests are sent, and sends the
// requests. It is implemented by *duty.Actions.
type ReturnActions interface {
	RecordReturn(ctx context.Context, id duty.ID, fence state.FencingCondition, machines []string, reason string) (duty.ReturnIntent, error)
	SendReturn(ctx context.Context, intent duty.ReturnIntent) error
	SendUnrecordedReturn(ctx context.Context, id duty.ID, machines []string) error
}

// Return is a set of machines to return together.
type Return struct {
	Duty     duty.ID                // the duty under which the machines are returned
	Fence    state.FencingCondition // the condition under which the intent is recorded
	Machines []string
	Reason   ReturnReason
}

// Returner returns machines to the cloud. It calls its functions without holding a lock.
type Returner struct {
	Actions ReturnActions
	// OnReleased is called with machines that the cloud has taken back. The machines and
	// everything that ran on them are gone.
	OnReleased func(machines []string)
	// OnRecordFailure is called with machines that are kept because the intent to return
	// them could not be recorded.
	OnRecordFailure func(machines []string)
	Log             *slog.Logger
}

// Execute records the intent to return the machines, and then returns them, with retries
// until the cloud confirms it or ctx ends. If the intent cannot be recorded, it calls
// OnRecordFailure instead, unless the reason is ReasonOverdueTask.
func (r *Returner) Execute(ctx context.Context, ret Return) {
	send, err := r.record(ctx, ret)
	if err != nil {
		r.Log.Info("machines are not returned for now", "machines", ret.Machines, "err", err)
		r.OnRecordFailure(ret.Machines)
		return
	}
	for {
		err := send(ctx)
		if err == nil {
			break
		}
		r.Log.Info("failed to return machines; will retry", "machines", ret.Machines, "err", err)
		if !wait.Sleep(ctx, returnRetryDelay+rand.N(returnRetryJitter)) {
			return
		}
	}
	r.OnReleased(ret.Machines)
}

// record records the return intent and returns the function that sends the return
// request. A cancelled task must be gone by its deadline even if the store is
// unavailable, so the machine of an overdue task is returned without an intent if none
// can be recorded.
func (r *Returner) record(ctx context.Context, ret Return) (send func(context.Context) error, err error) {
	recordCtx, overdue := ctx, ret.Reason == ReasonOverdueTask
	if overdue {
		var cancel context.CancelFunc
		recordCtx, cancel = context.WithTimeout(ctx, overdueRecordTimeout)
		defer cancel()
	}
	intent, err := r.Actions.RecordReturn(recordCtx, ret.Duty, ret.Fence, ret.Machines, string(ret.Reason))
	if err != nil && overdue {
		return func(ctx context.Context) error { return r.Actions.SendUnrecordedReturn(ctx, ret.Duty, ret.Machines) }, nil
	}
	return func(ctx context.Context) error { return r.Actions.SendReturn(ctx, intent) }, err
}
