package cloud

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"heronwick/wire"
)

// Only a response with status 503 and the error "no capacity" means that nothing was
// rented. After any other failure, the rental may have been executed.
func TestRentErrors(t *testing.T) {
	for _, test := range []struct {
		status int
		body   string
		want   error
	}{
		{200, `{"perches":["host-1","host-2"]}`, nil},
		{200, `{`, ErrUnavailable},
		{503, `{"error":"no capacity"}`, ErrNoCapacity},
		{503, `{"error":"overloaded"}`, ErrUnavailable},
		{500, ``, ErrUnavailable},
	} {
		var sent string
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			sent = r.Method + " " + r.URL.Path + " " + string(body)
			w.WriteHeader(test.status)
			_, _ = io.WriteString(w, test.body)
		}))
		client := NewClient(strings.TrimPrefix(server.URL, "http://"), 10)
		machines, err := client.Rent(context.Background(), wire.RentRequest{RequestID: "r1", Count: 2})
		server.Close()
		if !errors.Is(err, test.want) || (err == nil) != (len(machines) == 2) {
			t.Errorf("status %d, body %q: got machines %v and error %v, want two machines or the error of the test case", test.status, test.body, machines, err)
		}
		if !strings.HasPrefix(sent, `POST /rentals {"tender":"r1"`) {
			t.Errorf("got request %q, want a POST of /rentals with the request id r1", sent)
		}
	}
}
