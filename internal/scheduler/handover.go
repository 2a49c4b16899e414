package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"heronwick/internal/cluster"
	"heronwick/internal/fleet"
	"heronwick/internal/state"
	"heronwick/wire"
)

// takeHandedOverLocked takes a machine that another controller has handed over: nothing is on it,
// and it can be used at once by what its owner before knew of it.
func (s *Scheduler) takeHandedOverLocked(name string, o cluster.Owner) {
	now := time.Now()
	var r fleet.Record
	if err := json.Unmarshal(o.Machine, &r); err != nil {
		s.log.Error("a handed-over machine record is unreadable", "machine", name, "err", err)
		return
	}
	t := s.addMachineLocked(fleet.FromRecord(name, r, s.epoch.Token, now), now)
	// Its owner before answered its worker for the last time before it gave
	// the machine, and under this token or an older one.
	t.base, t.fence, t.LastReply, t.HeartbeatSeen = 0, 0, now, true
}

// transfer makes node the owner of machines, or, with no node, tells that they
// are gone for good.
func (s *Scheduler) transfer(ctx context.Context, node string, machines map[string]json.RawMessage, priority state.Priority) error {
	s.mu.Lock()
	fence := s.fenceLocked()
	s.mu.Unlock()
	condition, change, ok := s.opts.Authority.TransferWrite(node, machines)
	if !ok {
		return fmt.Errorf("%s is no member", node)
	}
	version, err := s.opts.Committer.Commit(ctx, fence.Bind(state.Write{Priority: priority, If: []wire.Condition{condition},
		Then: []wire.Change{change}, Persist: true}))
	if err != nil {
		return err
	}
	s.opts.Authority.NoteOwner(change, version)
	return nil
}

// canHandOverLocked tells whether a machine can change to another scheduler: idle,
// and nothing that this scheduler has sent can still come to it.
func (s *Scheduler) canHandOverLocked(m *machine, now time.Time) bool {
	return s.usableLocked(m, now) && m.Idle() && !m.record.Dirty && !m.sending && !m.RequestPending()
}

// handoverCandidatesLocked returns the machines that can change to another scheduler,
// those idle for the longest first.
func (s *Scheduler) handoverCandidatesLocked(now time.Time) []*machine {
	var idle []*machine
	for _, m := range s.machines {
		if s.canHandOverLocked(m, now) {
			idle = append(idle, m)
		}
	}
	slices.SortFunc(idle, func(a, b *machine) int { return a.idleSince.Compare(b.idleSince) })
	return idle
}

// imagesPartOfTransfer is which part of a transfer's value the images of one
// machine may take.
const imagesPartOfTransfer = 16

// handOverLocked hands idle machines over to another controller. This one answers their
// workers no more before the write goes out.
func (s *Scheduler) handOverLocked(machines []*machine, node string) {
	for len(machines) > 0 {
		batch, about, size := []*machine{}, map[string]json.RawMessage{}, 0
		for len(machines) > 0 {
			m := machines[0]
			handover := m.TransferRecord()
			handover.KeepImages(s.valueLimit.Bytes() / imagesPartOfTransfer)
			value, err := json.Marshal(handover)
			if err != nil {
				s.log.Error("encoding a machine", "machine", m.Name, "err", err)
				machines = machines[1:]
				continue
			}
			size += len(value) + len(m.Name) + 8
			if len(batch) > 0 && size > s.valueLimit.Bytes() {
				break
			}
			machines = machines[1:]
			about[m.Name] = value
			batch = append(batch, m)
			s.list.Close(m)
			s.checkpoints.Leave(&m.record)
			delete(s.machines, m.Name)
			s.moving[m.Name] = true
		}
		if len(batch) == 0 {
			return
		}
		s.log.Info("handing over machines", "to", node, "count", len(batch), "first", batch[0].Name)
		s.goDo(func(ctx context.Context) {
			err := s.transfer(ctx, node, about, state.Placement)
			if err != nil {
				s.log.Info("handing over machines failed", "to", node, "err", err)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			for _, m := range batch {
				delete(s.moving, m.Name)
				var conflict *state.Conflict
				if (errors.As(err, &conflict) || err != nil && ctx.Err() == nil) &&
					s.opts.Authority.HostOf(&s.epoch.Epoch, m.Name) == s.opts.Node && s.machines[m.Name] == nil {
					s.machines[m.Name] = m // not carried out: it is still ours
				}
			}
			s.recheckEpoch()
		})
	}
}

// regroupEvery is how often idle machines are regrouped among the schedulers.
const regroupEvery = 30 * time.Second

// regroupLocked gives idle machines that are more than a scheduler needs at hand
// back to the leader, and lets the leader hand them to schedulers without one. A
// scheduler that starves gets them at once, see Place.
func (s *Scheduler) regroupLocked(now time.Time) {
	if !s.loaded || !s.permitted() || now.Sub(s.grouped) < regroupEvery {
		return
	}
	s.grouped = now
	s.inventory.ForgetReleased(now)
	for name, at := range s.unknownTasksSince {
		if now.Sub(at) > 10*time.Minute {
			delete(s.unknownTasksSince, name) // gone, or it would have been decided
		}
	}
	for _, queued := range s.jobs {
		if queued.Record.Job.Kind == wire.KindGang && !queued.UnplacedSince.IsZero() {
			return // it gathers machines
		}
	}
	idle := s.handoverCandidatesLocked(now)
	if len(idle) <= 1 {
		return
	}
	// So many stay at hand: what a scheduler has in use tells what it will need.
	keep := max(1, (len(s.machines)-len(idle))/4)
	if len(idle) <= keep {
		return
	}
	if s.epoch.Leader != s.opts.Node {
		if !s.opts.Authority.PeerLoads()[s.epoch.Leader].Overloaded {
			s.handOverLocked(idle[keep:], s.epoch.Leader)
		}
		return
	}
	var poor []string
	for node := range s.epoch.Members {
		if node != s.opts.Node && s.opts.Authority.Idle(node) == 0 && s.hasTeam(node) {
			poor = append(poor, node)
		}
	}
	each := (len(idle) - keep) / (len(poor) + 1)
	if len(poor) == 0 || each == 0 {
		return
	}
	for i, node := range poor {
		s.handOverLocked(idle[i*each:(i+1)*each], node)
	}
}

// hasTeam tells whether the member has jobs to place.
func (s *Scheduler) hasTeam(node string) bool {
	for _, r := range s.opts.Jobs.AllActive() {
		if s.epoch.OwnerOf(r.Job.Team, r.Job.ID) == node {
			return true
		}
	}
	return false
}
