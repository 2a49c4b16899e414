package fleet

// AttemptNumberBits is how many bits number the attempts under one fencing token:
// those of a later token are all higher.
const AttemptNumberBits = 20

const (
	// LowAttemptNumbers is with how many numbers left another token is asked for.
	LowAttemptNumbers = 1 << (AttemptNumberBits - 2)
	// MinAttemptNumbers is with how many numbers left something may still be
	// placed: more than one pass over the largest fleet places.
	MinAttemptNumbers = 1 << (AttemptNumberBits - 3)
)

// AttemptNumbers gives each attempt of a scheduler a number higher than all
// before it, and than all that were given under earlier fencing tokens. The
// zero value is ready to use; it is not safe for concurrent use.
type AttemptNumbers struct{ last uint64 }

// Next returns a number under the token.
func (n *AttemptNumbers) Next(token uint64) uint64 {
	n.last = max(n.last+1, token<<AttemptNumberBits)
	return n.last
}

// Remaining returns how many numbers there are under the token.
func (n *AttemptNumbers) Remaining(token uint64) uint64 {
	end := (token + 1) << AttemptNumberBits
	return end - min(end, max(n.last+1, token<<AttemptNumberBits))
}
