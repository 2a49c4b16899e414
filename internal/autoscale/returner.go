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

// ReturnReason is why a machine is returned to the cloud. It is logged and
// stored in the return intent.
type ReturnReason string

// The reasons to return a machine.
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
	ReasonRestarted         ReturnReason = "its worker has started anew"
)

const (
	// overdueRecordTime is how long recording the return of a machine may take
	// when a cancelled task must be gone from it.
	overdueRecordTime = time.Second
	// returnRetryAfter and a random part of returnRetryJitter are how long after
	// a return that failed it is tried again.
	returnRetryAfter  = 300 * time.Millisecond
	returnRetryJitter = 400 * time.Millisecond
)

// ReturnActions records returns before they are sent, and sends them;
// *duty.Actions does.
type ReturnActions interface {
	RecordReturn(ctx context.Context, id duty.ID, fence state.FencingCondition, machines []string, why string) (duty.ReturnIntent, error)
	SendReturn(ctx context.Context, intent duty.ReturnIntent) error
	SendUnrecordedReturn(ctx context.Context, id duty.ID, machines []string) error
}

// Return is a set of machines to return together, under a duty and on the
// condition fence.
type Return struct {
	Duty     duty.ID
	Fence    state.FencingCondition
	Machines []string
	Reason   ReturnReason
}

// Returner returns machines to the cloud. Its functions are called without any
// lock held.
type Returner struct {
	Actions ReturnActions
	// OnReleased takes the machines that the cloud has taken back: they and all
	// that was on them are gone.
	OnReleased func(machines []string)
	// OnRecordFailure takes the machines whose return could not be recorded.
	OnRecordFailure func(machines []string)
	Log             *slog.Logger
}

// Execute records that machines are to be returned, and returns them: it tries
// until that has succeeded or ctx ends.
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
		r.Log.Info("returning machines failed, trying again", "machines", ret.Machines, "err", err)
		if !wait.Sleep(ctx, returnRetryAfter+rand.N(returnRetryJitter)) {
			return
		}
	}
	r.OnReleased(ret.Machines)
}

// record records the return intent and returns what then carries it out. A
// cancelled task must be gone by a time, also while the store cannot be
// reached: its machine is then returned without an intent.
func (r *Returner) record(ctx context.Context, ret Return) (send func(context.Context) error, err error) {
	recording, overdue := ctx, ret.Reason == ReasonOverdueTask
	if overdue {
		var cancel context.CancelFunc
		recording, cancel = context.WithTimeout(ctx, overdueRecordTime)
		defer cancel()
	}
	intent, err := r.Actions.RecordReturn(recording, ret.Duty, ret.Fence, ret.Machines, string(ret.Reason))
	if err != nil && overdue {
		return func(ctx context.Context) error { return r.Actions.SendUnrecordedReturn(ctx, ret.Duty, ret.Machines) }, nil
	}
	return func(ctx context.Context) error { return r.Actions.SendReturn(ctx, intent) }, err
}
