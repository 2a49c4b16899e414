package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// controllerSettings is a valid settings file of one of three controllers.
const controllerSettings = `
node = "perch-0"
location = "a"
bind = "127.0.0.1:1"
peer_bind = "127.0.0.1:2"
[[seeds]]
node = "perch-1"
location = "a"
endpoint = "127.0.0.1:3"
[[seeds]]
node = "perch-2"
location = "a"
endpoint = "127.0.0.1:4"
[outside]
cloud = "127.0.0.1:5"
state = "127.0.0.1:6"
[cluster]
size = 3
zones = ["a"]
[cluster.workers]
report_s = 2.5
lease_s = 16.0
cancel_s = 36.0
[cluster.state]
rps = 150.0
write_rps = 60.0
value_kb = 16.0
txn_ops = 16
[cluster.cloud]
rps = 2.0
list_lag_s = 12.0
[cluster.machine_limits]
core_share = 0.18
ram_mb = 125.0
max_connections = 1500
`

// Guards against invalid duty arguments that are detected only after a command has started
// its work, or whose error does not name the argument.
func TestInvalidDutyArguments(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(settings, []byte(controllerSettings), 0o600); err != nil {
		t.Fatal(err)
	}
	for lease, valid := range map[time.Duration]bool{0: true, time.Second: false, 6 * time.Second: true, time.Hour: false} {
		_, err := (&runCommand{Config: settings, DutyLease: lease}).settings()
		if (err == nil) != valid || err != nil && !strings.Contains(err.Error(), "--duty-lease") {
			t.Errorf("duty lease of %v: got error %v, want valid to be %v and any error to name --duty-lease", lease, err, valid)
		}
	}
	for _, invalid := range []reportCommand{{}, {From: []string{"a:1"}}, {Read: "x"}, {From: []string{"a:1"}, Read: "x", HTML: "y"}} {
		if invalid.Validate() == nil {
			t.Errorf("report command %+v: got no error, want one", invalid)
		}
	}
	var usageErr usageError
	if err := (&handoverCommand{Duty: "dance/fleet"}).Run(); !errors.As(err, &usageErr) {
		t.Errorf("handover of an unknown duty: got error %v, want a usageError", err)
	}
}
