// Package duty gives each task that only one controller may do at a time to one
// holder: renting machines, returning them, reclaiming those that nobody uses, and
// removing records.
//
// A duty is held under a lease of the state service and a fencing token. The cloud
// knows no token, so a lease that is checked before a request is sent is not
// enough: the sender may freeze in between, or the request may be carried out
// minutes later. Hence every action is preceded by an intent: a durable record,
// written on the condition of the duty's token, after which the action is harmless
// whenever it is carried out and by whomever. See docs/duties.md.
package duty

import (
	"errors"
	"fmt"
	"strings"
)

// Name says what a duty is for.
type Name string

// The duties.
const (
	Rent    Name = "rent"    // renting machines
	Return  Name = "return"  // returning the machines of a share
	Reclaim Name = "reclaim" // returning machines that no share has
	Cleanup Name = "cleanup" // removing records that decide nothing any more
)

// Names lists the duties.
func Names() []Name { return []Name{Rent, Return, Reclaim, Cleanup} }

// Scope is what a duty extends to.
type Scope string

// Fleet is the scope of a duty that one controller has for all machines.
const Fleet Scope = "fleet"

// sharePrefix begins the scope of a duty for one controller's share.
const sharePrefix = "share-"

// Share is the scope of a duty for the share of a node.
func Share(node string) Scope { return Scope(sharePrefix + node) }

// ID identifies a duty.
type ID struct {
	Name  Name
	Scope Scope
}

// String implements fmt.Stringer.
func (id ID) String() string { return string(id.Name) + "/" + string(id.Scope) }

// ParseID reads the form that String gives.
func ParseID(text string) (ID, error) {
	name, scope, found := strings.Cut(text, "/")
	if !found || scope == "" || strings.Contains(scope, "/") {
		return ID{}, fmt.Errorf("%w: %q is not of the form NAME/SCOPE", ErrUnknownDuty, text)
	}
	for _, known := range Names() {
		if Name(name) == known {
			return ID{Name: known, Scope: Scope(scope)}, nil
		}
	}
	return ID{}, fmt.Errorf("%w: %q; the duties are %v", ErrUnknownDuty, name, Names())
}

// Errors of this package.
var (
	ErrUnknownDuty = errors.New("unknown duty")
	// ErrNotHeld: this controller does not hold the duty.
	ErrNotHeld = errors.New("duty not held")
	// ErrLapsed: this controller may no longer rely on its lease.
	ErrLapsed = errors.New("the lease of the duty may have lapsed")
	// ErrReplaced: another holder has taken the duty.
	ErrReplaced = errors.New("replaced as holder of the duty")
	// ErrDamaged: a record in the store cannot be read.
	ErrDamaged    = errors.New("damaged record")
	ErrNotDamaged = errors.New("the record of the duty can be read")
	// ErrNoIntent: the action was not recorded before it was to be sent.
	ErrNoIntent = errors.New("the action is not recorded")
)
