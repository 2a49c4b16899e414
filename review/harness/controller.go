package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"heronwick/wire"
)

// controller is one of the project's controllers, as a process of its own.
type controller struct {
	name     string
	zone     string
	bind     string
	peerBind string
	settings string // path of the settings file
	command  []string
	logPath  string
	rec      *recorder

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// runCommand returns the run command of the deploy file.
func runCommand(path string) ([]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the deploy file: %w", err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("%s has no run command", path)
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// addControllers prepares the controllers, with settings files in dir.
func (s *site) addControllers(n int, dir string) error {
	command, err := runCommand("deploy/service.toml")
	if err != nil {
		return err
	}
	cloud, err := listen()
	if err != nil {
		return err
	}
	serve(cloud, s)
	states := map[string]string{}
	for i := range n {
		c := &controller{name: fmt.Sprintf("perch-%d", i), zone: s.settings.zones[i%len(s.settings.zones)], command: command, rec: s.rec}
		c.settings, c.logPath = filepath.Join(dir, c.name+".toml"), filepath.Join(dir, c.name+".log")
		if c.bind, err = freeAddress(); err != nil {
			return err
		}
		if c.peerBind, err = freeAddress(); err != nil {
			return err
		}
		l, err := listen()
		if err != nil {
			return err
		}
		serve(l, s.store.handler(c.name))
		states[c.name] = l.Addr().String()
		s.controllers = append(s.controllers, c)
	}
	if err := s.addPeerLinks(); err != nil {
		return err
	}
	for _, c := range s.controllers {
		text := s.settingsOf(c, states[c.name], cloud.Addr().String())
		if err := os.WriteFile(c.settings, []byte(text), 0o600); err != nil {
			return fmt.Errorf("writing settings: %w", err)
		}
	}
	return nil
}

// The limits of the two deployments.
const (
	zawadiLimits = `[cluster.state]
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
max_connections = 1500`
	amemtLimits = `[cluster.state]
rps = 150.0
write_rps = 30.0
value_kb = 16.0
txn_ops = 24
[cluster.cloud]
rps = 8.0
list_lag_s = 6.0
[cluster.machine_limits]
core_share = 0.24
ram_mb = 179.0
max_connections = 2000`
)

// settingsOf returns the settings file of a controller.
func (s *site) settingsOf(c *controller, state, cloud string) string {
	var b strings.Builder
	put := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	put("node = %q\nlocation = %q\nbind = %q\npeer_bind = %q", c.name, c.zone, c.bind, c.peerBind)
	for _, peer := range s.controllers {
		if peer != c {
			put("[[seeds]]\nnode = %q\nlocation = %q\nendpoint = %q", peer.name, peer.zone, s.peerLinks[c.name+" "+peer.name].address)
		}
	}
	put("[outside]\ncloud = %q\nstate = %q", cloud, state)
	var zones []string
	for _, zone := range s.settings.zones {
		zones = append(zones, fmt.Sprintf("%q", zone))
	}
	put("[cluster]\nsize = %d\nzones = [%s]\nclock_error_ms = 1000.0", len(s.controllers), strings.Join(zones, ", "))
	for _, team := range s.settings.teams {
		put("[[cluster.teams]]\nname = %q\ncpus = %.1f\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0", team.name, team.cpus, team.cpusMax)
	}
	put("[cluster.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 45.0\ngang_peer_s = 5.0\ncancel_s = %.1f",
		s.settings.reportS, s.settings.leaseS, s.settings.cancelS)
	put("%s", s.settings.limits)
	return b.String()
}

// start starts the controller's process.
func (c *controller) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	log, err := os.OpenFile(c.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("opening the log: %w", err)
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(c.command[0], append(c.command[1:], c.settings)...)
	process.Stderr, process.Stdout = log, log
	process.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", c.name, err)
	}
	c.process, c.exited = process, make(chan struct{})
	c.rec.event("controller %s: started", c.name)
	exited := c.exited
	go func() {
		_ = process.Wait()
		c.rec.event("controller %s: ended", c.name)
		close(exited)
	}()
	return nil
}

func logLevel() string {
	if level := os.Getenv("CASE_LOG"); level != "" {
		return level
	}
	return "info"
}

// signal sends a signal to the controller's process.
func (c *controller) signal(sig syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process != nil {
		c.rec.event("controller %s: %v", c.name, sig)
		_ = c.process.Process.Signal(sig)
	}
}

// kill ends the controller's process and waits until it is gone.
func (c *controller) kill() {
	c.mu.Lock()
	exited := c.exited
	c.mu.Unlock()
	if exited == nil {
		return
	}
	c.signal(syscall.SIGKILL)
	<-exited
}

// ready reports whether the controller is healthy.
func (c *controller) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + c.bind + wire.PathReady)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}
