package checkpoint

import (
	"fmt"
	"log/slog"
	"testing"

	"heronwick/internal/config"
	"heronwick/internal/state"
)

// The limit is reduced by a quarter each time the store rejects a value, down to a
// minimum. Other errors do not reduce it.
func TestValueLimitShrinksWhenRejected(t *testing.T) {
	limit := NewValueLimit(&config.Settings{MaxValueBytes: 2304}, slog.New(slog.DiscardHandler))
	limit.LowerIfRejected(state.ErrUnavailable)
	if got := limit.Bytes(); got != 2304-valueReserve {
		t.Errorf("got a limit of %d bytes before a value was rejected, want the configured one", got)
	}
	limit.LowerIfRejected(fmt.Errorf("commit: %w", state.ErrRejected))
	if got := limit.Bytes(); got != 1536 {
		t.Errorf("got a limit of %d bytes after one rejection, want three quarters of 2048", got)
	}
	if got := limit.MaxAttempts(); got != 19 {
		t.Errorf("got a maximum of %d attempts, want 19", got)
	}
	for range 100 {
		limit.LowerIfRejected(state.ErrRejected)
	}
	if limit.Bytes() != minValueLimit || limit.MaxAttempts() != minAttempts {
		t.Errorf("got %d bytes and %d attempts after many rejections, want the minimums", limit.Bytes(), limit.MaxAttempts())
	}
}
