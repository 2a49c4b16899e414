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

// campaignJitter is the maximum random delay before a campaign. It makes it
// unlikely that several controllers campaign at the same time.
const campaignJitter = 100 * time.Millisecond

// roundsPerTTL is the number of election rounds within the leader lease or the
// confirmation TTL, whichever is shorter.
const roundsPerTTL = 4

// ErrNotMember means that this controller is not a member of the current epoch.
var ErrNotMember = errors.New("not a member")

// leaderRecord is the value of leaderKey.
type leaderRecord struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
}

// runElection runs election rounds until ctx ends: it campaigns while there is no
// leader, renews the leadership of this controller, and starts RunMembership when
// this controller becomes a member.
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

// electionRound performs the step that the current state requires: it reads a newer
// epoch, renews the leadership in the current epoch, or campaigns for the next.
func (c *Cluster) electionRound(ctx context.Context) {
	c.mu.Lock()
	epochLoaded, leading, mayCampaign, outdated := c.epochLoaded, c.isLeaderLocked(), c.mayCampaignLocked(), c.peerHasNewerEpochLocked()
	c.mu.Unlock()
	switch {
	case !epochLoaded:
	case outdated:
		c.refreshAndLog(ctx)
	case leading:
		c.renewLeadership(ctx)
		c.reconcileMembership(ctx)
		c.recordFeatureLevel(ctx)
	case mayCampaign:
		// If several controllers campaign, the first transaction wins.
		wait.Sleep(ctx, rand.N(campaignJitter))
		c.campaign(ctx)
	}
}

// mayCampaignLocked reports whether this controller may campaign: there is no
// leader, or the leader is an earlier run of this controller.
func (c *Cluster) mayCampaignLocked() bool {
	return c.leaderVersion == 0 || c.leader.Node == c.opts.Node && c.leader.Incarnation != c.incarnation
}

// peerHasNewerEpochLocked reports whether any peer knows a newer epoch.
func (c *Cluster) peerHasNewerEpochLocked() bool {
	for _, p := range c.peers {
		if p.token > c.epoch.Token {
			return true
		}
	}
	return false
}

// ownRecord returns the leader record that names this controller.
func (c *Cluster) ownRecord() leaderRecord {
	return leaderRecord{Node: c.opts.Node, Incarnation: c.incarnation}
}

// putLeaderKey returns the change that writes the leader key with this controller as
// the leader, attached to the lease.
func (c *Cluster) putLeaderKey(lease uint64) (wire.Change, error) {
	value, err := json.Marshal(c.ownRecord())
	if err != nil {
		return wire.Change{}, fmt.Errorf("encoding the leader record: %w", err)
	}
	return wire.Change{Put: leaderKey, Value: value, Lease: lease}, nil
}

// epochClaim is an attempt to become the leader. next is the epoch to write; epoch
// and leader are the conditions of the transaction.
type epochClaim struct {
	next          Epoch
	epoch, leader wire.Condition
	lease         uint64
}

// campaign tries to write a new epoch with this controller as the leader.
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
		c.opts.Log.Debug("failed to grant the leader lease", "err", err)
		return
	}
	claim.next.assignTeams(c.opts.TeamWeights())
	revision, err := c.sendClaim(ctx, claim)
	if err != nil {
		c.opts.Log.Debug("failed to claim the next epoch", "token", claim.next.Token, "err", err)
		c.reloadAfterFailedClaim(ctx, claim)
		return
	}
	c.applyClaim(claim, revision)
}

// newClaim prepares a claim of the next epoch. ok is false if this controller may no
// longer campaign.
func (c *Cluster) newClaim() (_ epochClaim, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.mayCampaignLocked() {
		return epochClaim{}, false
	}
	next := c.epoch.next()
	next.beginAssignment()
	delete(next.Members, c.epoch.Leader) // the previous leader joins again once it answers heartbeats
	next.Leader, next.Incarnation = c.opts.Node, c.incarnation
	if next.Members[c.opts.Node].Incarnation != c.incarnation {
		next.Members[c.opts.Node] = Member{Incarnation: c.incarnation, Since: next.Token}
	}
	return epochClaim{next: next, epoch: c.epochConditionLocked(), leader: c.leaderConditionLocked()}, true
}

// leaderConditionLocked returns the condition that the leader key in the store is
// still the one that this controller knows.
func (c *Cluster) leaderConditionLocked() wire.Condition {
	return wire.Condition{Key: leaderKey, Version: c.leaderVersion}
}

// sendClaim writes the epoch and the leader key of a claim in one transaction.
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

// reloadAfterFailedClaim reads the epoch from the store. If the response was lost,
// the claim may have succeeded, which the read shows. If the store executes the
// claim only after the read, the watch reports it.
func (c *Cluster) reloadAfterFailedClaim(ctx context.Context, claim epochClaim) {
	_ = c.refresh(ctx) // after an error, the next round continues with the last known state
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isLeaderLocked() {
		c.lease = claim.lease
	}
}

// applyClaim records that this controller has become the leader.
func (c *Cluster) applyClaim(claim epochClaim, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = claim.lease
	if claim.next.Token > c.epoch.Token {
		c.setEpochLocked(claim.next, revision)
	}
	c.leader, c.leaderVersion = c.ownRecord(), revision
	c.confirmLocked(c.cancellationsSyncedAt) // not the current time: since then, another controller may have claimed an epoch or a job may have been cancelled
	c.opts.Log.Info("elected", "token", claim.next.Token)
	c.triggerElectionRound()
}

// AdvanceEpoch increments the token and changes nothing else in the epoch. Workers
// that have seen the new token reject requests that were sent under the old one.
// The error is ErrNotMember or an error of the store.
func (c *Cluster) AdvanceEpoch(ctx context.Context) error {
	c.mu.Lock()
	next, version, member := c.epoch.next(), c.version, c.isMemberLocked()
	c.mu.Unlock()
	if !member {
		return fmt.Errorf("advancing epoch %d: %w", next.Token-1, ErrNotMember)
	}
	return c.compareAndSwapEpoch(ctx, next, version)
}

// compareAndSwapEpoch writes next as the epoch if the epoch key still has the given
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
