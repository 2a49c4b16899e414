package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"heronwick/wire"
)

const (
	minReportInterval = 500 * time.Millisecond
	reportTimeout     = 4 * time.Second
	nextNodeDelay     = time.Second
)

// worker is the stand-in of a machine's worker. The lock of its site guards its fields.
type worker struct {
	site        *site
	name        string
	address     string
	machineType wire.MachineType
	zone        string
	spot        bool

	life       int // how often the machine has started anew
	session    uint64
	call       uint64
	token      uint64
	leaseBase  time.Time // when the last answered report was sent, or the session began
	tasks      []*workerTask
	images     map[string]bool
	notice     *float64
	gone       bool
	hung       bool
	away       bool // the machine has ended and is not back yet: what is sent to it is lost
	node       int  // index of the controller that gets the reports
	changed    bool
	tokenNews  time.Time // when a higher token last counted as a change
	lastReport time.Time
	nextReport time.Time

	// The link: what messages to and from the worker take.
	toWorker, fromWorker time.Duration
	// cut describes which messages do not pass now.
	cut linkCut
	// holdOrders returns how long one direct command is held up on its way; nil if none is.
	holdOrders func() time.Duration
	// copyReport returns after how long a copy of a report arrives again; 0 if none does.
	copyReport func() time.Duration

	carriedOut [][]byte // the direct commands that were carried out

	client *http.Client
	server *http.Server
}

// linkCut is the state of the link between a worker and the controllers. Messages in a cut
// direction are held until the cut ends, or lost.
type linkCut struct {
	in, out bool // messages to the worker, and its reports, do not pass
	lose    bool
}

// pass waits until a message in one direction passes, and reports whether it does.
func (w *worker) pass(in bool) bool {
	for {
		w.site.mu.Lock()
		cut, hung, gone := w.cut, w.hung, w.gone || w.away
		w.site.mu.Unlock()
		blocked := in && (cut.in || hung) || !in && cut.out
		switch {
		case gone:
			return false
		case !blocked:
			return true
		case cut.lose && !hung:
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// workerTask is one attempt on a worker.
type workerTask struct {
	wire.TaskStatus
	timer *time.Timer
}

func (w *worker) logf(format string, args ...any) {
	w.site.rec.event("machine "+w.name+": "+format, args...)
}

// reportLocked returns the worker's report.
func (w *worker) reportLocked() wire.Heartbeat {
	w.call++
	h := wire.Heartbeat{Machine: w.name, Address: w.address, Type: w.machineType.Name, Zone: w.zone, Spot: w.spot,
		Incarnation: w.session, Seq: w.call, FencingToken: w.token, NoticeS: w.notice, Tasks: []wire.TaskStatus{}}
	for _, t := range w.tasks {
		h.Tasks = append(h.Tasks, t.TaskStatus)
	}
	return h
}

// run sends reports and watches the lease until the machine is gone.
func (w *worker) run() {
	s := w.site
	s.mu.Lock()
	w.leaseBase, w.nextReport = time.Now(), time.Now()
	s.mu.Unlock()
	go w.watchLease()
	for {
		time.Sleep(2 * time.Millisecond)
		s.mu.Lock()
		if w.gone {
			s.mu.Unlock()
			return
		}
		now := time.Now()
		due := !now.Before(w.nextReport) || w.changed
		if w.hung || w.away || !due || now.Sub(w.lastReport) < minReportInterval {
			s.mu.Unlock()
			continue
		}
		w.changed, w.lastReport = false, now
		interval := s.settings.reportS * (0.75 + 0.5*rand.Float64())
		w.nextReport = now.Add(time.Duration(interval * float64(time.Second)))
		report := w.reportLocked()
		node, life := w.node, w.life
		s.mu.Unlock()
		w.exchange(report, node, life, now)
	}
}

// exchange sends one report and applies the response.
func (w *worker) exchange(report wire.Heartbeat, node, life int, sent time.Time) {
	s := w.site
	status, body := w.post(s.controllers[node], report, sent)
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.gone || w.life != life {
		return
	}
	w.logf("report call=%d session=%d crest=%d tasks=%v to %s: %d %s", report.Seq, report.Incarnation, report.FencingToken,
		report.Tasks, s.controllers[node].name, status, bytes.TrimSpace(body))
	switch status {
	case http.StatusOK:
		var r wire.HeartbeatReply
		if json.Unmarshal(body, &r) != nil {
			return
		}
		if r.FencingToken < w.token || report.Incarnation != w.session {
			w.logf("drops the response to call=%d", report.Seq)
			return
		}
		w.sawTokenLocked(r.FencingToken)
		w.leaseBase = sent
		w.executeLocked(r.Commands)
		return
	case http.StatusMisdirectedRequest:
		var r wire.NotLeaderReply
		_ = json.Unmarshal(body, &r)
		for i, c := range s.controllers {
			if c.name == r.Leader && i != node {
				w.node, w.nextReport = i, time.Now()
				return
			}
		}
	}
	w.node = (node + 1) % len(s.controllers)
	w.nextReport = time.Now().Add(nextNodeDelay)
}

// post sends a report over the worker's link. The status is 0 if no response arrives in
// time.
func (w *worker) post(c *controller, report wire.Heartbeat, sent time.Time) (status int, body []byte) {
	text, _ := json.Marshal(report)
	w.site.mu.Lock()
	delay, copyReport := w.fromWorker, w.copyReport
	w.site.mu.Unlock()
	if copyReport != nil {
		w.sendCopies(text, copyReport())
	}
	ended := make(chan struct{})
	go func() {
		time.Sleep(delay)
		if !w.pass(false) {
			return
		}
		defer close(ended)
		response, err := w.client.Post("http://"+c.bind+wire.PathHeartbeat, "application/json", bytes.NewReader(text))
		if err != nil {
			return
		}
		defer func() { _ = response.Body.Close() }()
		content, err := io.ReadAll(response.Body)
		if err != nil {
			return
		}
		w.site.mu.Lock()
		back := w.toWorker
		w.site.mu.Unlock()
		time.Sleep(back)
		if w.pass(true) {
			status, body = response.StatusCode, content
		}
	}()
	select {
	case <-ended:
		if time.Since(sent) < reportTimeout {
			return status, body
		}
		return 0, nil
	case <-time.After(time.Until(sent.Add(reportTimeout))):
		return 0, nil
	}
}

// sendCopies delivers a copy of a report to every controller after a delay.
func (w *worker) sendCopies(report []byte, delay time.Duration) {
	if delay == 0 {
		return
	}
	time.AfterFunc(delay, func() {
		for _, c := range w.site.controllers {
			response, err := w.client.Post("http://"+c.bind+wire.PathHeartbeat, "application/json", bytes.NewReader(report))
			if err == nil {
				_ = response.Body.Close()
			}
		}
	})
}

func (w *worker) sawTokenLocked(token uint64) {
	if token <= w.token {
		return
	}
	w.token = token
	half := time.Duration(w.site.settings.leaseS / 2 * float64(time.Second))
	if now := time.Now(); now.Sub(w.tokenNews) > half {
		w.tokenNews, w.changed = now, true
	}
}

// watchLease begins a new session whenever the lease has expired.
func (w *worker) watchLease() {
	lease := time.Duration(w.site.settings.leaseS * float64(time.Second))
	for {
		time.Sleep(10 * time.Millisecond)
		w.site.mu.Lock()
		if w.gone {
			w.site.mu.Unlock()
			return
		}
		if !w.hung && !w.away && time.Since(w.leaseBase) > lease {
			w.newSessionLocked()
		}
		w.site.mu.Unlock()
	}
}

// newSessionLocked kills and forgets all tasks and goes on with the next session.
func (w *worker) newSessionLocked() {
	w.logf("lease expired, session %d begins", w.session+1)
	w.killLocked("killed, lease expired")
	w.session, w.call, w.leaseBase, w.changed = w.session+1, 0, time.Now(), true
}

// killLocked ends all tasks.
func (w *worker) killLocked(why string) {
	for _, t := range w.tasks {
		if t.State != wire.TaskExited {
			w.exitLocked(t, wire.ExitStopped, why)
		}
	}
	w.tasks = nil
}

func (w *worker) findLocked(task string, attempt uint64) *workerTask {
	for _, t := range w.tasks {
		if t.Task == task && t.Attempt == attempt {
			return t
		}
	}
	return nil
}

// executeLocked executes commands in order.
func (w *worker) executeLocked(commands []wire.Command) {
	for _, c := range commands {
		t := w.findLocked(c.Task, c.Attempt)
		switch {
		case c.Op == wire.OpStart && t == nil:
			w.launchLocked(c)
		case c.Op == wire.OpStop && t != nil && t.State != wire.TaskExited:
			w.exitLocked(t, wire.ExitStopped, "halt")
		case c.Op == wire.OpForget && t != nil && t.State == wire.TaskExited:
			w.tasks = slices.DeleteFunc(w.tasks, func(o *workerTask) bool { return o == t })
			w.changed = true
		}
	}
}

// launchLocked starts or refuses an attempt.
func (w *worker) launchLocked(c wire.Command) {
	s := w.site
	t := &workerTask{TaskStatus: wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskFetching}}
	w.tasks = append(w.tasks, t)
	w.changed = true
	job := s.jobOfLocked(c.Task)
	refuse := func(why wire.ExitReason) {
		t.State, t.Reason = wire.TaskExited, why
		w.logf("launch of %s attempt %d refused: %s", c.Task, c.Attempt, why)
	}
	if job == nil {
		refuse(wire.ExitUnknown)
		return
	}
	cpus, memory := job.CPUs, job.MemoryGB
	for _, other := range w.tasks {
		if other == t || other.State == wire.TaskExited {
			continue
		}
		if other.Task == c.Task {
			refuse(wire.ExitBusy)
			return
		}
		o := s.jobOfLocked(other.Task)
		cpus, memory = cpus+o.CPUs, memory+o.MemoryGB
	}
	if cpus > w.machineType.CPUs+1e-6 || memory > w.machineType.MemoryGB+1e-6 {
		refuse(wire.ExitNoCapacity)
		return
	}
	fetch := time.Duration(0)
	if !w.images[job.Image] {
		fetch = time.Duration(job.ImageGB / w.machineType.FetchGBPerS * float64(time.Second))
	}
	w.logf("launch of %s attempt %d: fetching", c.Task, c.Attempt)
	t.timer = time.AfterFunc(fetch, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		w.startLocked(t)
	})
}

// startLocked runs an attempt whose image is on the machine.
func (w *worker) startLocked(t *workerTask) {
	if t.State != wire.TaskFetching || w.gone {
		return
	}
	if w.hung {
		t.timer.Reset(50 * time.Millisecond)
		return
	}
	s := w.site
	job := s.jobOfLocked(t.Task)
	w.images[job.Image] = true
	t.State, w.changed = wire.TaskRunning, true
	s.taskStartsLocked(t.Task, t.Attempt, w)
	if s.done[t.Task] {
		w.exitLocked(t, wire.ExitDone, "its result is kept")
		return
	}
	if run := s.runTimeLocked(t.Task); run > 0 {
		t.timer = time.AfterFunc(run, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if w.hung && !w.gone {
				t.timer.Reset(50 * time.Millisecond)
				return
			}
			if t.State == wire.TaskRunning && !w.gone {
				s.done[t.Task] = true
				w.exitLocked(t, wire.ExitDone, "completed")
			}
		})
	}
}

func (w *worker) exitLocked(t *workerTask, reason wire.ExitReason, why string) {
	if t.timer != nil {
		t.timer.Stop()
	}
	started := t.State == wire.TaskRunning
	t.State, t.Reason, w.changed = wire.TaskExited, reason, true
	w.logf("%s attempt %d ends: %s (%s)", t.Task, t.Attempt, reason, why)
	if started {
		w.site.taskEndsLocked(t.Task, w)
	}
}

// removeLocked ends the machine and all that is on it.
func (w *worker) removeLocked(why string) {
	w.logf("gone: %s", why)
	w.killLocked("the machine is gone")
	w.gone = true
	go func() { _ = w.server.Close() }()
}

// restartLocked lets the machine start anew: its tasks are gone, and its worker counts
// from the beginning. The images on its disk are still there.
func (w *worker) restartLocked() {
	w.logf("starts anew")
	w.killLocked("the machine starts anew")
	w.session, w.call, w.token, w.leaseBase, w.hung, w.away = 1, 0, 0, time.Now(), false, false
	w.life++
	w.changed, w.nextReport = true, time.Now()
}

// ServeHTTP serves direct commands and questions.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.site.mu.Lock()
	delay, hold := w.toWorker, w.holdOrders
	w.site.mu.Unlock()
	if hold != nil && r.URL.Path == wire.PathCommands {
		delay += hold()
	}
	time.Sleep(delay)
	if !w.pass(true) {
		<-r.Context().Done()
		return
	}
	status, report := w.direct(r, body)
	w.site.mu.Lock()
	back := w.fromWorker
	w.site.mu.Unlock()
	time.Sleep(back)
	if !w.pass(false) {
		<-r.Context().Done()
		return
	}
	reply(rw, status, report)
}

// direct carries out a direct message and returns the answer.
func (w *worker) direct(r *http.Request, body []byte) (status int, report any) {
	w.site.mu.Lock()
	defer w.site.mu.Unlock()
	if r.URL.Path != wire.PathCommands {
		h := w.reportLocked()
		w.logf("show: call=%d tasks=%v", h.Seq, h.Tasks)
		return http.StatusOK, h
	}
	var req wire.CommandRequest
	if json.Unmarshal(body, &req) != nil || req.FencingToken == 0 || req.Incarnation == 0 {
		return http.StatusBadRequest, wire.Error{Error: "malformed"}
	}
	status = http.StatusOK
	if lease := time.Duration(w.site.settings.leaseS * float64(time.Second)); time.Since(w.leaseBase) > lease {
		w.newSessionLocked()
	}
	if req.FencingToken < w.token || req.Incarnation != w.session {
		status = http.StatusConflict
	} else {
		w.sawTokenLocked(req.FencingToken)
		w.executeLocked(req.Commands)
		w.carriedOut = append(w.carriedOut, body)
	}
	h := w.reportLocked()
	w.logf("orders %s: %d, call=%d tasks=%v", bytes.TrimSpace(body), status, h.Seq, h.Tasks)
	return status, h
}
