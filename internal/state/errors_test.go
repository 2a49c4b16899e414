package state

import "testing"

// Users read these texts in responses, so renaming identifiers must not change them.
// This has happened once.
func TestErrorTextsAreKept(t *testing.T) {
	for _, test := range []struct {
		err  error
		want string
	}{
		{ErrUnavailable, "state service unavailable"},
		{ErrUnknown, "no response from the state service"},
		{ErrNotFound, "no such key or lease"},
		{ErrCompacted, "the watched revision is too old"},
		{ErrRejected, "rejected by the state service"},
		{ErrNotSent, "not sent"},
		{(&Client{}).statusError(Response{Status: 500, Body: []byte("broken")}), "state service: status 500: broken"},
	} {
		if got := test.err.Error(); got != test.want {
			t.Errorf("got %q, want %q", got, test.want)
		}
	}
}
