// Package standin holds in-memory fakes of the systems outside a controller: the
// consensus-backed key-value store, the cloud and the workers. They can inject faults
// (partitions, dropped and delayed messages and responses, paused and restarted machines). A
// Checker verifies the rules of the protocol from outside. All timing follows time.Now, so
// tests can run the fakes under a fake clock.
package standin
