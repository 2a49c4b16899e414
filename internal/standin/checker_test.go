package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"heronwick/wire"
)

// IDs of the jobs in the tests: dependentJob depends on firstJob.
const (
	firstJob     = "wk-000001"
	dependentJob = "wk-000002"
)

// zoneA is a location that submitted jobs allow by default.
var zoneA = Location{Machine: "m1", Type: "t", Zone: "a"}

// driver shows a Checker the requests of users, their responses and the tasks that run.
type driver struct {
	*Checker
	t *testing.T
}

// submit submits a job with two tasks of 2 CPUs each and reports it as accepted. change, if
// not nil, modifies the job before it is submitted.
func (d driver) submit(id string, change func(job map[string]any)) {
	d.t.Helper()
	job := map[string]any{
		"uid": id, "flight": "c", "roost": "red", "gait": "array", "rank": "normal", "feathers": 2,
		"cores": 2.0, "accelerators": 0.0, "ram_gb": 1.0, "plumage": "i", "pull_gb": 1.0, "same_place": false,
		"spread": false, "drift": false, "flight_s": 1.0, "molt_s": 0.0, "preen_s": 0.0,
	}
	if change != nil {
		change(job)
	}
	body, err := json.Marshal(job)
	if err != nil {
		d.t.Fatal(err)
	}
	d.ObserveRequest(http.MethodPost, wire.PathJobs, body)
	d.ObserveResponse(wire.PathJobs, body, http.StatusCreated, wire.JobStatus{ID: id, State: wire.JobQueued})
}

// submitBoth submits firstJob and dependentJob.
func (d driver) submitBoth() {
	d.t.Helper()
	d.submit(firstJob, nil)
	d.submit(dependentJob, func(job map[string]any) { job["follows"] = []string{firstJob} })
}

// report gives a user a response with the state of a job.
func (d driver) report(id string, state wire.JobState) {
	d.ObserveResponse(wire.PathJobs+"/"+id, nil, http.StatusOK, wire.JobStatus{ID: id, State: state})
}

// reportTo is report for the response to a request that was sent at a time.
func (d driver) reportTo(sent time.Time, id string, state wire.JobState) {
	d.ObserveResponseTo(sent, wire.PathJobs+"/"+id, nil, http.StatusOK, wire.JobStatus{ID: id, State: state})
}

// requestCancel sends a user's request to cancel a job, without a response.
func (d driver) requestCancel(id string) {
	d.ObserveRequest(http.MethodPost, wire.PathJobs+"/"+id+"/"+wire.SuffixCancel, nil)
}

// cancel requests the cancellation of firstJob and reports the job as cancelled.
func (d driver) cancel() {
	d.requestCancel(firstJob)
	d.report(firstJob, wire.JobCancelled)
}

// start starts tasks of a job, given by their indexes.
func (d driver) start(at Location, id string, indexes ...int) {
	for _, index := range indexes {
		d.ObserveStart(wire.TaskID(id, index), at)
	}
}

// end ends a task of a job; done reports whether the task succeeded.
func (d driver) end(id string, index int, done bool) {
	d.ObserveExit(wire.TaskID(id, index), done)
}

// command has a controller command an operation on the first task of firstJob.
func (d driver) command(op wire.Op) {
	d.ObserveCommands([]wire.Command{{Op: op, Task: wire.TaskID(firstJob, 0)}})
}

// checkerCase is a sequence of requests, responses and task events, and the rule that it
// breaks.
type checkerCase struct {
	name   string
	breaks rule // empty if none
	do     func(d driver)
}

// runCheckerCases checks that the Checker reports exactly one violation, of the expected rule,
// in each case that breaks a rule, and none in the other cases.
func runCheckerCases(t *testing.T, cases []checkerCase) {
	t.Helper()
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := NewChecker()
				c.TeamQuotas, c.CancelTimeout, c.NoStartAfter = map[string]float64{"red": 4}, 20*time.Second, 5*time.Second
				c.TeamGPUQuotas = map[string]float64{"red": 3}
				c.Types = []wire.MachineType{
					{Name: "t", CPUs: 3, GPUs: 3, MemoryGB: 8, Zones: []string{"a", "b"}},
					{Name: "other", CPUs: 3, MemoryGB: 8, Zones: []string{"a"}},
				}
				test.do(driver{c, t})
				time.Sleep(time.Minute)
				found := c.Violations()
				if test.breaks == "" && len(found) > 0 {
					t.Errorf("got violations %v, want none", found)
				}
				if test.breaks != "" && (len(found) != 1 || !strings.HasPrefix(found[0], string(test.breaks)+":")) {
					t.Errorf("got violations %v, want one of rule %q", found, test.breaks)
				}
			})
		})
	}
}

// The Checker detects wrong job states in responses to users.
func TestCheckerReportedStates(t *testing.T) {
	runCheckerCases(t, []checkerCase{
		{"done after a failed task ran again", "", func(d driver) {
			d.submit(firstJob, nil)
			d.start(zoneA, firstJob, 0, 1)
			d.report(firstJob, wire.JobRunning)
			d.end(firstJob, 0, true)
			d.end(firstJob, 1, false)
			d.start(zoneA, firstJob, 1)
			d.end(firstJob, 1, true)
			d.report(firstJob, wire.JobDone)
			d.report(firstJob, wire.JobDone)
			d.ObserveResponse(wire.PathJobs+"/"+dependentJob, nil, http.StatusNotFound, wire.JobStatus{})
		}},
		{"done after one task of two", ruleNotDone, func(d driver) {
			d.submit(firstJob, nil)
			d.start(zoneA, firstJob, 0)
			d.end(firstJob, 0, true)
			d.report(firstJob, wire.JobDone)
		}},
		{"accepted job reported as unknown", ruleForgotten, func(d driver) {
			d.submit(firstJob, nil)
			d.ObserveResponse(wire.PathJobs+"/"+firstJob, nil, http.StatusNotFound, wire.JobStatus{})
		}},
		{"accepted job reported as invalid", ruleForgotten, func(d driver) {
			d.submit(firstJob, nil)
			d.ObserveResponse(wire.PathJobs, []byte(`{"uid":"`+firstJob+`"}`), http.StatusBadRequest, wire.JobStatus{})
		}},
		{"state of a job that was never submitted", ruleInvented, func(d driver) { d.report(firstJob, wire.JobQueued) }},
		{"queued after cancelled", ruleWentBack, func(d driver) {
			d.submit(firstJob, nil)
			d.cancel()
			d.report(firstJob, wire.JobQueued)
		}},
		{"cancelled without a request", ruleWentBack, func(d driver) {
			d.submit(firstJob, nil)
			d.report(firstJob, wire.JobCancelled)
		}},
	})
}

// The Checker allows an older state in the response to a request that was sent before a user
// was told of the end of the job, and only there.
func TestCheckerOverlappingRequests(t *testing.T) {
	runCheckerCases(t, []checkerCase{
		{"queued after cancelled, requested before", "", func(d driver) {
			d.submit(firstJob, nil)
			sent := time.Now()
			time.Sleep(time.Second)
			d.cancel()
			d.reportTo(sent, firstJob, wire.JobQueued)
		}},
		{"done after cancelled, requested before", ruleWentBack, func(d driver) {
			d.submit(firstJob, nil)
			d.start(zoneA, firstJob, 0, 1)
			d.end(firstJob, 0, true)
			d.end(firstJob, 1, true)
			sent := time.Now()
			time.Sleep(time.Second)
			d.cancel()
			d.reportTo(sent, firstJob, wire.JobDone)
		}},
		{"queued, requested after cancelled and after an overlapping response", ruleWentBack, func(d driver) {
			d.submit(firstJob, nil)
			sent := time.Now()
			time.Sleep(time.Second)
			d.cancel()
			d.reportTo(sent, firstJob, wire.JobQueued)
			d.report(firstJob, wire.JobQueued)
		}},
	})
}

// The Checker detects violations by a job that depends on another job.
func TestCheckerDependentJobs(t *testing.T) {
	runCheckerCases(t, []checkerCase{
		{"starts after the dependency", "", func(d driver) {
			d.submitBoth()
			d.start(zoneA, firstJob, 0, 1)
			d.end(firstJob, 0, true)
			d.end(firstJob, 1, true)
			d.start(zoneA, dependentJob, 0)
		}},
		{"starts before the dependency is done", ruleTooEarly, func(d driver) {
			d.submitBoth()
			d.start(zoneA, firstJob, 0, 1)
			d.end(firstJob, 0, true)
			d.end(firstJob, 1, false)
			d.start(zoneA, dependentJob, 0)
		}},
		{"cancelled without a request", ruleWentBack, func(d driver) {
			d.submitBoth()
			d.report(dependentJob, wire.JobCancelled)
		}},
		{"cancelled soon after the dependency", "", func(d driver) {
			d.submitBoth()
			d.cancel()
			d.report(dependentJob, wire.JobQueued)
			time.Sleep(5 * time.Second)
			d.report(dependentJob, wire.JobCancelled)
		}},
		{"queued long after the dependency was cancelled", ruleOrphaned, func(d driver) {
			d.submitBoth()
			d.cancel()
			time.Sleep(time.Minute)
			d.report(dependentJob, wire.JobQueued)
		}},
	})
}

// The Checker detects accepted jobs that can never run.
func TestCheckerAcceptedJobs(t *testing.T) {
	submitChanged := func(change func(job map[string]any)) func(driver) {
		return func(d driver) { d.submit(firstJob, change) }
	}
	runCheckerCases(t, []checkerCase{
		{"more CPUs than any machine", ruleAccepted, submitChanged(func(job map[string]any) { job["cores"] = 3.5 })},
		{"unknown zone", ruleAccepted, submitChanged(func(job map[string]any) { job["marsh"] = "z" })},
		{"service above its quota of GPUs", ruleAccepted, submitChanged(func(job map[string]any) {
			job["gait"], job["feathers"], job["cores"], job["accelerators"] = "daemon", 2, 0.5, 2.0
		})},
		{"service above its quota", ruleAccepted, submitChanged(func(job map[string]any) { job["gait"], job["feathers"] = "daemon", 3 })},
		{"malformed", ruleAccepted, func(d driver) {
			d.ObserveResponse(wire.PathJobs, []byte(`{"uid":"`+firstJob+`"}`), http.StatusCreated, wire.JobStatus{ID: firstJob, State: wire.JobQueued})
			// A malformed job cannot have been submitted either.
			d.violations = slices.DeleteFunc(d.violations, func(violation string) bool { return strings.HasPrefix(violation, string(ruleInvented)) })
		}},
	})
}

// The Checker detects tasks that start twice, above the quota or in a location that the job
// does not allow.
func TestCheckerTaskStarts(t *testing.T) {
	runCheckerCases(t, []checkerCase{
		{"on two machines", ruleRanTwice, func(d driver) {
			d.submit(firstJob, nil)
			d.start(zoneA, firstJob, 0, 0)
		}},
		{"above the quota", ruleQuota, func(d driver) {
			d.submit(firstJob, func(job map[string]any) { job["feathers"] = 9 })
			d.start(zoneA, firstJob, 0, 1, 2)
		}},
		{"above the quota of GPUs only", ruleQuota, func(d driver) {
			d.submit(firstJob, func(job map[string]any) { job["feathers"], job["cores"], job["accelerators"] = 9, 0.5, 1.5 })
			d.start(zoneA, firstJob, 0, 1, 2)
		}},
		{"at the quota of both", "", func(d driver) {
			d.submit(firstJob, func(job map[string]any) { job["feathers"], job["cores"], job["accelerators"] = 9, 1.0, 0.75 })
			d.start(zoneA, firstJob, 0, 1, 2, 3)
		}},
		{"on a spot machine", ruleWrongPlace, func(d driver) {
			d.submit(firstJob, nil)
			d.start(Location{Machine: "m", Type: "t", Zone: "a", Spot: true}, firstJob, 0)
		}},
		{"in another zone", ruleWrongPlace, func(d driver) {
			d.submit(firstJob, func(job map[string]any) { job["marsh"] = "b" })
			d.start(zoneA, firstJob, 0)
		}},
		{"on another type", ruleWrongPlace, func(d driver) {
			d.submit(firstJob, func(job map[string]any) { job["breeds"] = []string{"other"} })
			d.start(zoneA, firstJob, 0)
		}},
		{"spread job in one zone", ruleWrongPlace, func(d driver) {
			d.submit(firstJob, func(job map[string]any) { job["spread"] = true })
			d.start(zoneA, firstJob, 0, 1)
		}},
		{"one-zone job in two zones", ruleWrongPlace, func(d driver) {
			d.submit(firstJob, func(job map[string]any) { job["same_place"] = true })
			d.start(zoneA, firstJob, 0)
			d.start(Location{Machine: "m2", Type: "t", Zone: "b"}, firstJob, 1)
		}},
	})
}

// The Checker detects tasks of cancelled jobs that stop too late or start again, and start
// commands that come too late.
func TestCheckerCancelledJobs(t *testing.T) {
	runCheckerCases(t, []checkerCase{
		{"stops in time", "", func(d driver) {
			d.submit(firstJob, nil)
			d.start(zoneA, firstJob, 0)
			d.cancel()
			time.Sleep(5 * time.Second)
			d.end(firstJob, 0, false)
			time.Sleep(time.Minute)
		}},
		{"keeps running", ruleRanCancelled, func(d driver) {
			d.submit(firstJob, nil)
			d.start(zoneA, firstJob, 0)
			d.cancel()
			time.Sleep(time.Minute)
		}},
		{"stops late", ruleRanCancelled, func(d driver) {
			d.submit(firstJob, nil)
			d.start(zoneA, firstJob, 0)
			d.cancel()
			time.Sleep(25 * time.Second) // as a paused machine would
			d.end(firstJob, 0, false)
		}},
		{"starts late", ruleRanCancelled, func(d driver) {
			d.submit(firstJob, nil)
			d.cancel()
			time.Sleep(time.Minute)
			d.start(zoneA, firstJob, 0)
		}},
		{"start commanded late", ruleRanCancelled, func(d driver) {
			d.submit(firstJob, nil)
			d.cancel()
			time.Sleep(6 * time.Second)
			d.command(wire.OpStart)
		}},
		{"start commanded in time, stop commanded late", "", func(d driver) {
			d.submit(firstJob, nil)
			d.cancel()
			time.Sleep(time.Second)
			d.command(wire.OpStart)
			time.Sleep(time.Minute)
			d.command(wire.OpStop)
		}},
	})
}

// PlaceableTasks returns a job's task only if a machine has room for it and the job may run
// there.
func TestCheckerPlaceableTasks(t *testing.T) {
	c := NewChecker()
	c.TeamQuotas, c.TeamGPUQuotas = map[string]float64{"red": 4}, map[string]float64{"green": 2}
	d := driver{c, t}
	submit := func(id string, changes map[string]any) {
		d.submit(id, func(job map[string]any) {
			job["roost"], job["feathers"] = "blue", 1
			for field, value := range changes {
				job[field] = value
			}
		})
	}
	submit("wk-000001", nil) // placeable
	submit("wk-000002", nil) // on a machine
	submit("wk-000003", nil) // done
	submit("wk-000004", nil) // cancelled
	submit("wk-000005", map[string]any{"marsh": "b"})
	submit("wk-000006", map[string]any{"cores": 7.0})
	submit("wk-000007", map[string]any{"roost": "red", "cores": 3.0})          // on a machine
	submit("wk-000008", map[string]any{"roost": "red"})                        // exceeds the rest of its team's quota
	submit("wk-000009", map[string]any{"accelerators": 3.0})                   // exceeds the machine's free GPUs
	submit("wk-000010", map[string]any{"roost": "green", "accelerators": 2.0}) // on a machine
	submit("wk-000011", map[string]any{"roost": "green", "accelerators": 1.0}) // exceeds the rest of its team's quota of GPUs
	gang := func(id string, tasks int, changes map[string]any) {
		changes["gait"], changes["feathers"] = string(wire.KindGang), tasks
		submit(id, changes)
	}
	gang("wk-000012", 3, map[string]any{})                              // placeable as a whole
	gang("wk-000013", 4, map[string]any{})                              // exceeds the machine's free CPUs as a whole
	gang("wk-000014", 2, map[string]any{"roost": "red", "cores": 0.75}) // exceeds the rest of its team's quota as a whole
	gang("wk-000015", 2, map[string]any{"cores": 0.5})                  // partly on a machine
	at := Location{Machine: "m", Type: "t", Zone: "a"}
	d.start(at, "wk-000003", 0)
	d.end("wk-000003", 0, true)
	d.requestCancel("wk-000004")
	machines := []Headroom{{Location: at, CPUs: 6, GPUs: 2, MemoryGB: 8, Tasks: []string{"wk-000002/0", "wk-000007/0", "wk-000010/0", "wk-000015/0"}}}
	if got, want := c.PlaceableTasks(machines), []string{"wk-000001/0", "wk-000012/0"}; !slices.Equal(got, want) {
		t.Errorf("got placeable tasks %v, want %v", got, want)
	}
}
