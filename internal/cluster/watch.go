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

// refresh reads the epoch, the leader key and the transfers, perhaps before the
// watch brings them.
func (c *Cluster) refresh(ctx context.Context) error {
	sent := time.Now()
	items, revision, err := c.opts.Client.List(ctx, state.Urgent, prefix)
	if err != nil {
		return err
	}
	caughtUp := c.opts.Cancellations.SyncToRevision(ctx, revision) == nil
	if c.applyList(sent, items, revision, caughtUp) {
		c.opts.Changed()
	}
	return nil
}

// applyList takes what a list that was asked for at sent has shown, or returns
// false if more recent news has been taken since.
func (c *Cluster) applyList(sent time.Time, items []wire.Item, revision uint64, caughtUp bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision < c.revision {
		return false
	}
	c.revision, c.known = revision, true
	c.leaderVersion, c.leader = 0, leaderRecord{}
	newer := c.transfers
	c.owners, c.transfers = map[string]Owner{}, map[string]transfer{}
	for _, item := range items {
		c.applyKeyLocked(item.Key, item.Value, item.Version)
	}
	// What was written while the list was on its way is not in it, and the
	// watch may bring it late: a machine given a moment ago was nobody's, so
	// taken again, and two controllers answered its worker (ran_twice).
	for key, t := range newer {
		if t.version > revision {
			c.addTransferLocked(key, t)
		}
	}
	if c.opts.WatchHandler != nil {
		c.opts.WatchHandler.Replace(items, revision)
	}
	if caughtUp {
		c.caughtUp = sent
		if c.memberLocked() {
			c.confirmLocked(sent)
		}
	}
	return true
}

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
		var l leaderRecord
		if json.Unmarshal(value, &l) == nil {
			c.leader, c.leaderVersion = l, version
		}
	case featuresKey:
		c.applyFeaturesLocked(value, version)
	default:
		c.applyTransferLocked(key, value, version)
	}
}

// setEpochLocked takes a newer epoch and stops RunMembership if this controller is
// no member any more.
func (c *Cluster) setEpochLocked(e Epoch, version uint64) {
	was, since := c.memberLocked(), c.epoch.Members[c.opts.Node].Since
	if e.Token > c.epoch.Token {
		// What peers said of the old epoch proves nothing about this one: a
		// member stays permitted for what it has confirmed before, since
		// nobody may answer its workers without its membership.
		c.fence = fence{}
		if !was || e.Members[c.opts.Node].Since != since {
			c.confirmed = time.Time{}
		}
		for _, p := range c.peers {
			p.confirmedAt = time.Time{}
		}
	}
	c.epoch, c.version, c.known = e, version, true
	for _, p := range c.peers {
		c.noteAckLocked(p)
	}
	if was && c.epoch.Members[c.opts.Node].Since != since && c.stopMembership != nil {
		c.opts.Log.Info("share ends: its membership is over", "token", e.Token, "leader", e.Leader)
		c.stopMembership()
		c.stopMembership = nil
	}
}

// watch follows the epoch and the leader key.
func (c *Cluster) watch(ctx context.Context) error {
	fresh := false
	for ctx.Err() == nil {
		if !fresh {
			if err := c.refresh(ctx); err != nil {
				c.opts.Log.Debug("reading the epoch failed", "err", err)
				wait.Sleep(ctx, 200*time.Millisecond+rand.N(200*time.Millisecond))
				continue
			}
			fresh = true
			c.poke()
		}
		c.mu.Lock()
		after := c.revision
		c.mu.Unlock()
		events, err := c.opts.Client.Watch(ctx, prefix, after, watchFor)
		if err != nil {
			fresh = false
			wait.Sleep(ctx, 100*time.Millisecond+rand.N(200*time.Millisecond))
			continue
		}
		c.mu.Lock()
		if events.Revision > c.revision {
			c.revision = events.Revision
			if c.opts.WatchHandler != nil {
				c.opts.WatchHandler.Apply(events.Events, events.Revision)
			}
			for _, e := range events.Events {
				if e.Put != "" {
					c.applyKeyLocked(e.Put, e.Value, e.Version)
				} else if e.Delete == leaderKey {
					c.leaderVersion, c.leader = 0, leaderRecord{}
				} else {
					c.removeTransferLocked(e.Delete)
				}
			}
		}
		c.mu.Unlock()
		if len(events.Events) > 0 {
			c.poke()
			c.opts.Changed()
		}
	}
	return nil
}
