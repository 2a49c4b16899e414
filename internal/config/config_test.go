package config

import (
	"errors"
	"math"
	"strings"
	"testing"
	"time"
)

const validSettings = `
node = "a"
location = "north"
bind = "127.0.0.1:1"
peer_bind = "127.0.0.1:2"
future = "ignored"
[[seeds]]
node = "b"
location = "north"
endpoint = "127.0.0.1:3"
[outside]
cloud = "127.0.0.1:4"
state = "127.0.0.1:5"
[cluster]
size = 2
zones = ["north"]
[[cluster.teams]]
name = "red"
cpus = 4.0
cpus_max = 8.0
[cluster.workers]
report_s = 1.5
lease_s = 9.0
cancel_s = 20.0
[cluster.state]
rps = 50.0
write_rps = 20.0
value_kb = 8.0
txn_ops = 8
[cluster.cloud]
rps = 1.0
list_lag_s = 3.0
[cluster.machine_limits]
core_share = 0.5
ram_mb = 64.0
max_connections = 100
`

func TestParse(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.HeartbeatInterval != 1500*time.Millisecond || s.MaxValueBytes != 8192 || len(s.Peers) != 1 || s.Teams[0].CPUsMax != 8 {
		t.Errorf("got settings %+v, want those of the file", s)
	}
}

// Announced limits of the key-value store apply from the start if they are lower than the
// current ones. Invalid announced limits are reported like other invalid keys.
func TestAnnouncedLimits(t *testing.T) {
	next := func(text string) string {
		return strings.Replace(validSettings, "[cluster.cloud]", "[cluster.state.next]\n"+text+"\n[cluster.cloud]", 1)
	}
	s, err := Parse([]byte(next("write_rps = 14.0\nvalue_kb = 2.0\ntxn_ops = 32")))
	if err != nil {
		t.Fatal(err)
	}
	if s.StateRequestRate != 50 || s.StateWriteRate != 14 || s.MaxValueBytes != 2048 || s.MaxTxnOps != 8 {
		t.Errorf("got settings %+v, want the lower of the current and the announced limits", s)
	}
	_, err = Parse([]byte(next("rps = -1.0\nvalue_kb = 0.1\ntxn_ops = 0\nwrite_rps = nan")))
	if err == nil {
		t.Fatal("invalid announced limits: got no error, want one")
	}
	for _, key := range []string{"rps", "value_kb", "txn_ops", "write_rps"} {
		if !strings.Contains(err.Error(), "cluster.state.next."+key) {
			t.Errorf("want an error that contains %q, got:\n%v", key, err)
		}
	}
}

// The error names all missing and invalid keys, so that an operator can correct them all
// at once.
func TestParseReportsEveryKey(t *testing.T) {
	text := strings.NewReplacer(`node = "a"`, "", "lease_s = 9.0", "lease_s = -1.0", "txn_ops = 8", "", "size = 2", "size = 5",
		`state = "127.0.0.1:5"`, `state = "nowhere"`).Replace(validSettings)
	_, err := Parse([]byte(text))
	if err == nil {
		t.Fatal("invalid settings: got no error, want one")
	}
	var first *KeyError
	if !errors.As(err, &first) || first.Key != "node" {
		t.Errorf("got first error %+v, want one for the key node", first)
	}
	for _, key := range []string{"node is missing", "cluster.workers.lease_s", "cluster.state.txn_ops is missing", "cluster.size", "outside.state"} {
		if !strings.Contains(err.Error(), key) {
			t.Errorf("want an error that contains %q, got:\n%v", key, err)
		}
	}
}

// The timeouts between controllers are extended only if controllers have a small share of
// a core.
func TestTimeoutFactor(t *testing.T) {
	for share, want := range map[float64]float64{0: 1, 0.41: 1, 0.18: 1, 0.15: 1, 0.075: 2, 0.05: 3, 0.001: 3} {
		if got := (&Settings{CoreShare: share}).TimeoutFactor(); math.Abs(got-want) > 1e-9 {
			t.Errorf("with %v of a core: got timeout factor %v, want %v", share, got, want)
		}
	}
}
