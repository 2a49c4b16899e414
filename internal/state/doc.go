// Package state is the client of the consensus-backed key-value store that holds
// all durable data.
//
// A Client sends single requests. Its Budget limits their rate and serves them by
// priority. A Committer groups concurrent writes into transactions. A
// FailoverTransport sends requests through another controller while this
// controller's direct path to the store fails.
package state
