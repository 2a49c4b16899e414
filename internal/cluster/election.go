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

// campaignJitter bounds the random wait before a campaign. It makes ties rare.
const campaignJitter = 100 * time.Millisecond

// roundsPerTTL is how many election rounds there are within the shorter one of
// the leader's lease and the confirmation TTL.
const roundsPerTTL = 4

// ErrNotMember means that this controller is no member of the current epoch.
var ErrNotMember = errors.New("not a member")

// leaderRecord is the value of leaderKey.
type leaderRecord struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
}

// runElection campaigns for the epoch when there is no leader, keeps leading, and
// starts RunMembership for this controller's memberships, until ctx ends.
func (c *Cluster) runElection(ctx context.Context) error {
	tick := time.NewTicker(min(c.timeouts.leaderTTL, c.confirmationTTL) / roundsPerTTL)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.electionTrigger:
		case <-tick.C:
		}
		c.electionRound(ctx)
		c.afterElectionRound(ctx)
	}
}

func (c *Cluster) afterElectionRound(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startMembershipLocked(ctx)
	c.recordFenceLocked()
	c.logConfirmationLocked()
}

// electionRound does what is due in the current epoch: reads a newer one, keeps
// leading this one, or claims the next.
func (c *Cluster) electionRound(ctx context.Context) {
	c.mu.Lock()
	known, leading, leaderless, outdated := c.epochLoaded, c.isLeaderLocked(), c.mayCampaignLocked(), c.peerHasNewerEpochLocked()
	c.mu.Unlock()
	switch {
	case !known:
	case outdated:
		c.refreshAndLog(ctx)
	case leading:
		c.renewLeadership(ctx)
		c.reconcileMembership(ctx)
		c.recordFeatureLevel(ctx)
	case leaderless:
		// The first claim wins.
		wait.Sleep(ctx, rand.N(campaignJitter))
		c.campaign(ctx)
	}
}

// mayCampaignLocked reports whether this controller may campaign: there is no
// leader, or it was itself the leader before it restarted.
func (c *Cluster) mayCampaignLocked() bool {
	return c.leaderVersion == 0 || c.leader.Node == c.opts.Node && c.leader.Incarnation != c.incarnation
}

// peerHasNewerEpochLocked reports whether a peer knows a newer epoch.
func (c *Cluster) peerHasNewerEpochLocked() bool {
	for _, p := range c.peers {
		if p.token > c.epoch.Token {
			return true
		}
	}
	return false
}

// ownRecord is the leader record of this controller.
func (c *Cluster) ownRecord() leaderRecord {
	return leaderRecord{Node: c.opts.Node, Incarnation: c.incarnation}
}

// putLeaderKey is the change that makes this controller hold the leader key for
// as long as the lease lasts.
func (c *Cluster) putLeaderKey(lease uint64) (wire.Change, error) {
	value, err := json.Marshal(c.ownRecord())
	if err != nil {
		return wire.Change{}, fmt.Errorf("encoding the leader record: %w", err)
	}
	return wire.Change{Put: leaderKey, Value: value, Lease: lease}, nil
}

// epochClaim is an attempt to become the leader: next is the epoch to claim, epoch
// and leader are what the claim is conditional on.
type epochClaim struct {
	next          Epoch
	epoch, leader wire.Condition
	lease         uint64
}

// campaign starts a new epoch with this controller as its leader.
func (c *Cluster) campaign(ctx context.Context) {
	if err := c.refresh(ctx); err != nil {
		return
	}
	claim, ok := c.newClaim()
	if !ok {
		return
	}
	var err error
	if claim.lease, err = c.opts.Client.Grant(ctx, c.timeouts.leaderTTL); err != nil {
		c.opts.Log.Debug("granting the leader lease failed", "err", err)
		return
	}
	claim.next.assignTeams(c.opts.TeamWeights())
	revision, err := c.sendClaim(ctx, claim)
	if err != nil {
		c.opts.Log.Debug("claiming the epoch failed", "token", claim.next.Token, "err", err)
		c.reloadAfterFailedClaim(ctx, claim)
		return
	}
	c.applyClaim(claim, revision)
}

// newClaim prepares a claim of the next epoch; ok is false if there is a leader.
func (c *Cluster) newClaim() (_ epochClaim, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.mayCampaignLocked() {
		return epochClaim{}, false
	}
	next := c.epoch.next()
	delete(next.Members, c.epoch.Leader) // it is a member again once it answers
	next.Leader, next.Incarnation = c.opts.Node, c.incarnation
	if next.Members[c.opts.Node].Incarnation != c.incarnation {
		next.Members[c.opts.Node] = Member{Incarnation: c.incarnation, Since: next.Token}
	}
	return epochClaim{next: next, epoch: c.epochConditionLocked(), leader: c.leaderConditionLocked()}, true
}

// leaderConditionLocked holds while the leader key is as known here.
func (c *Cluster) leaderConditionLocked() wire.Condition {
	return wire.Condition{Key: leaderKey, Version: c.leaderVersion}
}

func (c *Cluster) sendClaim(ctx context.Context, claim epochClaim) (revision uint64, err error) {
	value, err := json.Marshal(claim.next)
	if err != nil {
		return 0, fmt.Errorf("encoding the epoch: %w", err)
	}
	putLeader, err := c.putLeaderKey(claim.lease)
	if err != nil {
		return 0, err
	}
	return c.opts.Client.Txn(ctx, state.Urgent, wire.Txn{
		If:   []wire.Condition{claim.epoch, claim.leader},
		Then: []wire.Change{{Put: epochKey, Value: value}, putLeader},
	})
}

// reloadAfterFailedClaim reads what stands. After a missing response the claim may have
// been carried out: reading shows that, and if it is carried out later still, the
// watch does.
func (c *Cluster) reloadAfterFailedClaim(ctx context.Context, claim epochClaim) {
	_ = c.refresh(ctx) // the next round decides on what it shows
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isLeaderLocked() {
		c.lease = claim.lease
	}
}

func (c *Cluster) applyClaim(claim epochClaim, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = claim.lease
	if claim.next.Token > c.epoch.Token {
		c.setEpochLocked(claim.next, revision)
	}
	c.leader, c.leaderVersion = c.ownRecord(), revision
	c.confirmLocked(c.cancellationsSyncedAt) // not now: another may have claimed since, or a job been cancelled
	c.opts.Log.Info("elected", "token", claim.next.Token)
	c.triggerElectionRound()
}

// AdvanceEpoch raises the token and changes nothing else. Whatever was sent to
// workers under the old token is void once they have seen the new one. The error
// is ErrNotMember, or that of the store.
func (c *Cluster) AdvanceEpoch(ctx context.Context) error {
	c.mu.Lock()
	next, version, member := c.epoch.next(), c.version, c.isMemberLocked()
	c.mu.Unlock()
	if !member {
		return fmt.Errorf("raising the token of epoch %d: %w", next.Token-1, ErrNotMember)
	}
	return c.compareAndSwapEpoch(ctx, next, version)
}

// compareAndSwapEpoch makes next the epoch if the current one still has the
// version.
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
	c.triggerElectionRound()
	return nil
}
