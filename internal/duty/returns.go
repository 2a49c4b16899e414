package duty

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"heronwick/internal/state"
	"heronwick/wire"
)

// returnOverheadBytes is an upper bound on the bytes that a returnRecord takes in addition to
// its machines.
const returnOverheadBytes = 256

// nameOverheadBytes is the number of bytes of JSON syntax for each machine name in a record.
const nameOverheadBytes = len(`"",`)

// MaxReturnMachines returns how many of the machines, in order, fit in one intent to return.
func (a *Actions) MaxReturnMachines(machines []string) int {
	return state.CountFittingNames(machines, returnOverheadBytes, nameOverheadBytes, a.opts.MaxValueBytes)
}

// HasReturnIntent reports whether an open intent of any controller returns a machine, so
// that no controller may place tasks on it. It also applies while duties are off.
func (a *Actions) HasReturnIntent(machine string) bool {
	return a.opts.RecordCache.HasReturnIntent(machine)
}

// AbandonedReturns returns the machines, sorted, of open intents to return that only the
// leader completes: those of nodes that are no longer members, and those of earlier holders
// of a duty for the fleet.
func (a *Actions) AbandonedReturns() []string {
	return a.opts.RecordCache.AbandonedReturns(a.opts.Membership().isCurrent)
}

// ReturnIntent is the right to return machines, because an intent is recorded or duties are
// off. The zero ReturnIntent permits nothing.
type ReturnIntent struct {
	id       ID
	token    uint64 // 0 if other intents cover the machines or duties are off
	machines []string
	unfenced bool // duties are off
}

// RecordReturn records an intent to return those of the machines that no open intent covers,
// and returns the right to return all of them. Once the intent is recorded, no controller
// places tasks on the machines, so returning them is safe at any later time. fence makes the
// write fail if the caller's view of who owns the machines is outdated; reason is shown to
// operators. It returns an error of Guard.Check, ErrIntentTooLarge or the error of the write.
func (a *Actions) RecordReturn(ctx context.Context, id ID, fence state.FencingCondition, machines []string, reason string) (ReturnIntent, error) {
	uncovered := slices.DeleteFunc(slices.Clone(machines), a.HasReturnIntent)
	if len(uncovered) == 0 {
		return ReturnIntent{id: id, machines: machines}, nil // needs no Guard, so works even while no controller can hold the duty
	}
	guard, err := a.Guard(id)
	if err != nil {
		return ReturnIntent{}, err
	}
	if guard.unfenced {
		return ReturnIntent{id: id, machines: machines, unfenced: true}, nil
	}
	began := time.Now()
	record := returnRecord{Duty: id.String(), Token: guard.token, Reason: reason, Machines: uncovered}
	if err := a.recordIntent(ctx, guard, fence, state.Urgent, a.newIntentKey(returnPrefix), record); err != nil {
		return ReturnIntent{}, fmt.Errorf("recording the return of %d machines: %w", len(uncovered), err)
	}
	a.recordEvent(EventReturnRecorded, id, wire.DutyEvent{Token: guard.token, Count: len(uncovered), TookS: time.Since(began).Seconds()})
	return ReturnIntent{id: id, token: guard.token, machines: machines}, nil
}

// SendReturn returns machines whose return is recorded. It may be called at any time, even
// after this controller has lost the duty, and after another controller has returned the
// machines and closed the intent.
func (a *Actions) SendReturn(ctx context.Context, intent ReturnIntent) error {
	if len(intent.machines) == 0 {
		return fmt.Errorf("%w: returning machines", ErrNoIntent)
	}
	began := time.Now()
	if err := a.returnMachines(ctx, intent); err != nil {
		return err
	}
	if !intent.unfenced {
		a.recordEvent(EventReturned, intent.id, wire.DutyEvent{Token: intent.token, Count: len(intent.machines), TookS: time.Since(began).Seconds()})
	}
	a.markReturned(intent.machines)
	return nil
}

// SendUnrecordedReturn returns machines without an intent. It is for machines with cancelled
// tasks that must be stopped by a deadline while the store is unreachable, so that no intent
// can be recorded. No other controller can become the owner of such a machine during the
// outage, so the request can do harm only if the cloud executes it after the outage.
func (a *Actions) SendUnrecordedReturn(ctx context.Context, id ID, machines []string) error {
	a.opts.Log.Warn("returning machines without an intent: cancelled tasks must be stopped by their deadline, but the intent could not be recorded", "duty", id, "machines", machines)
	a.recordEvent(EventUnrecorded, id, wire.DutyEvent{Count: len(machines)})
	if err := a.opts.Provider.Return(ctx, machines); err != nil {
		return err
	}
	a.markReturned(machines)
	return nil
}

// returnMachines sends a return, with the fencing token if the Provider checks tokens.
func (a *Actions) returnMachines(ctx context.Context, intent ReturnIntent) error {
	if p, ok := a.opts.Provider.(FencingProvider); ok && intent.token != 0 {
		return p.ReturnFenced(ctx, intent.token, intent.machines)
	}
	return a.opts.Provider.Return(ctx, intent.machines)
}

// markReturned records when machines were returned, for CloseReturns.
func (a *Actions) markReturned(machines []string) {
	if !a.Active() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, machine := range machines {
		a.returned[machine] = time.Now()
	}
}

// maxClosedPerCall is the maximum number of intents that one call of CloseReturns removes.
const maxClosedPerCall = 4

// CloseReturns removes intents whose machines were all returned by this controller. An
// intent stays open until removalKnown reports, for each of its machines, that no controller
// can still believe that the machine exists. id is the cleanup duty under which the intents
// are removed. A call does nothing while another one runs.
func (a *Actions) CloseReturns(ctx context.Context, id ID, removalKnown func(machine string) bool) {
	if !a.beginClosing() {
		return
	}
	defer a.endClosing()
	guard, err := a.Guard(id)
	if err != nil {
		return
	}
	a.pruneReturned()
	pending := func(machine string) bool { return !a.isReturned(machine) || !removalKnown(machine) }
	closed := 0
	for _, open := range a.opts.RecordCache.openReturns() {
		if closed == maxClosedPerCall {
			return
		}
		if slices.ContainsFunc(open.Machines, pending) {
			continue
		}
		closed++
		if a.closeIntent(ctx, guard, open.key, open.version, len(open.Machines)) {
			a.removeReturned(open.Machines)
		}
	}
}

// maxIntentWriteDelay is the longest time by which the write of an intent may take effect
// after its machines were returned. That happens if the write got no response and the
// machines were returned without waiting for it.
const maxIntentWriteDelay = 10 * time.Minute

// pruneReturned removes returned machines that no open intent covers: another controller has
// closed the intent, or there never was one. It keeps them for maxIntentWriteDelay, so that
// CloseReturns also closes an intent that is written late.
func (a *Actions) pruneReturned() {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.returned, func(machine string, at time.Time) bool {
		return !a.opts.RecordCache.HasReturnIntent(machine) && time.Since(at) > maxIntentWriteDelay
	})
}

// beginClosing reports whether CloseReturns may have intents to close and no other call of it
// is running. If so, it marks CloseReturns as running.
func (a *Actions) beginClosing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closing || len(a.returned) == 0 {
		return false
	}
	a.closing = true
	return true
}

func (a *Actions) endClosing() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closing = false
}

func (a *Actions) isReturned(machine string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.returned[machine].IsZero()
}

func (a *Actions) removeReturned(machines []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, machine := range machines {
		delete(a.returned, machine)
	}
}
