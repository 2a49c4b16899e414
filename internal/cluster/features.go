package cluster

import (
	"context"
	"encoding/json"

	"heronwick/internal/state"
	"heronwick/wire"
)

// Old and new versions serve side by side while an upgrade goes on. What the
// older one could not use safely begins only once every configured controller
// has been seen with the newer, and that is in the store: from then on none is
// ever started with the older one again.

// FeatureLevel says what a version supports; a deployment has the level that was
// last recorded.
type FeatureLevel uint32

// The feature levels.
const (
	// LevelNone is that of the version before levels were told.
	LevelNone FeatureLevel = iota
	// LevelDependencies: jobs may need others.
	LevelDependencies
	// LevelDuties: machines are condemned before they are returned, and rentals are
	// recorded before they are asked for.
	LevelDuties

	supportedLevel = LevelDuties
)

// featuresKey holds the recorded level. The version before levels passes it over.
const featuresKey = prefix + "features"

// featuresRecord is the value of featuresKey.
type featuresRecord struct {
	Level FeatureLevel `json:"level"`
}

// features is the recorded level, as far as this controller knows.
type features struct {
	level   FeatureLevel
	version uint64 // of the key; 0: there is none
}

// Supports tells whether the deployment has the level, which is for ever.
func (c *Cluster) Supports(level FeatureLevel) bool { return c.FeatureLevel() >= level }

// FeatureLevel is the deployment's level.
func (c *Cluster) FeatureLevel() FeatureLevel {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.features.level
}

func (c *Cluster) applyFeaturesLocked(value json.RawMessage, version uint64) {
	var r featuresRecord
	if json.Unmarshal(value, &r) != nil || version <= c.features.version {
		return
	}
	if r.Level > c.features.level {
		c.opts.Log.Info("feature level", "level", r.Level)
	}
	c.features = features{level: max(c.features.level, r.Level), version: version}
}

// commonLevelLocked is the highest level that all controllers are known to
// support. One that has not been heard since this controller started may be of
// any version.
func (c *Cluster) commonLevelLocked() FeatureLevel {
	common := supportedLevel
	for _, p := range c.peers {
		common = min(common, p.level)
	}
	return common
}

// raiseLevel records the level that all controllers support, if it is higher than
// the recorded one. Only the leader does.
func (c *Cluster) raiseLevel(ctx context.Context) {
	c.mu.Lock()
	recorded, common := c.features, c.commonLevelLocked()
	c.mu.Unlock()
	if common <= recorded.level {
		return
	}
	value, err := json.Marshal(featuresRecord{Level: common})
	if err != nil {
		return
	}
	revision, err := c.opts.Client.Txn(ctx, state.Urgent, wire.Txn{
		If:   []wire.Condition{{Key: featuresKey, Version: recorded.version}},
		Then: []wire.Change{{Put: featuresKey, Value: value}},
	})
	if err != nil {
		c.opts.Log.Info("recording the feature level failed", "level", common, "err", err)
		return // the watch tells what stands, and the next round tries again
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyFeaturesLocked(value, revision)
}
