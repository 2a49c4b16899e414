package cluster

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"heronwick/internal/state"
	"heronwick/internal/wait"
	"heronwick/wire"
)

const (
	// A failed list is retried after listRetry plus up to retryJitter, a failed
	// watch after watchRetry plus up to retryJitter.
	listRetry   = 200 * time.Millisecond
	watchRetry  = 100 * time.Millisecond
	retryJitter = 200 * time.Millisecond
)

// watch follows the keys of this package until ctx ends: it lists them, and then
// watches for as long as that works.
func (c *Cluster) watch(ctx context.Context) error {
	listed := false
	for ctx.Err() == nil {
		if !listed {
			if err := c.refresh(ctx); err != nil {
				c.opts.Log.Debug("reading the epoch failed", "err", err)
				wait.Sleep(ctx, listRetry+rand.N(retryJitter))
				continue
			}
			listed = true
			c.triggerElectionRound()
		}
		if err := c.watchOnce(ctx); err != nil {
			listed = false
			wait.Sleep(ctx, watchRetry+rand.N(retryJitter))
		}
	}
	return nil
}

// watchOnce waits for changes after the known revision and applies them.
func (c *Cluster) watchOnce(ctx context.Context) error {
	events, err := c.opts.Client.Watch(ctx, prefix, c.knownRevision(), state.WatchTimeout)
	if err != nil {
		return err
	}
	c.applyEvents(events)
	if len(events.Events) > 0 {
		c.triggerElectionRound()
		c.opts.OnChange()
	}
	return nil
}

func (c *Cluster) knownRevision() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// refresh lists the keys, perhaps before the watch brings their changes.
func (c *Cluster) refresh(ctx context.Context) error {
	sent := time.Now()
	keys, err := c.opts.Client.List(ctx, state.Urgent, prefix)
	if err != nil {
		return err
	}
	cancellationsSynced := c.opts.Cancellations.SyncToRevision(ctx, keys.Revision) == nil
	if c.applyList(listing{sent: sent, items: keys.Items, revision: keys.Revision, cancellationsSynced: cancellationsSynced}) {
		c.opts.OnChange()
	}
	return nil
}

func (c *Cluster) refreshAndLog(ctx context.Context) {
	if err := c.refresh(ctx); err != nil {
		c.opts.Log.Debug("reading the epoch failed", "err", err)
	}
}

// listing is a list of the keys as of a revision.
type listing struct {
	sent                time.Time // when it was requested
	items               []wire.Item
	revision            uint64
	cancellationsSynced bool // all cancellations up to the revision are known
}

// applyList applies a listing and returns true, or returns false if something
// newer has been applied already.
func (c *Cluster) applyList(l listing) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.revision < c.revision {
		return false
	}
	c.revision, c.epochLoaded = l.revision, true
	c.applyItemsLocked(l)
	if c.opts.WatchHandler != nil {
		c.opts.WatchHandler.Replace(l.items, l.revision)
	}
	if l.cancellationsSynced {
		c.cancellationsSyncedAt = l.sent
		if c.isMemberLocked() {
			c.confirmLocked(l.sent)
		}
	}
	return true
}

// applyItemsLocked replaces what is known of the keys by a listing. What was
// written while that was on its way is not in it, and the watch may bring it late:
// such transfers are kept. Without them, a machine that had just been given away
// had no owner, so it was taken again, and two controllers answered its worker
// (ran_twice).
func (c *Cluster) applyItemsLocked(l listing) {
	before := c.transfers
	c.leaderVersion, c.leader = 0, leaderRecord{}
	c.owners, c.transfers = map[string]Owner{}, map[string]transfer{}
	for _, item := range l.items {
		c.applyKeyLocked(item.Key, item.Value, item.Version)
	}
	for key, t := range before {
		if t.version > l.revision {
			c.addTransferLocked(key, t)
		}
	}
}

// applyEvents applies what a watch has brought, unless it is known already.
func (c *Cluster) applyEvents(events wire.Events) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if events.Revision <= c.revision {
		return
	}
	c.revision = events.Revision
	if c.opts.WatchHandler != nil {
		c.opts.WatchHandler.Apply(events.Events, events.Revision)
	}
	for _, event := range events.Events {
		switch {
		case event.Put != "":
			c.applyKeyLocked(event.Put, event.Value, event.Version)
		case event.Delete == leaderKey:
			c.leaderVersion, c.leader = 0, leaderRecord{}
		default:
			c.removeTransferLocked(event.Delete)
		}
	}
}

// applyKeyLocked applies a key's value. Values that cannot be decoded and an older
// epoch are ignored.
func (c *Cluster) applyKeyLocked(key string, value json.RawMessage, version uint64) {
	switch key {
	case epochKey:
		var e Epoch
		if err := json.Unmarshal(value, &e); err != nil || e.Token < c.epoch.Token {
			return
		}
		if e.Token > c.epoch.Token {
			c.opts.Log.Info("epoch", "token", e.Token, "leader", e.Leader)
		}
		c.setEpochLocked(e, version)
	case leaderKey:
		var leader leaderRecord
		if json.Unmarshal(value, &leader) == nil {
			c.leader, c.leaderVersion = leader, version
		}
	case featuresKey:
		c.applyFeaturesLocked(value, version)
	default:
		c.applyTransferLocked(key, value, version)
	}
}

// setEpochLocked makes e the known epoch and ends this controller's membership if
// e does not have it.
func (c *Cluster) setEpochLocked(e Epoch, version uint64) {
	wasMember, since := c.isMemberLocked(), c.epoch.Members[c.opts.Node].Since
	sameSince := e.Members[c.opts.Node].Since == since
	if e.Token > c.epoch.Token {
		c.resetConfirmationsLocked(wasMember && sameSince)
	}
	c.epoch, c.version, c.epochLoaded = e, version, true
	for _, p := range c.peers {
		c.recordAckLocked(p)
	}
	if wasMember && !sameSince {
		c.endMembershipLocked()
	}
}

// resetConfirmationsLocked forgets what proves nothing about a newer epoch: what
// peers said of the old one. A member that stays one keeps its own confirmation,
// since nobody may answer its workers without its membership.
func (c *Cluster) resetConfirmationsLocked(staysMember bool) {
	c.fence = fence{}
	if !staysMember {
		c.confirmedAt = time.Time{}
	}
	for _, p := range c.peers {
		p.confirmedAt = time.Time{}
	}
}
