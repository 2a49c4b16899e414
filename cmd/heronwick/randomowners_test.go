package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"heronwick/internal/config"
	"heronwick/wire"
)

// ownerSeeds is the number of seeds of TestQuotaHoldsUnderRandomOwnerChanges, unless
// ownerSeedsVariable is set.
const ownerSeeds = 16

// ownerSeedsVariable is the environment variable with the number of seeds.
const ownerSeedsVariable = "HERONWICK_OWNER_SEEDS"

// Guards against limits that are exceeded when teams change owner again and again, while the next
// owner learns late of jobs, reads slowly, or jobs end on machines that hang.
func TestQuotaHoldsUnderRandomOwnerChanges(t *testing.T) {
	seeds := uint64(ownerSeeds)
	if text := os.Getenv(ownerSeedsVariable); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = parsed
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withCluster(t, 14, limitOwnerTeams, func(tc *testCluster) {
				tc.fleet.Checker.TeamQuotas = map[string]float64{}
				for _, team := range ownerTeams {
					tc.fleet.Checker.TeamQuotas[team] = ownerTeamCPUs
				}
				run := &ownerRun{testCluster: tc, random: rand.New(rand.NewPCG(seed, 3))}
				for range ownerRounds {
					run.playRound()
				}
				run.heal()
				time.Sleep(30 * time.Second)
				run.expectServed()
			})
		})
	}
}

// ownerRounds is the number of rounds of a run.
const ownerRounds = 10

// ownerTeams are the teams of an ownerRun: so many that a controller that joins gets some.
var ownerTeams = []string{redTeam, blueTeam, "green", "white", "amber"}

// ownerTeamCPUs is the quota of each team in an ownerRun.
const ownerTeamCPUs = 12

// limitOwnerTeams is a prepare function for withCluster. The tasks of every third job run until
// they are stopped, the others for up to 12 s.
func limitOwnerTeams(tc *testCluster) {
	tc.adjustSettings = func(settings *config.Settings) {
		settings.Teams = nil
		for _, team := range ownerTeams {
			settings.Teams = append(settings.Teams, config.Team{Name: team, CPUsMax: ownerTeamCPUs})
		}
	}
	tc.fleet.TaskDuration = func(task string) time.Duration {
		id, _, _ := wire.SplitTaskID(task)
		var n int
		_, _ = fmt.Sscanf(id, "wk-%d", &n)
		if n%3 == 0 {
			return 0
		}
		return time.Duration(1+n%12) * time.Second
	}
}

// ownerRun is a run in which the owners of the teams change.
type ownerRun struct {
	*testCluster
	random *rand.Rand
	jobs   int
	healed []func()
}

// duration returns a random duration below a limit.
func (r *ownerRun) duration(limit time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(limit)))
}

// playRound lets one controller end and come back, and one controller, mostly the same, learn late
// of what users do meanwhile.
func (r *ownerRun) playRound() {
	r.heal()
	ending := r.random.IntN(len(r.nodes))
	late := ending
	if r.random.IntN(3) == 0 {
		late = r.random.IntN(len(r.nodes))
	}
	name := r.nodes[late].name
	r.healed = append(r.healed, func() {
		r.state.DelayWatch(name, jobWatch, 0)
		r.state.DelayNodeResponses(name, 0)
	})
	r.restart(ending, r.duration(4*time.Second))
	time.Sleep(r.duration(100 * time.Millisecond))
	r.state.DelayWatch(name, jobWatch, r.duration(2*time.Second))
	r.use(2 * time.Second)
	r.state.DelayNodeResponses(name, r.duration(600*time.Millisecond))
	r.use(6 * time.Second)
}

// use submits and cancels jobs for up to a time.
func (r *ownerRun) use(limit time.Duration) {
	for end := time.Now().Add(r.duration(limit)); time.Now().Before(end); time.Sleep(r.duration(200 * time.Millisecond)) {
		if r.random.IntN(3) == 0 && r.jobs > 0 {
			r.cancelRecent()
			continue
		}
		r.jobs++
		options := []jobOption{withTasks(1 + r.random.IntN(8)), with(fieldCPUs, []float64{0.5, 1, 1.5, 2}[r.random.IntN(4)])}
		options = append(options, withTeam(ownerTeams[r.random.IntN(len(ownerTeams))]))
		if r.random.IntN(4) == 0 {
			options = append(options, withPriority(wire.PriorityProd))
		}
		r.submit(r.random.IntN(len(r.nodes)), submission(r.jobs, options...))
	}
}

// cancelRecent cancels one of the last jobs, half of the time while the machines of its tasks hang.
func (r *ownerRun) cancelRecent() {
	const recent = 6
	job := r.jobs - r.random.IntN(min(r.jobs, recent))
	if r.random.IntN(2) == 0 {
		running := r.fleet.Checker.Running()
		for index := range 8 {
			if machine := running[taskID(job, index)]; machine != "" {
				r.fleet.Pause(machine, true)
				r.healed = append(r.healed, func() { r.fleet.Pause(machine, false) })
			}
		}
	}
	r.call(r.random.IntN(len(r.nodes)), "POST", cancelPath(job), nil)
}

// servedWithin is how long a task may wait beside room, a few heartbeats.
const servedWithin = 6 * time.Second

// expectServed expects that no task waits beside room for servedWithin.
func (r *ownerRun) expectServed() {
	r.t.Helper()
	waiting := r.fleet.PlaceableTasks()
	for end := time.Now().Add(servedWithin); len(waiting) > 0 && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		placeable := r.fleet.PlaceableTasks()
		waiting = slices.DeleteFunc(waiting, func(task string) bool { return !slices.Contains(placeable, task) })
	}
	if len(waiting) > 0 {
		r.t.Errorf("got tasks that have waited beside room for %v, want none: %v", servedWithin, waiting)
	}
}

// heal ends the faults of the last round.
func (r *ownerRun) heal() {
	for _, end := range r.healed {
		end()
	}
	r.healed = nil
}
