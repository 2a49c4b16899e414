package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"heronwick/internal/wait"
	"heronwick/wire"
)

const (
	// userTimeout is how long a user waits for a response.
	userTimeout = 5 * time.Second
	// jobInterval is the mean time between two new jobs, for each ten workers.
	jobInterval = time.Second
	// queryInterval is the mean time between two requests about earlier jobs.
	queryInterval = 50 * time.Millisecond
	// priorities is the number of priorities that jobs are drawn from.
	priorities = 4
)

// users submit jobs at all controllers, and query, repeat and cancel them.
type users struct {
	site   *site
	random *rand.Rand // of the goroutine that submits

	mu   sync.Mutex
	jobs []userJob // that were accepted
}

// userJob is a job that a user has submitted.
type userJob struct {
	id          string
	body        []byte
	cancellable bool // users may ask to cancel it
}

// taskDuration returns how long a task runs; it depends on the job's number only. Every
// seventh job's tasks outlast the run unless they are stopped.
func taskDuration(task string) time.Duration {
	id, _, _ := wire.SplitTaskID(task)
	var n int
	_, _ = fmt.Sscanf(id, "wk-%d", &n)
	if n%7 == 0 {
		return 0
	}
	return time.Duration(1+n%20) * time.Second
}

// taskCPUs are the CPUs that the tasks of a job may have.
var taskCPUs = []float64{0.1, 0.5, 1, 1.5, 2, 3, 4}

// submission returns the n-th job.
func (u *users) submission(n int) userJob {
	kind, tasks := wire.KindArray, 1+u.random.IntN(12)
	switch {
	case n%7 == 0:
		kind, tasks = wire.KindService, 1+u.random.IntN(3)
	case n%5 == 0:
		kind, tasks = wire.KindGang, 2+u.random.IntN(2)
	}
	team := u.site.teams[u.random.IntN(len(u.site.teams))]
	gpus := 0
	if team.gpusMax > 0 {
		gpus = u.random.IntN(3)
	}
	checkpointS, saveS := 0.0, 0.0
	if n%4 == 0 {
		checkpointS, saveS = 5, float64(1+u.random.IntN(4))
	}
	id := fmt.Sprintf("wk-%06d", n)
	body, err := json.Marshal(map[string]any{
		"uid": id, "flight": "c", wire.FieldTeam: team.name, "gait": kind, "rank": []wire.Priority{wire.PriorityProd, wire.PriorityHigh,
			wire.PriorityNormal, wire.PriorityLow}[u.random.IntN(priorities)],
		"feathers": tasks, "cores": taskCPUs[u.random.IntN(len(taskCPUs))], "accelerators": float64(gpus), "ram_gb": 4.0,
		"plumage": fmt.Sprintf("img-%d", n%3), "pull_gb": 0.5, "breeds": nil, "marsh": nil, "same_place": false,
		"spread": false, "drift": true, "flight_s": 10.0, "molt_s": checkpointS, "preen_s": saveS, "dusk_s": nil,
	})
	if err != nil {
		panic(err) // cannot happen: the values can be encoded
	}
	return userJob{id: id, body: body, cancellable: kind == wire.KindService || u.random.IntN(4) == 0}
}

// call sends a user's request to a controller, which the checker observes.
func (u *users) call(c *controller, method, path string, body []byte) (status int, job wire.JobStatus) {
	u.site.checker.ObserveRequest(method, path, body)
	sent := time.Now()
	status, text := c.call(method, path, body, userTimeout)
	_ = json.Unmarshal(text, &job) // not every response is a job's status
	if status != 0 {
		u.site.checker.ObserveResponseTo(sent, path, body, status, job)
	}
	return status, job
}

// randomController returns one of the controllers.
func (u *users) randomController(random *rand.Rand) *controller {
	return u.site.controllers[random.IntN(len(u.site.controllers))]
}

// submit submits new jobs until ctx ends.
func (u *users) submit(ctx context.Context, interval time.Duration) {
	for n := 1; ctx.Err() == nil; n++ {
		job := u.submission(n)
		for ctx.Err() == nil {
			status, _ := u.call(u.randomController(u.random), http.MethodPost, wire.PathJobs, job.body)
			if status == http.StatusOK || status == http.StatusCreated {
				u.site.record.event("accepted %s", job.body)
				u.mu.Lock()
				u.jobs = append(u.jobs, job)
				u.mu.Unlock()
				break
			}
			if status == http.StatusUnprocessableEntity {
				break // a service beyond its team's limit
			}
			wait.Sleep(ctx, 500*time.Millisecond)
		}
		wait.Sleep(ctx, randomDuration(u.random, 2*interval))
	}
}

// ask queries, repeats and cancels earlier jobs until ctx ends.
func (u *users) ask(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		wait.Sleep(ctx, randomDuration(random, 2*queryInterval))
		job, ok := u.randomJob(random)
		if !ok {
			continue
		}
		c := u.randomController(random)
		switch drawn := random.IntN(20); {
		case drawn < 2 && job.cancellable:
			u.cancel(c, job)
		case drawn == 2:
			u.call(c, http.MethodPost, wire.PathJobs, job.body)
		default:
			u.call(c, http.MethodGet, wire.PathJobs+"/"+job.id, nil)
		}
	}
}

// cancel asks a controller to cancel a job.
func (u *users) cancel(c *controller, job userJob) {
	status, reply := u.call(c, http.MethodPost, wire.PathJobs+"/"+job.id+"/"+wire.SuffixCancel, nil)
	u.site.record.event("cancel %s at %s: %d %s", job.id, c.name, status, reply.State)
}

// cancelJobsOn asks random controllers to cancel the jobs of the tasks that run on machines, all at
// the same time.
func (u *users) cancelJobsOn(machines []string, random *rand.Rand) {
	running := u.site.checker.Running()
	cancelled := map[string]bool{}
	var requests sync.WaitGroup
	for _, task := range slices.Sorted(maps.Keys(running)) {
		id, _, _ := wire.SplitTaskID(task)
		if !slices.Contains(machines, running[task]) || cancelled[id] {
			continue
		}
		cancelled[id] = true
		c := u.randomController(random)
		requests.Go(func() { u.cancel(c, userJob{id: id}) })
	}
	requests.Wait()
}

// randomJob returns one of the accepted jobs. Half of the time it is among the last ten.
func (u *users) randomJob(random *rand.Rand) (job userJob, ok bool) {
	const recent = 10
	u.mu.Lock()
	defer u.mu.Unlock()
	from := 0
	if random.IntN(2) == 0 {
		from = max(0, len(u.jobs)-recent)
	}
	if len(u.jobs) == 0 {
		return userJob{}, false
	}
	return u.jobs[from+random.IntN(len(u.jobs)-from)], true
}

// checkKnown asks every controller about every accepted job, and returns the jobs that none
// of them answers before the deadline, and the number of jobs that are done.
func (u *users) checkKnown(deadline time.Time) (unanswered []string, done int) {
	for _, job := range u.jobs {
		state, known := u.ultimateState(job, deadline)
		if !known {
			unanswered = append(unanswered, job.id)
		}
		if state == wire.JobDone {
			done++
		}
	}
	return unanswered, done
}

// ultimateState asks the controllers about a job in turn until one answers or the deadline
// has passed.
func (u *users) ultimateState(job userJob, deadline time.Time) (state wire.JobState, known bool) {
	for first := true; first || time.Now().Before(deadline); first = false {
		for _, c := range u.site.controllers {
			status, reply := u.call(c, http.MethodGet, wire.PathJobs+"/"+job.id, nil)
			if status == http.StatusOK {
				state, known = reply.State, true
			}
		}
		if known {
			return state, true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return state, false
}

// randomDuration returns a duration from 0 up to limit.
func randomDuration(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}
