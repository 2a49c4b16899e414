// Package checkpoint records what may be on the machines of a scheduler in the
// consensus-backed key-value store.
package checkpoint
