// Package cluster maintains the membership of the controllers, elects their
// leader and manages the epoch. The epoch determines which controllers may
// command workers, and under which fencing token.
//
// One key of the key-value store, which has no lease, holds the epoch: its fencing
// token, the leader, the members, and the owner of each team. Every change of the
// epoch is a compare-and-swap that increments the token. Workers reject every
// request with a token lower than the highest that they have seen, so the token
// fences off a former leader. The leader's key has a lease, but that only
// determines when another controller may campaign.
//
// A controller answers heartbeats only while it is a member and the store or a
// majority of the controllers has recently confirmed that its epoch is current;
// see fencing.go and docs/design.md, "Fencing".
package cluster
