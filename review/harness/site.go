package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"heronwick/wire"
)

// siteSettings are the parts of the controllers' settings that the stand-ins need too.
type siteSettings struct {
	reportS, leaseS, cancelS float64
	limits                   string // the tables of the settings on limits
	teams                    []wireTeam
	zones                    []string
	types                    []wire.MachineType
}

// wireTeam is a team of the settings.
type wireTeam struct {
	name          string
	cpus, cpusMax float64
}

// site is a small deployment: the stand-ins, the controllers and what is checked.
type site struct {
	rec         *recorder
	settings    siteSettings
	store       *store
	controllers []*controller
	seed        uint64
	peerLinks   map[string]*peerLink // by the names of the two controllers

	mu         sync.Mutex
	workers    map[string]*worker
	created    int
	jobs       map[string]*wire.Job
	runTimes   map[string]time.Duration   // by job, or by task; 0 means until stopped
	running    map[string]map[string]bool // machines by task
	done       map[string]bool            // tasks
	cancelled  map[string]time.Time       // when the user was told, by job
	violations []string
	capacity   map[string]int // machines that may still be rented, by type
	rented     map[string][]string
	cloudDown  bool // the cloud's interface is down
}

func newSite(rec *recorder, settings siteSettings) *site {
	return &site{rec: rec, peerLinks: map[string]*peerLink{}, settings: settings, store: newStore(rec), workers: map[string]*worker{},
		jobs: map[string]*wire.Job{}, runTimes: map[string]time.Duration{}, running: map[string]map[string]bool{},
		done: map[string]bool{}, cancelled: map[string]time.Time{}, capacity: map[string]int{}, rented: map[string][]string{}}
}

func (s *site) violateLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.rec.event("BROKEN %s", text)
	s.violations = append(s.violations, text)
}

// broken returns the rules that were broken so far.
func (s *site) broken() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

func (s *site) jobOfLocked(task string) *wire.Job {
	id, _, _ := strings.Cut(task, "/")
	return s.jobs[id]
}

func (s *site) runTimeLocked(task string) time.Duration {
	if run, ok := s.runTimes[task]; ok {
		return run
	}
	id, _, _ := strings.Cut(task, "/")
	return s.runTimes[id]
}

// taskStartsLocked checks the start of a task.
func (s *site) taskStartsLocked(task string, attempt uint64, w *worker) {
	w.logf("%s attempt %d STARTS", task, attempt)
	for other := range s.running[task] {
		if other != w.name {
			s.violateLocked("ran_twice: %s starts on %s while it is on %s", task, w.name, other)
		}
	}
	job := s.jobOfLocked(task)
	if told, ok := s.cancelled[job.ID]; ok && time.Since(told).Seconds() > s.settings.cancelS {
		s.violateLocked("ran_cancelled: %s starts on %s %v after its user was told", task, w.name, time.Since(told))
	}
	if len(job.Types) > 0 && !slices.Contains(job.Types, w.machineType.Name) || job.Zone != nil && *job.Zone != w.zone || w.spot && !job.Spot {
		s.violateLocked("wrong_place: %s starts on %s", task, w.name)
	}
	s.checkZonesLocked(task, job, w)
	if s.running[task] == nil {
		s.running[task] = map[string]bool{}
	}
	s.running[task][w.name] = true
	for _, team := range s.settings.teams {
		used := 0.0
		for other, on := range s.running {
			if j := s.jobOfLocked(other); j.Team == team.name {
				used += j.CPUs * float64(len(on))
			}
		}
		if team.cpusMax > 0 && used > team.cpusMax+1e-6 {
			s.violateLocked("quota: %s uses %v of %v CPUs", team.name, used, team.cpusMax)
		}
	}
}

// checkZonesLocked checks the zone in which a task starts against those of the other tasks
// of its job.
func (s *site) checkZonesLocked(task string, job *wire.Job, w *worker) {
	here := 1
	for other, on := range s.running {
		if other == task || s.jobOfLocked(other) != job {
			continue
		}
		for name := range on {
			zone := s.workers[name].zone
			if zone == w.zone {
				here++
			} else if job.OneZone {
				s.violateLocked("wrong_place: %s starts in %s while %s is in %s", task, w.zone, other, zone)
			}
		}
	}
	if job.Spread && here > (job.Tasks+1)/2 {
		s.violateLocked("wrong_place: %s starts in %s as number %d of %d", task, w.zone, here, job.Tasks)
	}
}

func (s *site) taskEndsLocked(task string, w *worker) {
	delete(s.running[task], w.name)
	if len(s.running[task]) == 0 {
		delete(s.running, task)
	}
}

// listen opens a free loopback port.
func listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listening: %w", err)
	}
	return l, nil
}

func serve(l net.Listener, h http.Handler) *http.Server {
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return server
}

// addMachine adds a machine, whose worker runs once boot has passed.
func (s *site) addMachine(t wire.MachineType, zone string, spot bool, boot time.Duration) (*worker, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.created++
	w := &worker{site: s, name: fmt.Sprintf("host-%06d", s.created), address: l.Addr().String(), machineType: t, zone: zone, spot: spot,
		session: 1, images: map[string]bool{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
	w.server = serve(l, w)
	s.workers[w.name] = w
	time.AfterFunc(boot, w.run)
	return w, nil
}

// removeMachine ends a machine.
func (s *site) removeMachine(w *worker, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.removeLocked(why)
	delete(s.workers, w.name)
}

// ServeHTTP serves the cloud.
func (s *site) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	time.Sleep(30 * time.Millisecond)
	s.mu.Lock()
	down := s.cloudDown
	s.mu.Unlock()
	switch {
	case down:
		s.rec.event("cloud: %s %s %s: 503", r.Method, r.URL.Path, body)
		replyError(w, http.StatusServiceUnavailable, "trouble")
	case r.URL.Path == wire.PathTypes:
		reply(w, http.StatusOK, wire.MachineTypes{Types: s.settings.types})
	case r.URL.Path == wire.PathReturn:
		var names wire.MachineNames
		if json.Unmarshal(body, &names) != nil {
			replyError(w, http.StatusBadRequest, "malformed")
			return
		}
		s.rec.event("cloud: return %v", names.Machines)
		for _, name := range names.Machines {
			s.mu.Lock()
			m := s.workers[name]
			s.mu.Unlock()
			if m != nil {
				s.removeMachine(m, "returned")
			}
		}
		reply(w, http.StatusOK, struct{}{})
	case r.URL.Path == wire.PathMachines && r.Method == http.MethodPost:
		s.rent(w, body)
	case r.URL.Path == wire.PathMachines:
		s.listMachines(w, r.URL.Query().Get("after"))
	default:
		replyError(w, http.StatusBadRequest, "no such path")
	}
}

func (s *site) rent(w http.ResponseWriter, body []byte) {
	var req wire.RentRequest
	if json.Unmarshal(body, &req) != nil {
		replyError(w, http.StatusBadRequest, "malformed")
		return
	}
	s.mu.Lock()
	names := s.rented[req.RequestID]
	n := min(req.Count, s.capacity[req.Type])
	if names == nil {
		s.capacity[req.Type] -= n
	}
	s.mu.Unlock()
	if names == nil {
		for _, t := range s.settings.types {
			for range n {
				if t.Name != req.Type {
					continue
				}
				m, err := s.addMachine(t, req.Zone, req.Spot, time.Duration(t.BootS*float64(time.Second)))
				if err == nil {
					names = append(names, m.name)
				}
			}
		}
	}
	if len(names) == 0 {
		replyError(w, http.StatusServiceUnavailable, wire.NoCapacity)
		return
	}
	s.rec.event("cloud: rental %+v: %v", req, names)
	s.mu.Lock()
	s.rented[req.RequestID] = names
	s.mu.Unlock()
	reply(w, http.StatusOK, wire.MachineNames{Machines: names})
}

func (s *site) listMachines(w http.ResponseWriter, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := wire.MachineList{Machines: []wire.Machine{}}
	for name, m := range s.workers {
		if name > after {
			list.Machines = append(list.Machines, wire.Machine{ID: name, Address: m.address, Type: m.machineType.Name, Zone: m.zone,
				Spot: m.spot, State: wire.MachineRunning, AgeS: 60})
		}
	}
	slices.SortFunc(list.Machines, func(a, b wire.Machine) int { return strings.Compare(a.ID, b.ID) })
	reply(w, http.StatusOK, list)
}
