package checkpoint

import (
	"fmt"
	"log/slog"
	"testing"

	"heronwick/internal/config"
	"heronwick/internal/state"
)

// Values shrink by a quarter each time that the store rejects one, down to a least
// size, and by no other error.
func TestValueLimitShrinksWhenRejected(t *testing.T) {
	limit := NewValueLimit(&config.Settings{MaxValueBytes: 2304}, slog.New(slog.DiscardHandler))
	limit.LowerIfRejected(state.ErrUnavailable)
	if got := limit.Bytes(); got != 2304-valueSlack {
		t.Errorf("%d bytes before a value was rejected", got)
	}
	limit.LowerIfRejected(fmt.Errorf("commit: %w", state.ErrRejected))
	if got := limit.Bytes(); got != 1536 {
		t.Errorf("%d bytes after one was, want three quarters of 2048", got)
	}
	if got := limit.MaxAttempts(); got != 19 {
		t.Errorf("%d attempts fit a machine's record, want 19", got)
	}
	for range 100 {
		limit.LowerIfRejected(state.ErrRejected)
	}
	if limit.Bytes() != leastValueLimit || limit.MaxAttempts() != leastAttempts {
		t.Errorf("%d bytes and %d attempts at the least", limit.Bytes(), limit.MaxAttempts())
	}
}
