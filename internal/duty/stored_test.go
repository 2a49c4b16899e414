package duty

import (
	"encoding/json"
	"log/slog"
	"os"
	"testing"

	"heronwick/wire"
)

// Records that version 0268155 stored while it rented and returned machines can all be
// decoded. Otherwise, after an upgrade, intents that it left open would not be completed, or
// duties that it still holds would be treated as free.
func TestRecordsOfEarlierVersion(t *testing.T) {
	text, err := os.ReadFile("testdata/store-0268155.json")
	if err != nil {
		t.Fatal(err)
	}
	var items []wire.Item
	if err := json.Unmarshal(text, &items); err != nil {
		t.Fatal(err)
	}
	cache := NewRecordCache(slog.New(slog.DiscardHandler))
	cache.Replace(items, 5)
	if !cache.HasReturnIntent("host-000001") || !cache.HasReturnIntent("host-000002") {
		t.Error("HasReturnIntent: got false for a machine of a stored return intent, want true")
	}
	if returns := cache.reportReturns(); len(returns) != 1 || returns[0].Reason != "lost" || returns[0].Token != 3 || len(returns[0].Machines) != 2 {
		t.Errorf("got open returns %+v, want one of 2 machines with reason lost and token 3", returns)
	}
	rentals := cache.openRentals()
	if len(rentals) != 1 || len(rentals[0].Requests) != 1 {
		t.Fatalf("got open rentals %+v, want one with 1 request", rentals)
	}
	want := wire.RentRequest{RequestID: "heronwick-n0-1-1", Type: "m", Zone: "z", Spot: true, Count: 2}
	if got := rentals[0].Requests[0]; got != want {
		t.Errorf("got rental request %+v, want %+v", got, want)
	}
	for _, id := range []ID{reclaim, rent, cleanup, {Return, Shard("n0")}, {Cleanup, Shard("n0")}} {
		if h := cache.holderOf(id); h.corrupt || h.Node != "n0" || h.Since != 1 || h.Session != 2 || h.token != 3 {
			t.Errorf("%v: got holder %+v, want n0 since 1 with session 2 and token 3", id, h)
		}
	}
	if session := cache.sessionOf("n0"); session != 2 {
		t.Errorf("got session version %d, want 2", session)
	}
}
