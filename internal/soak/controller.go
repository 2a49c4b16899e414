package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/valyala/fasthttp"

	"heronwick/internal/failovertest"
	"heronwick/internal/standin"
	"heronwick/wire"
)

// The store's limits. Small values and pages make takeovers read many of both.
const (
	storeRequestRate = 300
	storeWriteRate   = 120
	storeValueKB     = 4
	storeTxnOps      = 16
	storeListItems   = 20
)

// controller is one controller: its settings and, while it runs, its process.
type controller struct {
	name     string
	bind     string // address for users and workers
	peerBind string // address for the other controllers
	settings string // path of the settings file
	program  string
	logPath  string
	client   *fasthttp.HostClient
	links    map[string]*peerLink // to the other controllers, by name

	mu      sync.Mutex
	process *failovertest.Process // nil while it does not run
}

// addControllers prepares the controllers, whose settings and logs are kept in dir. The teams'
// limits in the settings are multiplied by a factor.
func (s *site) addControllers(nodes []string, program, dir string, limitFactor float64) error {
	for i, name := range nodes {
		host := controllerHost(s.seed, i)
		c := &controller{name: name, program: program, settings: filepath.Join(dir, name+".toml"),
			logPath: filepath.Join(dir, name+".log"), links: map[string]*peerLink{}}
		var err error
		if c.bind, err = freeAddress(host); err != nil {
			return err
		}
		if c.peerBind, err = freeAddress(host); err != nil {
			return err
		}
		c.client = &fasthttp.HostClient{Addr: c.bind, MaxConns: maxClientConnections, MaxIdemponentCallAttempts: 1}
		s.controllers = append(s.controllers, c)
	}
	for _, c := range s.controllers {
		if err := s.writeSettings(c, limitFactor); err != nil {
			return err
		}
	}
	return nil
}

// controllerHost returns the loopback host of a run's i-th controller. Runs at the same time, of
// this process or another one, have different hosts.
func controllerHost(seed uint64, i int) string {
	const octets = 200
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%octets, seed%octets, 1+i)
}

// maxClientConnections is the maximum number of connections of users and workers to one
// controller.
const maxClientConnections = 1000

// writeSettings writes a controller's settings file and serves what it names. The teams' limits
// are multiplied by a factor.
func (s *site) writeSettings(c *controller, limitFactor float64) error {
	store, err := s.serve(failovertest.StoreHandler(s.ctx, s.store.Connect(c.name)))
	if err != nil {
		return err
	}
	cloud, err := s.serve(s.cloudHandler())
	if err != nil {
		return err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "node = %q\nlocation = %q\nbind = %q\npeer_bind = %q\n", c.name, zone, c.bind, c.peerBind)
	for _, other := range s.controllers {
		if other == c {
			continue
		}
		link, err := newPeerLink(s.ctx, other.peerBind)
		if err != nil {
			return err
		}
		c.links[other.name] = link
		fmt.Fprintf(&text, "[[seeds]]\nnode = %q\nlocation = %q\nendpoint = %q\n", other.name, zone, link.address())
	}
	fmt.Fprintf(&text, "[outside]\ncloud = %q\nstate = %q\n", cloud, store)
	fmt.Fprintf(&text, "[cluster]\nsize = %d\nzones = [%q]\nclock_error_ms = 1000.0\n", len(s.controllers), zone)
	writeTeams(&text, s.teams, limitFactor)
	fmt.Fprintf(&text, "[cluster.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = 45.0\ngang_peer_s = 5.0\ncancel_s = %.1f\n",
		heartbeatInterval.Seconds(), workerLease.Seconds(), cancelTimeout.Seconds())
	fmt.Fprintf(&text, "[cluster.state]\nrps = %d.0\nwrite_rps = %d.0\nvalue_kb = %d.0\ntxn_ops = %d\n", storeRequestRate, storeWriteRate, storeValueKB, storeTxnOps)
	text.WriteString("[cluster.cloud]\nrps = 5.0\nlist_lag_s = 3.0\n[cluster.machine_limits]\ncore_share = 1.0\nram_mb = 400.0\nmax_connections = 2000\n")
	if err := os.WriteFile(c.settings, []byte(text.String()), 0o600); err != nil {
		return fmt.Errorf("writing the settings of %s: %w", c.name, err)
	}
	return nil
}

// cloudHandler serves the cloud.
func (s *site) cloudHandler() fasthttp.RequestHandler {
	cloud := addressedCloud{s.fleet.Cloud(), s}
	machines := failovertest.MachinesHandler(cloud)
	return func(request *fasthttp.RequestCtx) {
		if string(request.Path()) != wire.PathTypes {
			machines(request)
			return
		}
		types, err := cloud.Types(s.ctx)
		if err != nil {
			request.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		s.reply(request, fasthttp.StatusOK, wire.MachineTypes{Types: types})
	}
}

// addressedCloud is a cloud that lists the loopback addresses of the workers.
type addressedCloud struct {
	*standin.Cloud
	site *site
}

// List implements failovertest.MachineService.
func (c addressedCloud) List(ctx context.Context) ([]wire.Machine, error) {
	machines, err := c.Cloud.List(ctx)
	for i := range machines {
		address, serveErr := c.site.workerAddress(machines[i].ID)
		if serveErr != nil {
			return nil, serveErr
		}
		machines[i].Address = address
	}
	return machines, err
}

// violatedInvariants returns the lines of the controller's log that report a violated invariant.
func (c *controller) violatedInvariants() (lines []string, err error) {
	log, err := os.ReadFile(c.logPath)
	if err != nil {
		return nil, fmt.Errorf("reading the log of %s: %w", c.name, err)
	}
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, "invariant violated") {
			lines = append(lines, c.name+" "+strings.TrimSpace(line))
		}
	}
	return lines, nil
}

// controllerNamed returns the controller with a name, or nil if there is none.
func (s *site) controllerNamed(name string) *controller {
	for _, c := range s.controllers {
		if c.name == name {
			return c
		}
	}
	return nil
}

// start starts the controller's process unless it is running.
func (c *controller) start(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process != nil {
		return nil
	}
	log, err := os.OpenFile(c.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("opening the log of %s: %w", c.name, err)
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	command := exec.CommandContext(ctx, c.program, "--config", c.settings)
	command.Stderr = log
	c.process, err = failovertest.StartProcess(command)
	return err
}

// kill ends the controller's process, if it is running.
func (c *controller) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.process != nil {
		c.process.Kill()
		c.process = nil
	}
}

// setPaused pauses the controller's process or lets it go on, if it is running.
func (c *controller) setPaused(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.process == nil:
	case on:
		c.process.Pause()
	default:
		c.process.Continue()
	}
}
