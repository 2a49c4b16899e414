// Package duty ensures that, for each duty, at most one controller at a time acts: rents
// machines, returns them, reclaims unused ones or removes records.
//
// A controller holds a duty under a lease of the key-value store and with a fencing token.
// The cloud does not check fencing tokens, so checking the lease before each request is
// not enough: the sender may be paused between the check and the request, or the network
// may deliver the request minutes later. Every action is therefore preceded by an intent,
// a durable record that is written by compare-and-swap on the duty's token. Once the intent
// is recorded, the action is idempotent, and any controller may safely send it at any later
// time. An intent is open until it is removed (closed) after its action has completed.
// See docs/duties.md.
//
// RecordCache holds a local copy of the stored duties and intents, Manager acquires and
// renews the duties of this controller, and Actions records intents and sends requests to
// the cloud.
package duty
