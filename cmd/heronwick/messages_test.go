package main

import (
	"encoding/json"
	"os"
	"testing"

	"google.golang.org/protobuf/proto"

	"heronwick/internal/cluster/peerpb"
)

// Messages that the version in production really sent are understood whole; who
// sends such a status counts as of no feature level.
func TestMessagesOfTheProductionVersion(t *testing.T) {
	text, err := os.ReadFile("testdata/production/messages.json")
	if err != nil {
		t.Fatal(err)
	}
	var messages map[string][]byte
	if err := json.Unmarshal(text, &messages); err != nil {
		t.Fatal(err)
	}
	read := map[string]proto.Message{"Beat": &peerpb.Status{}, "BeatAnswer": &peerpb.Status{}, "Tell": &peerpb.TellRequest{},
		"Place": &peerpb.PlaceRequest{}, "PlaceAnswer": &peerpb.PlaceReply{}, "Settle": &peerpb.SettleRequest{}, "SettleAnswer": &peerpb.SettleReply{}}
	for kind, m := range read {
		if err := proto.Unmarshal(messages[kind], m); err != nil || len(messages[kind]) == 0 {
			t.Errorf("%s: %d bytes, %v", kind, len(messages[kind]), err)
		}
		if unknown := m.ProtoReflect().GetUnknown(); len(unknown) > 0 {
			t.Errorf("%s has %d bytes that are not understood", kind, len(unknown))
		}
	}
	beat, _ := read["Beat"].(*peerpb.Status)
	if beat.GetFeatureLevel() != 0 || beat.GetIncarnation() == 0 || len(beat.GetProgress()) == 0 || !beat.GetJobsRead() {
		t.Errorf("a heartbeat reads %v", beat)
	}
	tell, _ := read["Tell"].(*peerpb.TellRequest)
	if len(tell.GetCancelled()) != 1 || tell.GetCancelled()[0].GetJob() != "wk-000011" {
		t.Errorf("a cancellation reads %v", tell)
	}
}
