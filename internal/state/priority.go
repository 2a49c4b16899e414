package state

// Priority determines the order in which a controller's requests to the key-value
// store are served. Lower values are served first.
type Priority int

// The priorities, most important first.
const (
	Urgent     Priority = iota // lease renewals, the epoch, duties, intents to return machines, and reads of a takeover
	Placement                  // the journal of placements, one write at a time, transfers of machines, and intents to rent
	Safety                     // ends of jobs, cancellations, and reads for user requests
	Submission                 // accepting new jobs
	Background                 // requests that no caller is blocked by
	priorities                 // the number of priorities
)

// String returns the priority's name for logs and metrics.
func (p Priority) String() string {
	return [...]string{"urgent", "placement", "safety", "submission", "background"}[p]
}
