// Package job keeps the records of jobs in the consensus-backed key-value store:
// accepting, cancelling and finishing them, their DAG dependencies, and the bitmaps
// of their done tasks. Its answers to users never go backwards.
//
// A job that is not over has one key under jobs/active/, written once. Its end
// removes that key and writes one under jobs/final/ with its outcome, in one
// transaction. So a cached active record whose key still has its version is
// current, and an outcome is for ever.
package job
