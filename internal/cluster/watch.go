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
	// Delays before the retry of a failed list and of a failed watch. A random delay
	// of up to retryJitter is added to both.
	listRetry   = 200 * time.Millisecond
	watchRetry  = 100 * time.Millisecond
	retryJitter = 200 * time.Millisecond
)

// watch keeps the known state of the keys up to date until ctx ends: it lists them
// and then watches for changes. After a failed watch it lists them again.
func (c *Cluster) watch(ctx context.Context) error {
	listed := false
	for ctx.Err() == nil {
		if !listed {
			if err := c.refresh(ctx); err != nil {
				c.opts.Log.Debug("failed to read the epoch", "err", err)
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

// watchOnce waits for events after the known revision and applies them.
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

// refresh lists the keys, so that changes are known that the watch has not delivered
// yet.
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
		c.opts.Log.Debug("failed to read the epoch", "err", err)
	}
}

// listing is the result of a list request as of a revision of the store.
type listing struct {
	sent                time.Time // when the request was sent
	items               []wire.Item
	revision            uint64
	cancellationsSynced bool // whether all cancellations up to the revision are known
}

// applyList applies a listing. It reports whether it did: a listing that is older
// than the known revision is ignored.
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

// applyItemsLocked replaces the known state of the keys by a listing, but keeps
// transfers that are newer than the listing. Such a transfer was recorded while the
// list request was in flight, and the watch may deliver it late. Without it, a
// machine that had just been transferred would appear to have no owner, so its
// previous owner would adopt it again and two controllers would answer its worker
// (rule ran_twice).
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

// applyEvents applies the events of a watch unless a newer revision is already known.
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

// applyKeyLocked applies the value of a key. Values that cannot be decoded and older
// epochs are ignored.
func (c *Cluster) applyKeyLocked(key string, value json.RawMessage, version uint64) {
	switch key {
	case epochKey:
		var e Epoch
		if err := json.Unmarshal(value, &e); err != nil || e.Token < c.epoch.Token {
			return
		}
		if e.Token > c.epoch.Token {
			c.opts.Log.Info("epoch changed", "token", e.Token, "leader", e.Leader)
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

// setEpochLocked makes e the known epoch and ends the current membership of this
// controller if that is not part of e.
func (c *Cluster) setEpochLocked(e Epoch, version uint64) {
	wasMember, since := c.isMemberLocked(), c.epoch.Members[c.opts.Node].Since
	sameSince := e.Members[c.opts.Node].Since == since
	e.Assignment = e.assignmentAt(version)
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

// resetConfirmationsLocked discards what peers have reported about the old epoch,
// because it proves nothing about a newer one. A controller that remains a member
// keeps its own confirmation, because no other controller may answer its workers
// before its membership ends.
func (c *Cluster) resetConfirmationsLocked(staysMember bool) {
	c.fence = fence{}
	if !staysMember {
		c.confirmedAt = time.Time{}
	}
	for _, p := range c.peers {
		p.confirmedAt = time.Time{}
	}
}
