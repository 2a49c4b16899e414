package checkpoint

import (
	"errors"
	"log/slog"

	"heronwick/internal/config"
	"heronwick/internal/state"
)

const (
	// valueSlack is left free of what a value may hold, for what it holds beside
	// records: its syntax, a write's mark, a transfer's new owner.
	valueSlack = 256
	// leastValueLimit is the least that records in one value are limited to.
	leastValueLimit = 512
)

const (
	// imagesPart is which part of a value the images of one machine may take.
	imagesPart = 8
	// longestAttempt and longestRecord are what an attempt and a machine's record
	// without attempts and images take at most, with names of a usual length.
	longestAttempt = 56
	longestRecord  = 256
	// leastAttempts is how many attempts a machine may have however small values are.
	leastAttempts = 4
)

// ValueLimit is how large the values may be that a scheduler writes. It shrinks
// when the store rejects a value. It has no lock: the lock of the scheduler that
// owns it guards it.
type ValueLimit struct {
	settings *config.Settings
	log      *slog.Logger
	reduced  int // bytes by which values are smaller than the settings allow
}

// NewValueLimit returns the limit that the settings give.
func NewValueLimit(settings *config.Settings, log *slog.Logger) *ValueLimit {
	return &ValueLimit{settings: settings, log: log}
}

// Bytes is how many bytes the records in one value may take.
func (l *ValueLimit) Bytes() int {
	return max(leastValueLimit, l.settings.MaxValueBytes-valueSlack-l.reduced)
}

// LowerIfRejected makes values smaller if err is that the store rejected one: its
// limits are lower than the settings say.
func (l *ValueLimit) LowerIfRejected(err error) {
	if !errors.Is(err, state.ErrRejected) {
		return
	}
	l.log.Error("the store rejects a value: smaller ones from now on", "limit", l.Bytes(), "err", err)
	l.reduced += l.Bytes() / 4
}

// MaxAttempts is how many attempts a machine may have, so that its record fits a
// value.
func (l *ValueLimit) MaxAttempts() int {
	limit := l.Bytes()
	return max(leastAttempts, (limit-limit/imagesPart-longestRecord)/longestAttempt)
}

// imageBytes is how many bytes of a value the images of one machine may take.
func (l *ValueLimit) imageBytes() int { return l.Bytes() / imagesPart }
