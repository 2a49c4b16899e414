package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"heronwick/wire"
)

// The search for faults: a random workload under random troubles, which the pages name.
// It is no case; it shows what was tried.

const searchTime = 100 * time.Second

func searchSettings() siteSettings {
	zones := []string{"cdmx-roma", "gdl-centro", "mty-norte"}
	return siteSettings{
		reportS: 2.5, leaseS: 10, cancelS: 18, limits: zawadiLimits, zones: zones,
		teams: []wireTeam{{"red", 20, 40}, {"blue", 30, 60}, {"green", 0, 50}},
		types: []wire.MachineType{baobab("baobab", zones...)},
	}
}

// lowSearchSettings are those after the state service has lowered its limits, for more
// machines and larger jobs.
func lowSearchSettings() siteSettings {
	settings := searchSettings()
	settings.teams = []wireTeam{{"red", 100, 200}, {"blue", 150, 300}, {"green", 0, 250}}
	settings.limits += "\n[cluster.state.next]\nwrite_rps = 42.0\nvalue_kb = 2.0\ntxn_ops = 5"
	return settings
}

// search is the state of one search.
type search struct {
	*site
	random *rand.Rand // of the workload and the troubles

	mu      sync.Mutex
	known   []string                 // jobs that were accepted
	told    map[string]wire.JobState // the newest answer about a job that an older one may not follow
	asked   map[string]bool          // jobs that a user asked to cancel
	kinds   string
	stopped bool
}

func playSearch(s *site, trouble bool) error {
	c := &search{site: s, random: rand.New(rand.NewPCG(s.seed, 1)), told: map[string]wire.JobState{}, asked: map[string]bool{},
		kinds: os.Getenv("TROUBLES")}
	machines := 9
	if strings.Contains(s.settings.limits, "state.next") {
		machines, s.store.maxValue, s.store.maxOps = 45, 2<<10, 5
	}
	for i := range machines {
		if _, err := s.addMachine(s.settings.types[0], s.settings.zones[i%3], i%2 == 1, 0); err != nil {
			return err
		}
	}
	s.capacity["baobab"] = 6
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(c.poll)
	}
	wg.Go(c.watchCancelled)
	if trouble {
		wg.Go(c.makeTrouble)
	}
	end := time.Now().Add(searchTime)
	for number := 1; time.Now().Before(end); number++ {
		c.submitOne(number)
		time.Sleep(time.Duration(50+c.random.IntN(500)) * time.Millisecond)
	}
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	wg.Wait()
	return nil
}

func (c *search) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped
}

// submitOne submits a random job, and maybe cancels it later.
func (c *search) submitOne(number int) {
	r := c.random
	j := wire.Job{ID: fmt.Sprintf("wk-%06d", number), Class: "stem-match", Team: []string{"red", "blue", "green"}[r.IntN(3)], Kind: wire.KindArray,
		Priority: []wire.Priority{wire.PriorityProd, wire.PriorityHigh, wire.PriorityNormal, wire.PriorityLow}[r.IntN(4)],
		Tasks:    1 + r.IntN(6*len(c.workers)/9+1), CPUs: float64(1 + r.IntN(5)), MemoryGB: 2, Image: fmt.Sprintf("img-%02d", r.IntN(3)), ImageGB: 0.1, EstimateS: 8, Spot: r.IntN(2) == 0}
	run := time.Duration(300+r.IntN(9000)) * time.Millisecond
	switch r.IntN(8) {
	case 0:
		j.OneZone = true
	case 1:
		j.Spread = true
	case 2:
		j.Zone = &c.settings.zones[r.IntN(3)]
	case 3:
		j.Kind, run, j.EstimateS = wire.KindService, 0, 0
		j.Tasks = 1 + r.IntN(3)
	}
	c.mu.Lock()
	if j.Kind == wire.KindArray && r.IntN(4) == 0 && len(c.known) > 0 {
		if id := c.known[len(c.known)-1-r.IntN(min(5, len(c.known)))]; c.jobKind(id) == wire.KindArray {
			j.Dependencies = []string{id}
		}
	}
	c.mu.Unlock()
	cancelAfter := time.Duration(0)
	if r.IntN(3) == 0 || j.Kind == wire.KindService {
		cancelAfter = time.Duration(r.IntN(12000)) * time.Millisecond
	}
	first := r.IntN(3)
	go func() {
		if !c.send(j, run, first) {
			return
		}
		if cancelAfter > 0 {
			time.Sleep(cancelAfter)
			c.cancelOne(j.ID)
		}
	}()
}

func (c *search) jobKind(id string) wire.Kind {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	return c.jobs[id].Kind
}

// send submits a job until it is accepted.
func (c *search) send(j wire.Job, run time.Duration, first int) bool {
	c.site.mu.Lock()
	c.jobs[j.ID], c.runTimes[j.ID] = &j, run
	c.site.mu.Unlock()
	for i := range 40 {
		a := c.ask(c.controllers[(first+i)%3], http.MethodPost, wire.PathJobs, submission(&j), 5*time.Second)
		switch a.status {
		case http.StatusCreated, http.StatusOK:
			c.mu.Lock()
			c.known = append(c.known, j.ID)
			c.mu.Unlock()
			c.lookClosely(&j)
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			c.violate("forgotten: submission of %s is refused: %s", j.ID, a.body)
			return false
		}
		time.Sleep(time.Second)
	}
	return false
}

func (c *search) violate(format string, args ...any) {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	c.violateLocked(format, args...)
}

func (c *search) cancelOne(id string) {
	c.mu.Lock()
	c.asked[id] = true
	c.mu.Unlock()
	for i := range 40 {
		c.check(id, func() answer {
			return c.ask(c.controllers[i%3], http.MethodPost, wire.PathJobs+"/"+id+"/"+wire.SuffixCancel, nil, 5*time.Second)
		})
		c.mu.Lock()
		final := c.told[id].Final()
		c.mu.Unlock()
		if final {
			c.site.mu.Lock()
			j := c.jobs[id]
			c.site.mu.Unlock()
			c.lookClosely(j)
			return
		}
		time.Sleep(time.Second)
	}
}

// lookClosely asks all controllers about a job at once, and submits it to them again.
func (c *search) lookClosely(j *wire.Job) {
	var wg sync.WaitGroup
	for _, node := range c.controllers {
		wg.Go(func() {
			c.check(j.ID, func() answer { return c.ask(node, http.MethodGet, wire.PathJobs+"/"+j.ID, nil, 2*time.Second) })
			c.check(j.ID, func() answer {
				a := c.ask(node, http.MethodPost, wire.PathJobs, submission(j), 5*time.Second)
				switch a.status {
				case http.StatusBadRequest, http.StatusUnprocessableEntity:
					c.violate("forgotten: repeated submission of %s: %d", j.ID, a.status)
				case http.StatusCreated:
					c.violate("accepted twice: repeated submission of %s: %d", j.ID, a.status)
				}
				return a
			})
		})
	}
	wg.Wait()
}

// poll asks about random jobs at random controllers.
func (c *search) poll() {
	for !c.ended() {
		time.Sleep(time.Duration(10+rand.IntN(60)) * time.Millisecond)
		c.mu.Lock()
		n := len(c.known)
		id := ""
		if n > 0 {
			id = c.known[max(0, n-1-rand.IntN(40))]
		}
		c.mu.Unlock()
		if id == "" {
			continue
		}
		node := c.controllers[rand.IntN(3)]
		c.check(id, func() answer { return c.ask(node, http.MethodGet, wire.PathJobs+"/"+id, nil, 2*time.Second) })
	}
}

// check asks about a job and checks the answer against those given before.
func (c *search) check(id string, ask func() answer) {
	c.mu.Lock()
	before := c.told[id]
	c.mu.Unlock()
	a := ask()
	switch a.status {
	case http.StatusNotFound:
		c.violate("forgotten: 404 for %s", id)
		return
	case http.StatusOK:
	default:
		return
	}
	if before.Final() && a.job.State != before || a.job.ID != id {
		c.violate("went_back: %s was %s and is now %s (%s)", id, before, a.job.State, a.job.ID)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told[id] = a.job.State
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	j := c.jobs[id]
	switch a.job.State {
	case wire.JobDone:
		for i := range j.Tasks {
			if !c.done[wire.TaskID(id, i)] {
				c.violateLocked("not_done: %s is called done, task %d is not", id, i)
			}
		}
	case wire.JobCancelled:
		if !c.cancelAskedLocked(j) {
			c.violateLocked("went_back: %s is called cancelled, which nobody asked for", id)
		}
		if c.cancelled[id].IsZero() {
			c.cancelled[id] = time.Now()
		}
	}
}

// cancelAskedLocked reports whether a user asked to cancel a job or one before it.
func (c *search) cancelAskedLocked(j *wire.Job) bool {
	if c.asked[j.ID] {
		return true
	}
	for _, id := range j.Dependencies {
		if c.cancelAskedLocked(c.jobs[id]) {
			return true
		}
	}
	return false
}

// watchCancelled checks that the tasks of cancelled jobs are gone in time, and that jobs
// start after those that they need.
func (c *search) watchCancelled() {
	reported := map[string]bool{}
	for !c.ended() {
		time.Sleep(50 * time.Millisecond)
		c.site.mu.Lock()
		for task, on := range c.running {
			j := c.jobOfLocked(task)
			told, ok := c.cancelled[j.ID]
			if ok && time.Since(told).Seconds() > c.settings.cancelS+0.5 && !reported[task] {
				reported[task] = true
				c.violateLocked("ran_cancelled: %s is on %v %v after its user was told", task, on, time.Since(told))
			}
			for _, id := range j.Dependencies {
				for i := range c.jobs[id].Tasks {
					if !c.done[wire.TaskID(id, i)] && !reported[task] {
						reported[task] = true
						c.violateLocked("too_early: %s runs before %s is done", task, id)
					}
				}
			}
		}
		c.site.mu.Unlock()
	}
}

// makeTrouble begins a random trouble every few seconds.
func (c *search) makeTrouble() {
	time.Sleep(6 * time.Second)
	r := rand.New(rand.NewPCG(c.seed, 2))
	troubles := map[string]func(r *rand.Rand){
		"kill": c.troubleKill, "stop": c.troubleStop, "refuse": c.troubleRefuse, "outage": c.troubleOutage, "peers": c.troublePeers,
		"cut": c.troubleCut, "hang": c.troubleHang, "die": c.troubleDie, "late": c.troubleLate, "notice": c.troubleNotice, "killall": c.troubleKillAll,
		"writes": c.troubleWrites, "reboot": c.troubleReboot, "hold": c.troubleHold, "slow": c.troubleSlow, "slowstate": c.troubleSlowState, "slowpeers": c.troubleSlowPeers,
	}
	names := []string{"kill", "stop", "refuse", "outage", "peers", "cut", "cut", "hang", "die", "late", "notice", "killall", "writes", "reboot", "hold", "slow", "slowstate", "slowpeers"}
	if c.kinds != "" {
		names = strings.Split(c.kinds, ",")
	}
	for !c.ended() {
		name := names[r.IntN(len(names))]
		seed := r.Uint64()
		go troubles[name](rand.New(rand.NewPCG(seed, 3)))
		time.Sleep(time.Duration(1500+r.IntN(5000)) * time.Millisecond)
	}
}

func seconds(r *rand.Rand, low, high float64) time.Duration {
	return time.Duration((low + (high-low)*r.Float64()) * float64(time.Second))
}

func (c *search) troubleKill(r *rand.Rand) {
	node := c.controllers[r.IntN(3)]
	node.kill()
	time.Sleep(seconds(r, 0.05, 4))
	_ = node.start()
}

func (c *search) troubleKillAll(r *rand.Rand) {
	for _, node := range c.controllers {
		node.kill()
	}
	time.Sleep(seconds(r, 0.05, 13))
	for _, node := range c.controllers {
		_ = node.start()
		time.Sleep(seconds(r, 0, 1))
	}
}

func (c *search) troubleStop(r *rand.Rand) {
	node := c.controllers[r.IntN(3)]
	node.signal(syscall.SIGSTOP)
	time.Sleep(seconds(r, 0.5, 14))
	node.signal(syscall.SIGCONT)
}

func (c *search) troubleRefuse(r *rand.Rand) {
	node := c.controllers[r.IntN(3)]
	c.store.refuse(node.name, true)
	time.Sleep(seconds(r, 1, 15))
	c.store.refuse(node.name, false)
}

func (c *search) troubleOutage(r *rand.Rand) {
	c.store.setOutage(true)
	time.Sleep(seconds(r, 1, 22))
	c.store.setOutage(false)
}

func (c *search) troublePeers(r *rand.Rand) {
	node := c.controllers[r.IntN(3)]
	c.cutPeers(node, true)
	state := r.IntN(2) == 0
	if state {
		c.store.refuse(node.name, true)
	}
	time.Sleep(seconds(r, 1, 14))
	c.cutPeers(node, false)
	if state {
		c.store.refuse(node.name, false)
	}
}

// pick returns a random machine.
func (c *search) pick(r *rand.Rand) *worker {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	n := r.IntN(max(1, len(c.workers)))
	for _, w := range c.workers {
		if n--; n < 0 {
			return w
		}
	}
	return nil
}

func (c *search) set(w *worker, change func(w *worker)) {
	c.site.mu.Lock()
	defer c.site.mu.Unlock()
	change(w)
}

func (c *search) troubleCut(r *rand.Rand) {
	w := c.pick(r)
	if w == nil {
		return
	}
	cut := linkCut{in: r.IntN(3) > 0, lose: r.IntN(2) == 0}
	cut.out = !cut.in || r.IntN(2) == 0
	w.logf("cut: %+v", cut)
	c.set(w, func(w *worker) { w.cut = cut })
	time.Sleep(seconds(r, 1, 18))
	c.set(w, func(w *worker) { w.cut = linkCut{} })
	w.logf("cut ends")
}

func (c *search) troubleHang(r *rand.Rand) {
	if w := c.pick(r); w != nil {
		w.logf("hangs")
		c.set(w, func(w *worker) { w.hung = true })
		time.Sleep(seconds(r, 1, 14))
		c.set(w, func(w *worker) { w.hung = false })
		w.logf("goes on")
	}
}

func (c *search) troubleDie(r *rand.Rand) {
	if w := c.pick(r); w != nil {
		c.removeMachine(w, "died")
		c.set(w, func(*worker) { c.capacity["baobab"]++ })
	}
}

func (c *search) troubleLate(r *rand.Rand) {
	if w := c.pick(r); w != nil {
		c.set(w, func(w *worker) {
			w.holdOrders = func() time.Duration {
				if rand.IntN(3) == 0 {
					return time.Duration(2000+rand.IntN(10000)) * time.Millisecond
				}
				return 0
			}
			w.copyReport = func() time.Duration {
				if rand.IntN(3) == 0 {
					return time.Duration(2000+rand.IntN(15000)) * time.Millisecond
				}
				return 0
			}
		})
		time.Sleep(seconds(r, 5, 25))
		c.set(w, func(w *worker) { w.holdOrders, w.copyReport = nil, nil })
	}
}

func (c *search) troubleNotice(r *rand.Rand) {
	w := c.pick(r)
	if w == nil || !w.spot {
		return
	}
	notice := 12.0
	c.set(w, func(w *worker) { w.notice, w.changed = &notice, true })
	time.Sleep(seconds(r, 6, 18))
	c.removeMachine(w, "taken back")
	c.set(w, func(*worker) { c.capacity["baobab"]++ })
}

func (c *search) troubleWrites(r *rand.Rand) {
	set := func(share float64) {
		c.rec.event("state: %v of transactions get no answer", share)
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		c.store.late = share
	}
	set(0.1 + 0.3*r.Float64())
	time.Sleep(seconds(r, 3, 15))
	set(0)
}

func (c *search) troubleReboot(r *rand.Rand) {
	if w := c.pick(r); w != nil {
		c.set(w, func(w *worker) { w.restartLocked() })
	}
}

// troubleHold cuts a controller off from the state service, maybe also from the others.
func (c *search) troubleHold(r *rand.Rand) {
	node := c.controllers[r.IntN(3)]
	peers := r.IntN(2) == 0
	c.store.hold(node.name, true)
	if peers {
		c.cutPeers(node, true)
	}
	time.Sleep(seconds(r, 1, 16))
	c.store.hold(node.name, false)
	if peers {
		c.cutPeers(node, false)
	}
}

func (c *search) troubleSlow(r *rand.Rand) {
	w := c.pick(r)
	if w == nil {
		return
	}
	in, out := seconds(r, 0, 0.4), seconds(r, 0, 0.25)
	w.logf("slow link: %v to it, %v from it", in, out)
	c.set(w, func(w *worker) { w.toWorker, w.fromWorker = in, out })
	time.Sleep(seconds(r, 5, 30))
	c.set(w, func(w *worker) { w.toWorker, w.fromWorker = 0, 0 })
}

func (c *search) troubleSlowState(r *rand.Rand) {
	set := func(slow time.Duration) {
		c.rec.event("state: answers take up to %v more", 2*slow)
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		c.store.slow = slow
	}
	set(seconds(r, 0.02, 0.3))
	time.Sleep(seconds(r, 4, 20))
	set(0)
}

func (c *search) troubleSlowPeers(r *rand.Rand) {
	slow := seconds(r, 0.02, 0.4)
	c.rec.event("messages between controllers take %v more", slow)
	for _, link := range c.peerLinks {
		link.slow.Store(int64(slow))
	}
	time.Sleep(seconds(r, 4, 20))
	for _, link := range c.peerLinks {
		link.slow.Store(0)
	}
}
