package scheduler

// attemptBits is how many bits number the attempts under one token: those of a later
// token are all higher.
const attemptBits = 20

const (
	// fewNumbersLeft is when another token is asked for.
	fewNumbersLeft = 1 << (attemptBits - 2)
	// noNumbersLeft is when nothing is placed until it is there: more than one pass
	// over the largest fleet places.
	noNumbersLeft = 1 << (attemptBits - 3)
)

// attemptNumbers gives each attempt of a scheduler a number higher than all before it,
// and than all that were given under earlier tokens.
type attemptNumbers struct{ last uint64 }

// next returns a number under the token.
func (n *attemptNumbers) next(token uint64) uint64 {
	n.last = max(n.last+1, token<<attemptBits)
	return n.last
}

// left is how many numbers there are under the token.
func (n *attemptNumbers) left(token uint64) uint64 {
	end := (token + 1) << attemptBits
	return end - min(end, max(n.last+1, token<<attemptBits))
}
