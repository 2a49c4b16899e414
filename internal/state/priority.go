package state

// Priority orders the requests of one controller to the key-value store. Lower
// values are served first.
type Priority int

// The priorities, most important first.
const (
	Urgent     Priority = iota // lease renewals, the epoch
	Placement                  // the journal of placements, one write at a time
	Safety                     // ends of jobs, cancellations, and answers to users
	Submission                 // accepting new jobs
	Background                 // what nobody waits for
	priorities                 // how many there are
)

// String returns the priority's name for logs and metrics.
func (p Priority) String() string {
	return [...]string{"urgent", "placement", "safety", "submission", "background"}[p]
}
