package main

import (
	"encoding/json"
	"os"
	"testing"

	"google.golang.org/protobuf/proto"

	"heronwick/internal/cluster/peerpb"
)

// Guards against messages from controllers of the version in production that this version
// cannot decode completely. That version sends no feature level in its status, so its
// feature level must be 0.
func TestMessagesOfTheProductionVersion(t *testing.T) {
	text, err := os.ReadFile("testdata/production/messages.json")
	if err != nil {
		t.Fatal(err)
	}
	var messages map[string][]byte
	if err := json.Unmarshal(text, &messages); err != nil {
		t.Fatal(err)
	}
	heartbeat, cancellations := &peerpb.Status{}, &peerpb.TellRequest{}
	for kind, message := range map[string]proto.Message{
		"Beat": heartbeat, "BeatAnswer": &peerpb.Status{}, "Tell": cancellations,
		"Place": &peerpb.PlaceRequest{}, "PlaceAnswer": &peerpb.PlaceReply{},
		"Settle": &peerpb.SettleRequest{}, "SettleAnswer": &peerpb.SettleReply{},
	} {
		if err := proto.Unmarshal(messages[kind], message); err != nil || len(messages[kind]) == 0 {
			t.Errorf("%s: got %d bytes and error %v, want a decodable message", kind, len(messages[kind]), err)
		}
		if unknown := message.ProtoReflect().GetUnknown(); len(unknown) > 0 {
			t.Errorf("%s: got %d bytes of unknown fields, want none", kind, len(unknown))
		}
	}
	if heartbeat.GetFeatureLevel() != 0 || heartbeat.GetIncarnation() == 0 || len(heartbeat.GetProgress()) == 0 || !heartbeat.GetJobsRead() {
		t.Errorf("heartbeat: got %v, want feature level 0, an incarnation, progress and jobs_read", heartbeat)
	}
	const cancelled = "wk-000011"
	if jobs := cancellations.GetCancelled(); len(jobs) != 1 || jobs[0].GetJob() != cancelled {
		t.Errorf("cancellations: got %v, want only that of %s", cancellations, cancelled)
	}
}
