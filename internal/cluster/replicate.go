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
// that does not know of one may renew the leases of the job's workers for as long
// as its confirmation TTL lasts; so no confirmation counts without the known
// cancellations, see docs/design.md, "Cancelled means known".
type Cancellations interface {
	// KnownCancellations returns what is known, and names those after a revision.
	KnownCancellations(after uint64) job.CancellationState
	// ApplyCancellations takes cancellations that a peer knows.
	ApplyCancellations(cancelled []job.Cancellation)
	// SyncToRevision makes every cancellation up to a revision of the store known.
	SyncToRevision(ctx context.Context, revision uint64) error
}

const (
	// replicationTimeout bounds one request to a peer; users wait for it.
	replicationTimeout = 500 * time.Millisecond
	// replicationGrace is how long a confirmation waits for the peers beyond those
	// that it needs: none that knows of it starts any task of the job.
	replicationGrace = 100 * time.Millisecond
)

// errNotReplicated means that too few peers acknowledged a cancellation.
var errNotReplicated = errors.New("too few controllers can be told")

// HandleCancellations takes cancellations that a peer is about to confirm.
func (c *Cluster) HandleCancellations(req *peerpb.TellRequest) *peerpb.TellReply {
	c.opts.Cancellations.ApplyCancellations(decodeCancellations(req.Cancelled))
	return &peerpb.TellReply{}
}

// Replicate implements job.Replicator: it returns nil once enough controllers
// know the cancellation. The error is that of ctx, or says that too few do.
func (c *Cluster) Replicate(ctx context.Context, cancellation job.Cancellation) error {
	r := c.startReplication(cancellation)
	if err := r.wait(ctx); err != nil {
		return err
	}
	if r.needed > 0 {
		c.opts.Log.Info("cancellation not confirmed: too few controllers acknowledged it", "job", cancellation.Job, "lacking", r.needed)
		return errNotReplicated
	}
	return nil
}

// replication is a cancellation on its way to the peers.
type replication struct {
	needed  int        // acknowledgements still needed; 0 or less: enough
	pending int        // peers that have not answered
	answers chan error // one from each of them; nil: acknowledged
}

// startReplication sends a cancellation to the peers that may not know it.
func (c *Cluster) startReplication(cancellation job.Cancellation) *replication {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &replication{needed: c.replicasNeededLocked()}
	var targets []*peer
	for _, p := range c.peers {
		// A peer that has reported this revision knows it, or has restarted since
		// and reports that it must not be asked about what came before.
		if p.status != nil && p.status.JobsRevision >= cancellation.Revision {
			r.needed--
		} else {
			targets = append(targets, p)
		}
	}
	if c.soleMemberLocked() {
		return &replication{}
	}
	r.pending, r.answers = len(targets), make(chan error, len(targets))
	for _, p := range targets {
		c.queueReplicationLocked(p, encodeCancellation(cancellation), r.answers)
	}
	return r
}

// wait waits until every peer has answered or, once enough have acknowledged, for
// replicationGrace. The error is that of ctx.
func (r *replication) wait(ctx context.Context) error {
	var grace <-chan time.Time
	for ; r.pending > 0; r.pending-- {
		if r.needed <= 0 && grace == nil {
			timer := time.NewTimer(replicationGrace)
			defer timer.Stop()
			grace = timer.C
		}
		select {
		case err := <-r.answers:
			if err == nil {
				r.needed--
			}
		case <-grace:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// replicasNeededLocked returns how many peers must know a cancellation before it
// is confirmed: so many that any majority that confirms an epoch includes a
// controller that knows it. Where the confirmation TTL leaves no time for a lease
// expiry before the cancellation deadline, all must.
func (c *Cluster) replicasNeededLocked() int {
	controllers := len(c.peers) + 1
	if !c.expiryFitsCancelTimeout {
		return controllers - 1
	}
	majority := controllers/2 + 1
	return controllers - majority
}

// soleMemberLocked reports whether all machines are this controller's and no
// other one is a member: the others may have ended, and it stops the tasks itself.
func (c *Cluster) soleMemberLocked() bool {
	return c.isLeaderLocked() && c.canAnswerHeartbeatsLocked() && len(c.epoch.Members) == 1
}

// replicationQueue holds the cancellations that are still to be sent to a peer.
type replicationQueue struct {
	cancelled []*peerpb.Cancelled
	answers   []chan<- error // one for each of them
	sending   bool           // sendReplications runs
}

// queueReplicationLocked sends a cancellation to a peer, together with others
// that are queued meanwhile.
func (c *Cluster) queueReplicationLocked(p *peer, cancelled *peerpb.Cancelled, answer chan<- error) {
	queue := &p.replication
	queue.cancelled, queue.answers = append(queue.cancelled, cancelled), append(queue.answers, answer)
	if !queue.sending {
		queue.sending = true
		go c.sendReplications(p)
	}
}

// sendReplications sends what is queued for a peer until its queue is empty.
func (c *Cluster) sendReplications(p *peer) {
	for {
		queue := c.dequeueReplications(p)
		if len(queue.cancelled) == 0 {
			return
		}
		err := replicate(p.client, queue.cancelled)
		for _, answer := range queue.answers {
			answer <- err
		}
	}
}

// dequeueReplications empties a peer's queue and returns what it held.
func (c *Cluster) dequeueReplications(p *peer) replicationQueue {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := p.replication
	p.replication = replicationQueue{sending: len(taken.cancelled) > 0}
	return taken
}

func replicate(client PeerClient, cancelled []*peerpb.Cancelled) error {
	ctx, cancel := context.WithTimeout(context.Background(), replicationTimeout)
	defer cancel()
	_, err := client.ReplicateCancellations(ctx, &peerpb.TellRequest{Cancelled: cancelled})
	return err
}

func encodeCancellations(cancelled []job.Cancellation) []*peerpb.Cancelled {
	var encoded []*peerpb.Cancelled
	for _, cancellation := range cancelled {
		encoded = append(encoded, encodeCancellation(cancellation))
	}
	return encoded
}

func encodeCancellation(cancellation job.Cancellation) *peerpb.Cancelled {
	outcome := &cancellation.Outcome
	return &peerpb.Cancelled{Job: cancellation.Job, Revision: cancellation.Revision, Tasks: uint32(outcome.Tasks), Team: outcome.Team,
		Cpus: outcome.CPUs, Gpus: outcome.GPUs, MemoryGb: outcome.MemoryGB}
}

func decodeCancellations(encoded []*peerpb.Cancelled) []job.Cancellation {
	var cancelled []job.Cancellation
	for _, one := range encoded {
		cancelled = append(cancelled, job.Cancellation{Job: one.Job, Revision: one.Revision, Outcome: job.Outcome{
			State: wire.JobCancelled, Tasks: int(one.Tasks), Team: one.Team, CPUs: one.Cpus, GPUs: one.Gpus, MemoryGB: one.MemoryGb}})
	}
	return cancelled
}
