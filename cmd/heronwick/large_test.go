package main

import (
	"fmt"
	"testing"
	"time"

	"heronwick/wire"
)

// A fleet of hundreds takes bursts of large arrays while one controller ends,
// then all, then a tenth of the machines: within the state service's limits,
// no lease is lost to slowness, no rule is broken, and every job ends.
func TestLargeFleet(t *testing.T) {
	const machines = 300
	withCluster(t, machines, func(tc *testCluster) {
		tc.state.RPS, tc.state.WriteRPS = 150, 60
		tc.fleet.Types = []wire.MachineType{{Name: "m", CPUs: 16, MemoryGB: 64, CacheGB: 30, FetchGBPerS: 1, Price: 1, SpotPrice: 0.4, BootS: 10, Zones: []string{"z"}}}
		tc.fleet.RunFor = func(job string) time.Duration {
			if job >= "wk-001000" {
				return 0
			}
			return 15 * time.Second
		}
	}, func(tc *testCluster) {
		jobs, services := 0, 0
		submit := func(change func(map[string]any)) {
			for i := range tc.nodes {
				id := jobs
				status, _, _ := tc.call(i, "POST", "/submissions", submission(id, change))
				if status == 201 {
					jobs++
					return
				}
			}
		}
		array := func(j map[string]any) {
			j["feathers"], j["cores"], j["ram_gb"], j["plumage"] = 60, 4.0, 8.0, fmt.Sprintf("img-%d", jobs%6)
		}
		service := func(j map[string]any) {
			j["uid"] = fmt.Sprintf("wk-%06d", 1000+services)
			j["gait"], j["rank"], j["feathers"], j["ram_gb"], j["plumage"] = "daemon", "prod", 6, 6.0, fmt.Sprintf("img-%d", services%8)
		}
		for range 40 {
			tc.call(services%3, "POST", "/submissions", submission(0, service))
			services++
		}
		for round := range 60 {
			submit(array)
			switch round {
			case 15:
				tc.crash(0)
			case 20:
				tc.start(0)
			case 30:
				for i := range tc.nodes {
					tc.crash(i)
				}
				time.Sleep(5 * time.Second)
				for i := range tc.nodes {
					tc.start(i)
				}
			case 45:
				for m := range machines / 10 {
					tc.fleet.Cut(fmt.Sprintf("host-%06d", 10*m+1), true)
				}
			}
			time.Sleep(time.Second)
		}
		time.Sleep(90 * time.Second)
		for id := range jobs {
			tc.expect(id%3, "GET", fmt.Sprintf("/submissions/wk-%06d", id), nil, 200, "done")
		}
		for id := range services {
			tc.expect(id%3, "GET", fmt.Sprintf("/submissions/wk-%06d", 1000+id), nil, 200, "running")
		}
		if jobs < 50 {
			t.Errorf("only %d jobs were accepted", jobs)
		}
		if n := tc.fleet.Lapsed(); n != 0 {
			t.Errorf("%d leases ran out", n)
		}
		if tc.state.Refused > tc.state.Requests/100 {
			t.Errorf("%d of %d requests were over the state service's limits", tc.state.Refused, tc.state.Requests)
		}
	})
}
