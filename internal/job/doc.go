// Package job keeps the records of jobs in the consensus-backed key-value
// store: accepting, cancelling and finishing them, their DAG dependencies, the
// bitmaps of their done tasks, and answering for them without ever going
// backwards.
//
// A job that is not over has one key under jobs/active/, written once; its
// end removes that key and writes one under jobs/final/, in one transaction.
// So a cached record that still has its version is the truth.
package job
