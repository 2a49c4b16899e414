package checkpoint

import (
	"errors"
	"log/slog"

	"heronwick/internal/config"
	"heronwick/internal/state"
)

const (
	// valueReserve is the number of bytes of a value that are reserved for everything
	// except records: syntax, the ID of the write, the new owner of a transfer.
	valueReserve = 256
	// minValueLimit is the minimum of ValueLimit.Bytes.
	minValueLimit = 512
)

const (
	// imagesDivisor determines the size limit for the images of one machine: the value
	// limit divided by imagesDivisor.
	imagesDivisor = 8
	// maxAttemptBytes and maxBaseRecordBytes are the maximum sizes of an attempt and of a
	// machine's record without attempts and images, for names of usual length.
	maxAttemptBytes    = 56
	maxBaseRecordBytes = 256
	// minAttempts is the minimum of ValueLimit.MaxAttempts.
	minAttempts = 4
)

// ValueLimit is the size limit for the values that a scheduler writes. It is reduced
// when the store rejects a value. It has no lock of its own: the lock of the scheduler
// that owns it guards it.
type ValueLimit struct {
	settings  *config.Settings
	log       *slog.Logger
	reduction int // number of bytes that the limit has been reduced by
}

// NewValueLimit returns the limit from the settings.
func NewValueLimit(settings *config.Settings, log *slog.Logger) *ValueLimit {
	return &ValueLimit{settings: settings, log: log}
}

// Bytes returns the maximum number of bytes for the records in one value.
func (l *ValueLimit) Bytes() int {
	return max(minValueLimit, l.settings.MaxValueBytes-valueReserve-l.reduction)
}

// LowerIfRejected reduces the limit if err means that the store has rejected a value:
// the limit of the store is lower than the settings say.
func (l *ValueLimit) LowerIfRejected(err error) {
	if !errors.Is(err, state.ErrRejected) {
		return
	}
	l.log.Error("the store rejects a value: reducing the maximum value size", "limit", l.Bytes(), "err", err)
	l.reduction += l.Bytes() / 4
}

// MaxAttempts returns the maximum number of attempts on a machine that have not exited,
// so that its record, which contains only these, fits in one value.
func (l *ValueLimit) MaxAttempts() int {
	limit := l.Bytes()
	return max(minAttempts, (limit-limit/imagesDivisor-maxBaseRecordBytes)/maxAttemptBytes)
}

// imageBytes returns the maximum number of bytes for the images of one machine.
func (l *ValueLimit) imageBytes() int { return l.Bytes() / imagesDivisor }
