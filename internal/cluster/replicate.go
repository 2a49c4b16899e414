package cluster

import (
	"context"
	"errors"
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/job"
	"heronwick/wire"
)

// Cancellations is what this controller knows of cancelled jobs. A controller
// that does not know of one may renew the leases of the job's workers for as
// long as its confirmation TTL lasts; so no confirmation counts without what is
// known of them, see docs/design.md, "Cancelled means known".
type Cancellations interface {
	// KnownCancellations tells what is known, and names those after a revision.
	KnownCancellations(after uint64) job.CancellationState
	ApplyCancellations(cancelled []job.Cancellation)
	// SyncToRevision makes every one up to a revision known that was seen in the store.
	SyncToRevision(ctx context.Context, revision uint64) error
}

const (
	// replicationTimeout bounds the telling of a peer; users wait for it.
	replicationTimeout = 500 * time.Millisecond
	// replicationGrace is how long a confirmation waits for the peers beyond those
	// that it needs: each that knows starts nothing of the job any more.
	replicationGrace = 100 * time.Millisecond
)

var errNotReplicated = errors.New("too few controllers can be told")

func toPeer(cancelled []job.Cancellation) []*peerpb.Cancelled {
	var all []*peerpb.Cancelled
	for _, n := range cancelled {
		all = append(all, oneToPeer(n))
	}
	return all
}

func oneToPeer(n job.Cancellation) *peerpb.Cancelled {
	f := &n.Outcome
	return &peerpb.Cancelled{Job: n.Job, Revision: n.Revision, Tasks: uint32(f.Tasks), Team: f.Team,
		Cpus: f.CPUs, Gpus: f.GPUs, MemoryGb: f.MemoryGB}
}

func fromPeer(all []*peerpb.Cancelled) []job.Cancellation {
	var cancelled []job.Cancellation
	for _, n := range all {
		cancelled = append(cancelled, job.Cancellation{Job: n.Job, Revision: n.Revision,
			Outcome: job.Outcome{
				State: wire.JobCancelled, Tasks: int(n.Tasks), Team: n.Team, CPUs: n.Cpus, GPUs: n.Gpus, MemoryGB: n.MemoryGb}})
	}
	return cancelled
}

// HandleCancellations takes cancellations that a peer is about to confirm.
func (c *Cluster) HandleCancellations(req *peerpb.TellRequest) *peerpb.TellReply {
	c.opts.Cancellations.ApplyCancellations(fromPeer(req.Cancelled))
	return &peerpb.TellReply{}
}

// replicasNeededLocked is how many peers must know a cancellation before it is
// confirmed: so many that any majority that confirms an epoch holds a
// controller that knows. Where the confirmation TTL leaves no time for a lease
// expiry before the cancellation deadline, all must.
func (c *Cluster) replicasNeededLocked() int {
	n := len(c.peers) + 1
	if !c.expiryFitsCancel {
		return n - 1
	}
	return n - (n/2 + 1)
}

// soleMemberLocked tells whether all machines are this controller's and no other one
// is a member: the others may have ended, and it stops the tasks itself.
func (c *Cluster) soleMemberLocked() bool {
	return c.leadsLocked() && c.canAnswerHeartbeatsLocked() && len(c.epoch.Members) == 1
}

// Replicate implements job.Replicator.
func (c *Cluster) Replicate(ctx context.Context, n job.Cancellation) error {
	c.mu.Lock()
	needed := c.replicasNeededLocked()
	var ask []*peer
	for _, p := range c.peers {
		// Whoever has said so knows it, or has started since and says that
		// it must not be asked about what came before.
		if p.status != nil && p.status.JobsRevision >= n.Revision {
			needed--
		} else {
			ask = append(ask, p)
		}
	}
	if needed <= 0 && len(ask) == 0 || c.soleMemberLocked() {
		c.mu.Unlock()
		return nil
	}
	answers := make(chan error, len(ask))
	for _, p := range ask {
		c.queueReplicationLocked(p, oneToPeer(n), answers)
	}
	c.mu.Unlock()
	var enough <-chan time.Time
	for range ask {
		if needed <= 0 && enough == nil {
			timer := time.NewTimer(replicationGrace)
			defer timer.Stop()
			enough = timer.C
		}
		select {
		case err := <-answers:
			if err == nil {
				needed--
			}
		case <-enough:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if needed > 0 {
		c.opts.Log.Info("cancellation not confirmed: too few controllers can be told", "job", n.Job, "lacking", needed)
		return errNotReplicated
	}
	return nil
}

// replicationQueue is what a peer is still to be told.
type replicationQueue struct {
	cancelled []*peerpb.Cancelled
	answers   []chan<- error
	sending   bool
}

// queueReplicationLocked tells a peer of a cancellation, together with others that come
// meanwhile.
func (c *Cluster) queueReplicationLocked(p *peer, n *peerpb.Cancelled, answer chan<- error) {
	p.replication.cancelled, p.replication.answers = append(p.replication.cancelled, n), append(p.replication.answers, answer)
	if !p.replication.sending {
		p.replication.sending = true
		go c.sendReplications(p)
	}
}

func (c *Cluster) sendReplications(p *peer) {
	for {
		c.mu.Lock()
		box := p.replication
		p.replication = replicationQueue{sending: len(box.cancelled) > 0}
		c.mu.Unlock()
		if len(box.cancelled) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), replicationTimeout)
		_, err := p.client.ReplicateCancellations(ctx, &peerpb.TellRequest{Cancelled: box.cancelled})
		cancel()
		for _, answer := range box.answers {
			answer <- err
		}
	}
}
