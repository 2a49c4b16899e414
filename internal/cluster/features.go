package cluster

import (
	"context"
	"encoding/json"

	"heronwick/internal/state"
	"heronwick/wire"
)

// FeatureLevel says what a version of the software supports. Old and new versions
// serve side by side during an upgrade. A feature that the older one could not
// handle safely is used only once every configured controller has been seen with
// the newer one and that is recorded in the store: from then on none is ever
// started with the older version again.
type FeatureLevel uint32

// The feature levels.
const (
	// LevelNone is the level of versions that report none.
	LevelNone FeatureLevel = iota
	// LevelDependencies: jobs may depend on others.
	LevelDependencies
	// LevelDuties: returns and rentals of machines are recorded as intents before
	// they are requested.
	LevelDuties

	supportedLevel = LevelDuties // by this version
)

// featuresKey holds the recorded level. Versions without levels ignore it.
const featuresKey = prefix + "features"

// featuresRecord is the value of featuresKey.
type featuresRecord struct {
	Level FeatureLevel `json:"level"`
}

// features is the recorded level, as far as this controller has seen.
type features struct {
	level   FeatureLevel
	version uint64 // of the key; 0: there is none
}

// Supports reports whether the deployment has the level. Once it has, it always
// will.
func (c *Cluster) Supports(level FeatureLevel) bool { return c.FeatureLevel() >= level }

// FeatureLevel returns the deployment's recorded level.
func (c *Cluster) FeatureLevel() FeatureLevel {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.features.level
}

// applyFeaturesLocked applies the value of featuresKey.
func (c *Cluster) applyFeaturesLocked(value json.RawMessage, version uint64) {
	var record featuresRecord
	if json.Unmarshal(value, &record) != nil || version <= c.features.version {
		return
	}
	if record.Level > c.features.level {
		c.opts.Log.Info("feature level", "level", record.Level)
	}
	c.features = features{level: max(c.features.level, record.Level), version: version}
}

// commonLevelLocked returns the highest level that all controllers are known to
// support. One that has not been heard from since this controller started may be
// of any version.
func (c *Cluster) commonLevelLocked() FeatureLevel {
	common := supportedLevel
	for _, p := range c.peers {
		common = min(common, p.level)
	}
	return common
}

// recordFeatureLevel records the level that all controllers support, if it is higher than
// the recorded one. Only the leader calls it.
func (c *Cluster) recordFeatureLevel(ctx context.Context) {
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
		return // the watch brings what is recorded, and the next round tries again
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyFeaturesLocked(value, revision)
}
