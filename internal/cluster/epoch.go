package cluster

import (
	"encoding/json"
	"hash/fnv"
	"maps"
	"math"
	"strings"
)

// Epoch determines which controllers may command workers, and under which fencing
// token.
type Epoch struct {
	Token       uint64 `json:"token"`
	Leader      string `json:"leader"`
	Incarnation uint64 `json:"incarnation"` // of the leader
	// Members are the controllers that run a scheduler, by node.
	Members map[string]Member `json:"members"`
	// Teams maps each team to the member that owns it. A job whose team is not
	// listed belongs to the member that its ID hashes to.
	Teams map[string]string `json:"teams"`
	// Assignment identifies the assignment that Leader, Members and Teams make up.
	Assignment Assignment `json:"assignment,omitzero"`
}

// Assignment identifies an assignment of jobs and machines to members, which one or more
// successive epochs share. Only its identity shows whether it has changed: between two
// epochs with equal members and teams there may have been others in which another member
// owned a team, placed its tasks and left. The controller that writes an epoch knows the
// one before it, and so whether it begins a new assignment.
type Assignment struct {
	Token    uint64 `json:"token"`              // of the epoch that began the assignment
	Version  uint64 `json:"version,omitempty"`  // of the epoch's key as of that epoch; the epoch itself cannot contain it
	Previous uint64 `json:"previous,omitempty"` // Token of the assignment before this one; 0 if it is not known
}

// Succeeds reports whether no other assignment was in force between an earlier one and
// this one.
func (a Assignment) Succeeds(earlier Assignment) bool {
	return a.Token == earlier.Token || a.Previous == earlier.Token
}

// assignmentAt returns the assignment of the epoch, whose key has the given version. An
// epoch that does not name one was written by a version of the software that knows no
// assignments. It may have changed anything, so it begins an assignment that succeeds no
// known one.
func (e *Epoch) assignmentAt(version uint64) Assignment {
	a := e.Assignment
	if a.Token == 0 {
		a.Token = e.Token
	}
	if a.Token == e.Token {
		a.Version = version
	}
	return a
}

// Member is a controller that runs a scheduler. A controller that joins again,
// whether or not it has restarted, has a different Since and no longer owns what it
// owned as a member before.
type Member struct {
	Incarnation uint64 `json:"incarnation"`
	Since       uint64 `json:"since"` // token of the epoch in which it joined; identifies this membership
}

// OwnerOf returns the member that owns a job of a team.
func (e *Epoch) OwnerOf(team, job string) string {
	if node, ok := e.Teams[team]; ok {
		return node
	}
	return e.rendezvous(job)
}

// rendezvous returns the member with the highest hash for a job (rendezvous
// hashing). When members join or leave, the result changes for few jobs only.
func (e *Epoch) rendezvous(job string) string {
	best, highest := "", uint64(0)
	for node := range e.Members {
		h := fnv.New64a()
		_, _ = h.Write([]byte(node + "/" + job))
		if sum := h.Sum64(); best == "" || sum > highest || sum == highest && node < best {
			best, highest = node, sum
		}
	}
	return best
}

// beginAssignment makes a new epoch, returned by next, begin a new assignment.
func (e *Epoch) beginAssignment() {
	e.Assignment = Assignment{Token: e.Token, Previous: e.Assignment.Token}
}

// next returns a deep copy of the epoch with the token incremented. It has the same
// assignment.
func (e *Epoch) next() Epoch {
	next := *e
	next.Token++
	next.Members, next.Teams = maps.Clone(e.Members), maps.Clone(e.Teams)
	if next.Members == nil {
		next.Members = map[string]Member{}
	}
	if next.Teams == nil {
		next.Teams = map[string]string{}
	}
	return next
}

// maxEpochBytes returns the maximum size of the encoded epoch with these controllers
// and teams. The epoch is a single value, so the value limit of the store also
// limits the number of controllers and teams.
func maxEpochBytes(nodes, teams []string) int {
	longest := ""
	members := map[string]Member{}
	for _, node := range nodes {
		members[node] = Member{Incarnation: math.MaxUint64, Since: math.MaxUint64}
		longest = strings.Repeat("x", max(len(longest), len(node)))
	}
	owners := map[string]string{}
	for _, team := range teams {
		owners[team] = longest
	}
	value, err := json.Marshal(Epoch{
		Token: math.MaxUint64, Leader: longest, Incarnation: math.MaxUint64, Members: members, Teams: owners,
		Assignment: Assignment{Token: math.MaxUint64, Version: math.MaxUint64, Previous: math.MaxUint64},
	})
	if err != nil {
		panic(err) // cannot happen: every Epoch can be encoded
	}
	return len(value)
}
