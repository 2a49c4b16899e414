package fleet

// AttemptNumberBits is the number of low bits of an attempt number that distinguish the
// attempts under one fencing token. The bits above contain the token, so the numbers
// under a later token are always higher.
const AttemptNumberBits = 20

const (
	// LowAttemptNumbers is the number of remaining attempt numbers below which a higher
	// fencing token is requested.
	LowAttemptNumbers = 1 << (AttemptNumberBits - 2)
	// MinAttemptNumbers is the number of remaining attempt numbers below which no task
	// is placed. One scheduling pass over the largest fleet uses fewer.
	MinAttemptNumbers = 1 << (AttemptNumberBits - 3)
)

// AttemptNumbers assigns numbers to the attempts of a scheduler. Each number is higher
// than all earlier ones, including those assigned under earlier fencing tokens. The
// zero value is ready to use. It is not safe for concurrent use.
type AttemptNumbers struct{ last uint64 }

// Next assigns the next number under the fencing token.
func (n *AttemptNumbers) Next(token uint64) uint64 {
	n.last = max(n.last+1, token<<AttemptNumberBits)
	return n.last
}

// Remaining returns how many numbers are left under the fencing token.
func (n *AttemptNumbers) Remaining(token uint64) uint64 {
	end := (token + 1) << AttemptNumberBits
	return end - min(end, max(n.last+1, token<<AttemptNumberBits))
}
