// Package cluster keeps the controllers' membership, elects their leader and
// holds the epoch: which controllers may command workers, under which fencing
// token.
//
// One unleased key of the store holds the epoch: its fencing token, the leader,
// the members, and which member owns each team. Each change of it is a
// compare-and-swap that raises the token. Workers reject whatever bears a lower
// token than they have seen, so the token is what fences an old leader. The
// leader's leased key only decides when another controller may campaign.
//
// A controller answers heartbeats only while it is a member and its epoch was
// confirmed lately, by the store or by a majority of the controllers; see
// fencing.go and docs/design.md, "Fencing".
package cluster
