package duty

import (
	"fmt"
	"slices"
	"strings"
)

// Name is the kind of action that a duty permits.
type Name string

// The names of duties.
const (
	Rent    Name = "rent"    // renting machines
	Return  Name = "return"  // returning the machines of one shard
	Reclaim Name = "reclaim" // returning machines that belong to no shard
	Cleanup Name = "cleanup" // removing records that are no longer needed
)

// Names lists the names of duties.
func Names() []Name { return []Name{Rent, Return, Reclaim, Cleanup} }

// Scope is the part of the cluster that a duty covers: the whole fleet or one shard.
type Scope string

// Fleet is the scope of a duty that covers all machines.
const Fleet Scope = "fleet"

// shardPrefix precedes the name of the node in the scope of its shard.
const shardPrefix = "share-"

// Shard returns the scope of the shard that belongs to a node.
func Shard(node string) Scope { return Scope(shardPrefix + node) }

// ID identifies a duty.
type ID struct {
	Name  Name
	Scope Scope
}

// String returns the ID in the form NAME/SCOPE.
func (id ID) String() string { return string(id.Name) + "/" + string(id.Scope) }

// compareIDs orders IDs by their string form.
func compareIDs(a, b ID) int { return strings.Compare(a.String(), b.String()) }

// ParseID parses an ID of the form NAME/SCOPE. It returns ErrUnknownDuty for any other text.
func ParseID(text string) (ID, error) {
	name, scope, found := strings.Cut(text, "/")
	if !found || scope == "" || strings.Contains(scope, "/") {
		return ID{}, fmt.Errorf("%w: %q is not of the form NAME/SCOPE", ErrUnknownDuty, text)
	}
	if !slices.Contains(Names(), Name(name)) {
		return ID{}, fmt.Errorf("%w: %q; the duties are %v", ErrUnknownDuty, name, Names())
	}
	return ID{Name: Name(name), Scope: Scope(scope)}, nil
}
