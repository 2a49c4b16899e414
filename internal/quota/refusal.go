package quota

// Refusal is why the ledger refuses to reserve resources.
type Refusal string

// The refusals. Granted is the absence of one.
const (
	Granted    Refusal = ""
	OverLimit  Refusal = "the team would exceed its limit"
	Incomplete Refusal = "the records of the assignment have not been read"
	Doubted    Refusal = "a check has found an attempt of the team that was not counted"
)
