package cluster

import (
	"encoding/json"
	"hash/fnv"
	"math"
	"strings"
)

// Epoch says who commands workers, and under which token.
type Epoch struct {
	Token       uint64 `json:"token"`
	Leader      string `json:"leader"`
	Incarnation uint64 `json:"incarnation"`
	// Members are the controllers that schedule, by node.
	Members map[string]Member `json:"members"`
	// Teams says which member owns each team. A job whose team is not listed
	// belongs to the member that its id hashes to.
	Teams map[string]string `json:"teams"`
}

// largestEpoch is how many bytes the epoch takes at most with these controllers and
// teams. It is one value, so the state service's limits bound how many there may be.
func largestEpoch(nodes, teams []string) int {
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
	value, err := json.Marshal(Epoch{Token: math.MaxUint64, Leader: longest, Incarnation: math.MaxUint64, Members: members, Teams: owners})
	if err != nil {
		panic(err) // an Epoch holds nothing that cannot be encoded
	}
	return len(value)
}

// Member is a controller that schedules. One that comes back, as the same
// incarnation or another, has another Since and owns nothing of what it had.
type Member struct {
	Incarnation uint64 `json:"incarnation"`
	Since       uint64 `json:"since"` // token of the epoch in which it joined
}

// OwnerOf returns the member that owns a job.
func (e *Epoch) OwnerOf(team, job string) string {
	if node, ok := e.Teams[team]; ok {
		return node
	}
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
