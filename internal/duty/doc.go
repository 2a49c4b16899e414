// Package duty makes sure that at most one controller at a time rents machines, returns
// them, reclaims unused ones or removes records.
//
// A controller holds a duty under a lease of the key-value store and with a fencing token.
// The cloud does not check fencing tokens, so checking the lease before each request is
// not enough: the sender may be paused between the check and the request, or the network
// may deliver the request minutes later. Every action is therefore preceded by an intent,
// a durable record that is written by compare-and-swap on the duty's token. Once its
// intent is recorded an action is idempotent and safe at any later time, whoever sends it.
// See docs/duties.md.
//
// RecordCache mirrors the stored duties and intents, Manager acquires and renews the duties of
// this controller, and Actions records intents and sends requests to the cloud.
package duty
