package duty

import (
	"errors"
	"testing"
)

// ParseID accepts the result of ID.String and rejects any other text.
func TestParseID(t *testing.T) {
	for _, id := range []ID{reclaim, {Return, Shard("perch-1")}} {
		if got, err := ParseID(id.String()); err != nil || got != id {
			t.Errorf("ParseID(%q): got %v and error %v, want the same ID", id, got, err)
		}
	}
	for _, text := range []string{"", "rent", "rent/", "dance/fleet", "rent/a/b"} {
		if _, err := ParseID(text); !errors.Is(err, ErrUnknownDuty) {
			t.Errorf("ParseID(%q): got error %v, want ErrUnknownDuty", text, err)
		}
	}
}
