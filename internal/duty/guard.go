package duty

import (
	"heronwick/internal/state"
	"heronwick/wire"
)

// Guard is the right to act for a duty. Only a Keeper makes one that is of use: the
// zero Guard permits nothing.
type Guard struct {
	keeper   *Keeper
	id       ID
	token    uint64
	unfenced bool
}

// Check tells whether the duty is still held as when the Guard was made.
func (g Guard) Check() error {
	if g.unfenced {
		return nil
	}
	if g.keeper == nil {
		return ErrNotHeld
	}
	return g.keeper.check(g.id, g.token)
}

// Conditions fence a transaction: it fails once another holder has taken the duty.
func (g Guard) Conditions() []wire.Condition {
	if g.unfenced {
		return nil
	}
	return []wire.Condition{{Key: holderKey(g.id), Version: g.token}}
}

// Bind makes a write fail once another holder has taken the duty.
func (g Guard) Bind(w state.Write) state.Write {
	w.If = append(g.Conditions(), w.If...)
	return w
}
