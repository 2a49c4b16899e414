// Package standin holds in-memory fakes of the world outside a controller: the
// consensus-backed key-value store, the cloud and the workers, with fault injection
// (partitions, dropped and delayed messages and responses, paused and restarted
// machines), and a Checker that verifies the protocol's rules from outside. They
// follow the published protocols by whatever clock time.Now shows, so that tests run
// them under a fake one.
package standin
