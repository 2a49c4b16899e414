package cluster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

type leaderRecord struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
}

func (c *Cluster) leadsLocked() bool {
	return c.known && c.epoch.Leader == c.opts.Node && c.epoch.Incarnation == c.incarnation
}

// runElection campaigns for the epoch when nobody leads, keeps leading, and
// starts RunMembership for this controller's membership.
func (c *Cluster) runElection(ctx context.Context) error {
	tick := time.NewTicker(min(c.timeouts.leaderTTL, c.confirmationTTL) / 4)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.changed:
		case <-tick.C:
		}
		c.electionRound(ctx)
		c.mu.Lock()
		c.startMembershipLocked(ctx)
		c.noteFenceLocked()
		c.logConfirmationLocked()
		c.mu.Unlock()
	}
}

// electionRound does what is due for the present epoch: reads a newer one, keeps leading
// this one, or claims the next.
func (c *Cluster) electionRound(ctx context.Context) {
	c.mu.Lock()
	known, leading, vacant := c.known, c.leadsLocked(), c.leaderlessLocked()
	newer := false
	for _, p := range c.peers {
		newer = newer || p.token > c.epoch.Token
	}
	c.mu.Unlock()
	switch {
	case !known:
	case newer:
		if err := c.refresh(ctx); err != nil {
			c.opts.Log.Debug("reading the epoch failed", "err", err)
		}
	case leading:
		c.renew(ctx)
		c.reconcileMembership(ctx)
		c.raiseLevel(ctx)
	case vacant:
		// Whoever comes first wins; jitter makes a tie rare.
		wait.Sleep(ctx, rand.N(100*time.Millisecond))
		c.campaign(ctx)
	}
}

// leaderlessLocked tells whether this controller may campaign for the epoch: nobody leads,
// or it did itself until it started anew.
func (c *Cluster) leaderlessLocked() bool {
	return c.leaderVersion == 0 || c.leader.Node == c.opts.Node && c.leader.Incarnation != c.incarnation
}

// startMembershipLocked starts RunMembership for a membership that has begun.
func (c *Cluster) startMembershipLocked(ctx context.Context) {
	if !c.memberLocked() || c.stopMembership != nil {
		return
	}
	ctx, c.stopMembership = context.WithCancel(ctx)
	previous := c.membershipDone
	c.membershipDone = make(chan struct{})
	go c.runMembership(ctx, &Membership{c, c.epoch.Members[c.opts.Node].Since}, previous, c.membershipDone)
}

// logConfirmationLocked tells an operator when this controller, a member, begins
// or ends to answer no worker.
func (c *Cluster) logConfirmationLocked() {
	lapsed := c.memberLocked() && !c.confirmed.IsZero() && !c.canAnswerHeartbeatsLocked()
	if lapsed == c.unconfirmed {
		return
	}
	c.unconfirmed = lapsed
	if lapsed {
		c.opts.Log.Warn("permission lapsed: no worker is answered until the state service or a majority confirms the epoch again",
			"token", c.epoch.Token, "since", time.Since(c.confirmed), "peers_heard", len(c.heardPeersLocked()))
	} else {
		c.opts.Log.Info("permitted again, or no member any more", "token", c.epoch.Token)
	}
}

// runMembership runs the runMembership of a membership once that of the one before has ended.
func (c *Cluster) runMembership(ctx context.Context, membership *Membership, previous, done chan struct{}) {
	defer close(done)
	if previous != nil {
		<-previous
	}
	c.opts.Log.Info("share begins")
	if err := c.opts.RunMembership(ctx, membership); err != nil && ctx.Err() == nil {
		c.opts.Log.Error("share failed", "err", err)
	}
}

// renew renews the leader's lease and confirms that the epoch is current.
func (c *Cluster) renew(ctx context.Context) {
	c.mu.Lock()
	lease, version := c.lease, c.version
	c.mu.Unlock()
	sent := time.Now()
	revision, err := c.opts.Client.Txn(ctx, state.Urgent, wire.Txn{If: []wire.Condition{{Key: epochKey, Version: version}}})
	var conflict *state.Conflict
	switch {
	case err == nil:
		c.confirm(ctx, sent, revision)
	case errors.As(err, &conflict):
		if err := c.refresh(ctx); err != nil {
			c.opts.Log.Debug("reading the epoch failed", "err", err)
		}
		return
	default:
		c.opts.Log.Debug("confirming the epoch failed", "err", err)
		return
	}
	c.mu.Lock()
	resigned := time.Since(c.steppedDown) < 2*c.timeouts.leaderTTL
	keyless := c.leaderVersion == 0 && !resigned
	c.mu.Unlock()
	if err := c.opts.Client.Renew(ctx, lease); (errors.Is(err, state.ErrNotFound) || keyless) && !resigned {
		c.opts.Log.Info("leader lease ended, taking it again")
		c.reacquireLeaderLease(ctx)
	}
}

// confirm takes the store's word that the epoch was current. It stands for a
// permission only together with the cancellations, which its watch may be
// silent about; where the peers' word is fresh, that is not needed.
func (c *Cluster) confirm(ctx context.Context, sent time.Time, revision uint64) {
	c.mu.Lock()
	fresh := sent.Sub(c.confirmed) < c.confirmationTTL/3
	c.mu.Unlock()
	if fresh {
		return
	}
	if err := c.opts.Cancellations.SyncToRevision(ctx, revision); err != nil {
		c.opts.Log.Debug("the epoch is current, but not what is known of jobs", "err", err)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leadsLocked() {
		c.confirmLocked(sent)
	}
}

// reacquireLeaderLease takes the leader key again within the same epoch, if nobody else
// has claimed the epoch since.
func (c *Cluster) reacquireLeaderLease(ctx context.Context) {
	lease, err := c.opts.Client.Grant(ctx, c.timeouts.leaderTTL)
	if err != nil {
		return
	}
	c.mu.Lock()
	version, leaderVersion := c.version, c.leaderVersion
	c.mu.Unlock()
	record, _ := json.Marshal(leaderRecord{Node: c.opts.Node, Incarnation: c.incarnation})
	revision, err := c.opts.Client.Txn(ctx, state.Urgent, wire.Txn{
		If:   []wire.Condition{{Key: epochKey, Version: version}, {Key: leaderKey, Version: leaderVersion}},
		Then: []wire.Change{{Put: leaderKey, Value: record, Lease: lease}},
	})
	if err != nil {
		_ = c.refresh(ctx) // the next round decides on what it shows
		return
	}
	c.mu.Lock()
	c.lease, c.leader, c.leaderVersion = lease, leaderRecord{Node: c.opts.Node, Incarnation: c.incarnation}, revision
	c.mu.Unlock()
}

// campaign starts a new epoch with this controller as its leader.
func (c *Cluster) campaign(ctx context.Context) {
	if err := c.refresh(ctx); err != nil {
		return
	}
	c.mu.Lock()
	vacant := c.leaderlessLocked()
	epoch, version, leaderVersion := c.epoch, c.version, c.leaderVersion
	c.mu.Unlock()
	if !vacant {
		return
	}
	lease, err := c.opts.Client.Grant(ctx, c.timeouts.leaderTTL)
	if err != nil {
		c.opts.Log.Debug("no lease", "err", err)
		return
	}
	next := epoch.next()
	delete(next.Members, epoch.Leader) // it is back as a member once it answers
	next.Leader, next.Incarnation = c.opts.Node, c.incarnation
	if next.Members[c.opts.Node].Incarnation != c.incarnation {
		next.Members[c.opts.Node] = Member{Incarnation: c.incarnation, Since: next.Token}
	}
	next.assignTeams(c.opts.Weights())
	value, _ := json.Marshal(next)
	record, _ := json.Marshal(leaderRecord{Node: c.opts.Node, Incarnation: c.incarnation})
	revision, err := c.opts.Client.Txn(ctx, state.Urgent, wire.Txn{
		If: []wire.Condition{{Key: epochKey, Version: version}, {Key: leaderKey, Version: leaderVersion}},
		Then: []wire.Change{
			{Put: epochKey, Value: value},
			{Put: leaderKey, Value: record, Lease: lease},
		},
	})
	if err != nil {
		c.opts.Log.Debug("claim failed", "err", err)
		// After silence the claim may stand: reading tells, and if it is
		// carried out later still, the watch does.
		_ = c.refresh(ctx)
		c.mu.Lock()
		if c.leadsLocked() {
			c.lease = lease
		}
		c.mu.Unlock()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = lease
	if next.Token > c.epoch.Token {
		c.setEpochLocked(next, revision)
	}
	c.leader, c.leaderVersion = leaderRecord{Node: c.opts.Node, Incarnation: c.incarnation}, revision
	c.confirmLocked(c.caughtUp) // not now: another may have claimed since, or a job been cancelled
	c.opts.Log.Info("elected", "token", next.Token)
	c.poke()
}

// AdvanceEpoch raises the token and changes nothing else. Whatever
// was sent to workers under the old token is void once they have seen the
// new one.
func (c *Cluster) AdvanceEpoch(ctx context.Context) error {
	c.mu.Lock()
	epoch, version, member := c.epoch, c.version, c.memberLocked()
	c.mu.Unlock()
	if !member {
		return errors.New("not a member")
	}
	return c.compareAndSwapEpoch(ctx, epoch.next(), version)
}

// compareAndSwapEpoch makes next the epoch, if the current one still has the version.
func (c *Cluster) compareAndSwapEpoch(ctx context.Context, next Epoch, version uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encoding the epoch: %w", err)
	}
	revision, err := c.opts.Client.Txn(ctx, state.Urgent, wire.Txn{
		If:   []wire.Condition{{Key: epochKey, Version: version}},
		Then: []wire.Change{{Put: epochKey, Value: value}},
	})
	if err != nil {
		return errors.Join(err, c.refresh(ctx))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if next.Token > c.epoch.Token {
		c.setEpochLocked(next, revision)
	}
	c.poke()
	return nil
}

// StepDown gives up leading, so that another controller takes over soon: this
// one cannot reach the workers while another can.
func (c *Cluster) StepDown(ctx context.Context) {
	c.mu.Lock()
	version := c.leaderVersion
	leads := c.leadsLocked()
	if leads {
		c.steppedDown = time.Now()
	}
	c.mu.Unlock()
	if !leads {
		return
	}
	c.opts.Log.Info("resigning")
	_, err := c.opts.Client.Txn(ctx, state.Urgent, wire.Txn{
		If:   []wire.Condition{{Key: leaderKey, Version: version}},
		Then: []wire.Change{{Delete: leaderKey}},
	})
	if err != nil {
		c.opts.Log.Info("resigning failed", "err", err)
	}
}
