package standin

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/wire"
)

// The checker finds a planted break of each rule, and none where there is none.
func TestCheckerCatchesEachRule(t *testing.T) {
	const id, path = "wk-000001", wire.PathJobs + "/wk-000001"
	here := Spot{Machine: "m1", Type: "t", Zone: "a"}
	submit := func(c *Checker, change func(map[string]any)) {
		j := map[string]any{"uid": id, "flight": "c", "roost": "red", "gait": "array", "rank": "normal", "feathers": 2,
			"cores": 2.0, "accelerators": 0.0, "ram_gb": 1.0, "plumage": "i", "pull_gb": 1.0, "same_place": false,
			"spread": false, "drift": false, "flight_s": 1.0, "molt_s": 0.0, "preen_s": 0.0}
		if change != nil {
			change(j)
		}
		body, err := json.Marshal(j)
		if err != nil {
			t.Fatal(err)
		}
		c.Asked("POST", wire.PathJobs, body)
		c.Answered(wire.PathJobs, body, 201, wire.JobStatus{ID: id, State: wire.JobQueued})
	}
	told := func(c *Checker, state wire.JobState) {
		c.Answered(path, nil, 200, wire.JobStatus{ID: id, State: state})
	}
	cancel := func(c *Checker) {
		c.Asked("POST", path+"/"+wire.SuffixCancel, nil)
		told(c, wire.JobCancelled)
	}
	run := func(c *Checker, at Spot, tasks ...string) {
		for _, task := range tasks {
			c.Started(task, at)
		}
	}
	for _, test := range []struct {
		rule string // "": none is broken
		do   func(c *Checker)
	}{
		{"", func(c *Checker) {
			submit(c, nil)
			run(c, here, id+"/0", id+"/1")
			told(c, wire.JobRunning)
			c.Ended(id+"/0", true)
			c.Ended(id+"/1", false)
			run(c, here, id+"/1")
			c.Ended(id+"/1", true)
			told(c, wire.JobDone)
			told(c, wire.JobDone)
			c.Answered(wire.PathJobs+"/wk-000002", nil, 404, wire.JobStatus{})
		}},
		{"", func(c *Checker) {
			submit(c, nil)
			run(c, here, id+"/0")
			cancel(c)
			time.Sleep(5 * time.Second)
			c.Ended(id+"/0", false)
			time.Sleep(time.Minute)
		}},
		{"ran_twice", func(c *Checker) { submit(c, nil); run(c, here, id+"/0", id+"/0") }},
		{"quota", func(c *Checker) {
			submit(c, func(j map[string]any) { j["feathers"] = 9 })
			run(c, here, id+"/0", id+"/1", id+"/2")
		}},
		{"wrong_place", func(c *Checker) {
			submit(c, nil)
			run(c, Spot{Machine: "m", Type: "t", Zone: "a", Spot: true}, id+"/0")
		}},
		{"wrong_place", func(c *Checker) {
			submit(c, func(j map[string]any) { j["marsh"] = "b" })
			run(c, here, id+"/0")
		}},
		{"wrong_place", func(c *Checker) {
			submit(c, func(j map[string]any) { j["breeds"] = []string{"other"} })
			run(c, here, id+"/0")
		}},
		{"wrong_place", func(c *Checker) {
			submit(c, func(j map[string]any) { j["spread"] = true })
			run(c, here, id+"/0", id+"/1")
		}},
		{"wrong_place", func(c *Checker) {
			submit(c, func(j map[string]any) { j["same_place"] = true })
			run(c, here, id+"/0")
			run(c, Spot{Machine: "m2", Type: "t", Zone: "b"}, id+"/1")
		}},
		{"ran_cancelled", func(c *Checker) {
			submit(c, nil)
			run(c, here, id+"/0")
			cancel(c)
			time.Sleep(time.Minute)
		}},
		{"ran_cancelled", func(c *Checker) {
			submit(c, nil)
			cancel(c)
			time.Sleep(time.Minute)
			run(c, here, id+"/0")
		}},
		{"forgotten", func(c *Checker) { submit(c, nil); c.Answered(path, nil, 404, wire.JobStatus{}) }},
		{"forgotten", func(c *Checker) {
			submit(c, nil)
			c.Answered(wire.PathJobs, []byte(`{"uid":"`+id+`"}`), 400, wire.JobStatus{})
		}},
		{"invented", func(c *Checker) { told(c, wire.JobQueued) }},
		{"not_done", func(c *Checker) {
			submit(c, nil)
			run(c, here, id+"/0")
			c.Ended(id+"/0", true)
			told(c, wire.JobDone)
		}},
		{"went_back", func(c *Checker) {
			submit(c, nil)
			cancel(c)
			told(c, wire.JobQueued)
		}},
		{"went_back", func(c *Checker) { submit(c, nil); told(c, wire.JobCancelled) }},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := NewChecker()
			c.Limits, c.CancelIn = map[string]float64{"red": 4}, 20*time.Second
			test.do(c)
			time.Sleep(time.Minute)
			broken := c.Broken()
			if test.rule == "" && len(broken) > 0 || test.rule != "" && (len(broken) != 1 || !strings.HasPrefix(broken[0], test.rule+":")) {
				t.Errorf("want %q, found %v", test.rule, broken)
			}
		})
	}
}
