package cluster

import (
	"context"
	"encoding/json"

	"heronwick/internal/state"
	"heronwick/wire"
)

// FeatureLevel identifies the features that a version of the software supports.
// During a rolling upgrade, old and new versions run side by side. A feature that
// the old version cannot handle safely is used only after every configured
// controller has reported the new version and that fact is recorded in the store.
// From then on, no controller may be started with the old version again.
type FeatureLevel uint32

// The feature levels.
const (
	// LevelNone is the level of versions that do not report a feature level.
	LevelNone FeatureLevel = iota
	// LevelDependencies adds jobs that depend on other jobs.
	LevelDependencies
	// LevelDuties adds intents: returns and rentals of machines are recorded in the
	// store before they are requested.
	LevelDuties

	supportedLevel = LevelDuties // highest level that this version supports
)

// featuresKey holds the recorded level. Versions without feature levels ignore it.
const featuresKey = prefix + "features"

// featuresRecord is the value of featuresKey.
type featuresRecord struct {
	Level FeatureLevel `json:"level"`
}

// features is the recorded level as last read from the store.
type features struct {
	level   FeatureLevel
	version uint64 // of featuresKey; 0 means that the key does not exist
}

// Supports reports whether the deployment has the level. Once it returns true, it
// never returns false again.
func (c *Cluster) Supports(level FeatureLevel) bool { return c.FeatureLevel() >= level }

// FeatureLevel returns the recorded level of the deployment.
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
		c.opts.Log.Info("feature level raised", "level", record.Level)
	}
	c.features = features{level: max(c.features.level, record.Level), version: version}
}

// commonLevelLocked returns the highest level that all controllers are known to
// support. It is LevelNone while a peer has not reported its level since this
// controller started, because that peer may run any version.
func (c *Cluster) commonLevelLocked() FeatureLevel {
	common := supportedLevel
	for _, p := range c.peers {
		common = min(common, p.level)
	}
	return common
}

// recordFeatureLevel writes the level that all controllers support to the store if it
// is higher than the recorded one. Only the leader calls it.
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
		c.opts.Log.Info("failed to record the feature level", "level", common, "err", err)
		return // the watch reports the recorded level, and the next election round retries
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applyFeaturesLocked(value, revision)
}
