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
	"heronwick/internal/ownership"
	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

// addHandedOverLocked adds a machine that another controller has handed over. The
// machine is idle, and the record from its previous owner is complete, so it can be
// used at once.
func (s *Scheduler) addHandedOverLocked(name string, owner cluster.Owner) {
	now := time.Now()
	var r fleet.Record
	if err := json.Unmarshal(owner.Machine, &r); err != nil {
		s.log.Error("cannot decode the record of a machine that was handed over", "machine", name, "err", err)
		return
	}
	m := s.addMachineLocked(fleet.FromRecord(name, r, s.epoch.Token, now), now)
	// The previous owner answered the worker for the last time before it handed the
	// machine over, and under this token or an older one.
	m.syncToken, m.fenceToken, m.LastReply, m.HeartbeatSeen = 0, 0, now, true
}

// writeTransfer writes node as the owner of the machines in records. With an empty
// node it marks the machines as released.
func (s *Scheduler) writeTransfer(ctx context.Context, node string, records ownership.Records, priority state.Priority) error {
	s.mu.Lock()
	fence := s.fenceLocked()
	s.mu.Unlock()
	transfer, ok := s.opts.Authority.NewTransfer(node, records)
	if !ok {
		return fmt.Errorf("%s is not a member of the cluster", node)
	}
	version, err := s.opts.Committer.Commit(ctx, fence.Bind(state.Write{Priority: priority, If: []wire.Condition{transfer.Condition},
		Then: []wire.Change{transfer.Change}, RetryUntilAnswered: true}))
	if err != nil {
		return err
	}
	s.opts.Authority.RecordTransfer(transfer.Change, version)
	return nil
}

// announceRetryDelay is the delay before released machines are announced again after
// the write failed.
const announceRetryDelay = 500 * time.Millisecond

// announceReleasesLocked announces released machines to the other controllers, many
// of them in one write.
func (s *Scheduler) announceReleasesLocked() {
	if !s.loaded {
		return
	}
	names, records := s.transfers.BeginAnnouncement(s.valueLimit.Bytes())
	if len(names) == 0 {
		return
	}
	s.spawn(func(ctx context.Context) {
		err := s.writeTransfer(ctx, "", records, state.Background)
		if err != nil {
			wait.Sleep(ctx, announceRetryDelay)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.transfers.EndAnnouncement(len(names), err == nil)
	})
}

// canHandOverLocked reports whether a machine can be handed over: it is usable and idle,
// its record need not be written, and no request that this controller has sent can still
// reach its worker.
func (s *Scheduler) canHandOverLocked(m *machine, now time.Time) bool {
	return s.usableLocked(m, now) && m.Idle() && !m.record.Dirty && !m.commandPending && !m.RequestPending()
}

// handoverCandidatesLocked returns the machines that can be handed over, those idle
// for longest first.
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

// handoverBatch is the content of one handover write: the machines, and their records
// by name.
type handoverBatch struct {
	machines []*machine
	records  ownership.Records
}

// handOverLocked hands idle machines over to another controller, in as many writes as
// needed. This controller stops answering their workers before each write is sent.
func (s *Scheduler) handOverLocked(machines []*machine, node string) {
	for len(machines) > 0 {
		var batch handoverBatch
		batch, machines = s.nextHandoverBatchLocked(machines)
		if len(batch.machines) == 0 {
			return
		}
		s.log.Info("handing over machines", "peer", node, "count", len(batch.machines), "first", batch.machines[0].Name)
		s.spawn(func(ctx context.Context) { s.sendHandover(ctx, node, batch) })
	}
}

// nextHandoverBatchLocked removes as many machines from the scheduler as fit into one
// write, but at least one, and returns them as a batch, together with the rest.
func (s *Scheduler) nextHandoverBatchLocked(machines []*machine) (batch handoverBatch, rest []*machine) {
	batch.records = ownership.Records{}
	limit, size := s.valueLimit.Bytes(), 0
	for i, m := range machines {
		record, err := ownership.Encode(m.Machine, limit)
		if err != nil {
			s.log.Error("cannot encode the record of a machine to hand over", "machine", m.Name, "err", err)
			continue
		}
		size += ownership.RecordBytes(m.Name, record)
		if len(batch.machines) > 0 && size > limit {
			return batch, machines[i:]
		}
		batch.machines = append(batch.machines, m)
		batch.records[m.Name] = record
		s.packer.Open.Close(m.packing)
		s.checkpoints.RemoveMachine(&m.record)
		m.releaseReply()
		delete(s.machines, m.Name)
		s.transfers.BeginMove(m.Name)
	}
	return batch, nil
}

// sendHandover writes a batch. If the write was not carried out, the scheduler keeps
// the machines.
func (s *Scheduler) sendHandover(ctx context.Context, node string, batch handoverBatch) {
	err := s.writeTransfer(ctx, node, batch.records, state.Placement)
	if err != nil {
		s.log.Info("failed to hand over machines", "peer", node, "err", err)
	}
	refused := err != nil && !errors.Is(err, state.ErrUnknown) && ctx.Err() == nil
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range batch.machines {
		s.transfers.EndMove(m.Name)
		if refused && s.opts.Authority.OwnerInEpoch(&s.epoch.Epoch, m.Name) == s.opts.Node && s.machines[m.Name] == nil {
			s.machines[m.Name] = m
		}
	}
	s.recheckEpoch()
}
