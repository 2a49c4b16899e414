// Package state is the client of the consensus-backed key-value store that holds
// everything durable.
//
// A Client sends single requests, within a Budget that serves them by
// priority. A Committer groups concurrent writes into transactions. A
// FailoverTransport sends requests through another controller while this
// one's own path to the store fails.
package state
