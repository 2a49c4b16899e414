package quota

import "heronwick/internal/fleet"

// Evidence is why an attempt no longer counts as used. Apart from OwnerChanged it proves that
// the attempt is on no machine and cannot start on one.
type Evidence string

// The kinds of evidence, in addition to those of package fleet.
const (
	Exited         Evidence = "its worker reports that it has exited"
	NeverSent      Evidence = "its start was never sent"
	NotTaken       Evidence = "the peer has not taken it"
	DeniedByHost   Evidence = "its host does not have it and will not take it"
	NotOnAdopted   Evidence = "its host's machines are adopted, and it is on none of them"
	OnOwnMachine   Evidence = "its machine is adopted, and it counts as an own attempt from now on"
	GangIncomplete Evidence = "its gang found no room as a whole"
	OwnerChanged   Evidence = "another controller owns its team"
)

// Lost returns the evidence of a fleet.Lost event.
func Lost(evidence fleet.Evidence) Evidence { return Evidence(evidence) }
