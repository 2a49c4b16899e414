package cluster

import (
	"context"
	"errors"
	"time"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/job"
	"heronwick/wire"
)

// Cancellations holds the cancelled jobs that this controller knows. A controller
// that does not know of a cancellation may renew the leases of the job's workers
// until its confirmation TTL expires. Therefore an epoch confirmation counts only
// together with all known cancellations; see docs/design.md, "Cancelled means
// known".
type Cancellations interface {
	// KnownCancellations returns the state of the known cancellations, including a
	// list of those after a revision of the store.
	KnownCancellations(after uint64) job.CancellationState
	// ApplyCancellations adds cancellations that a peer has sent.
	ApplyCancellations(cancelled []job.Cancellation)
	// SyncToRevision ensures that every cancellation up to a revision of the store is
	// known, and reads the store if necessary.
	SyncToRevision(ctx context.Context, revision uint64) error
}

const (
	// replicationTimeout is the timeout of one request to a peer. It is short because
	// users wait for the result.
	replicationTimeout = 500 * time.Millisecond
	// replicationGrace is how long Replicate waits for further peers after enough of
	// them have acknowledged: a peer that knows the cancellation starts no more tasks
	// of the job.
	replicationGrace = 100 * time.Millisecond
)

// errNotReplicated means that too few peers acknowledged a cancellation.
var errNotReplicated = errors.New("too few controllers can be told")

// HandleCancellations applies cancellations that a peer is about to confirm to users.
func (c *Cluster) HandleCancellations(req *peerpb.TellRequest) *peerpb.TellReply {
	c.opts.Cancellations.ApplyCancellations(decodeCancellations(req.Cancelled))
	return &peerpb.TellReply{}
}

// Replicate implements job.Replicator: it returns nil once enough controllers know
// the cancellation. The error is that of ctx, or errNotReplicated if too few peers
// acknowledged.
func (c *Cluster) Replicate(ctx context.Context, cancellation job.Cancellation) error {
	r := c.startReplication(cancellation)
	if err := r.wait(ctx); err != nil {
		return err
	}
	if r.needed > 0 {
		c.opts.Log.Info("cancellation not confirmed: too few controllers acknowledged it", "job", cancellation.Job, "missing", r.needed)
		return errNotReplicated
	}
	return nil
}

// replication tracks the requests that send one cancellation to the peers.
type replication struct {
	needed  int        // number of acknowledgements still needed; enough if 0 or less
	pending int        // number of peers that have not answered
	results chan error // one result from each pending peer; nil means acknowledged
}

// startReplication sends a cancellation to the peers that may not know it.
func (c *Cluster) startReplication(cancellation job.Cancellation) *replication {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &replication{needed: c.replicasNeededLocked()}
	var targets []*peer
	for _, p := range c.peers {
		// A peer that has reported this revision knows the cancellation. If it has
		// restarted since, it reports through JobsBase that it no longer lists
		// earlier cancellations, so its responses alone do not confirm an epoch.
		if p.status != nil && p.status.JobsRevision >= cancellation.Revision {
			r.needed--
		} else {
			targets = append(targets, p)
		}
	}
	if c.soleMemberLocked() {
		return &replication{}
	}
	r.pending, r.results = len(targets), make(chan error, len(targets))
	for _, p := range targets {
		c.queueReplicationLocked(p, encodeCancellation(cancellation), r.results)
	}
	return r
}

// wait returns when every peer has answered, or replicationGrace after enough peers
// have acknowledged. The error is that of ctx.
func (r *replication) wait(ctx context.Context) error {
	var grace <-chan time.Time
	for ; r.pending > 0; r.pending-- {
		if r.needed <= 0 && grace == nil {
			timer := time.NewTimer(replicationGrace)
			defer timer.Stop()
			grace = timer.C
		}
		select {
		case err := <-r.results:
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

// replicasNeededLocked returns the number of peers that must know a cancellation
// before it is confirmed to users. It is chosen so that every majority that can
// confirm an epoch includes a controller that knows the cancellation. All peers
// must know it if a lease cannot expire within CancelTimeout after the confirmation
// TTL.
func (c *Cluster) replicasNeededLocked() int {
	controllers := len(c.peers) + 1
	if !c.expiryFitsCancelTimeout {
		return controllers - 1
	}
	majority := controllers/2 + 1
	return controllers - majority
}

// soleMemberLocked reports whether this controller is the only member and may answer
// heartbeats. It then owns all machines and stops the job's tasks itself, so it need
// not wait for the other controllers, which may have failed.
func (c *Cluster) soleMemberLocked() bool {
	return c.isLeaderLocked() && c.canAnswerHeartbeatsLocked() && len(c.epoch.Members) == 1
}

// replicationQueue holds the cancellations that have not been sent to a peer yet.
type replicationQueue struct {
	cancelled []*peerpb.Cancelled
	results   []chan<- error // receives the result, one channel for each cancellation
	sending   bool           // whether sendReplications is running
}

// queueReplicationLocked queues a cancellation for a peer and starts sending if
// necessary. Cancellations that are queued during a request are sent together in the
// next one.
func (c *Cluster) queueReplicationLocked(p *peer, cancelled *peerpb.Cancelled, result chan<- error) {
	queue := &p.replication
	queue.cancelled, queue.results = append(queue.cancelled, cancelled), append(queue.results, result)
	if !queue.sending {
		queue.sending = true
		go c.sendReplications(p)
	}
}

// sendReplications sends the queued cancellations to a peer until the queue is empty.
func (c *Cluster) sendReplications(p *peer) {
	for {
		queue := c.dequeueReplications(p)
		if len(queue.cancelled) == 0 {
			return
		}
		err := replicate(p.client, queue.cancelled)
		for _, result := range queue.results {
			result <- err
		}
	}
}

// dequeueReplications empties the queue of a peer and returns its previous content.
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
	for _, message := range encoded {
		cancelled = append(cancelled, job.Cancellation{Job: message.Job, Revision: message.Revision, Outcome: job.Outcome{
			State: wire.JobCancelled, Tasks: int(message.Tasks), Team: message.Team, CPUs: message.Cpus, GPUs: message.Gpus, MemoryGB: message.MemoryGb}})
	}
	return cancelled
}
