package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"heronwick/internal/cloud"
	"heronwick/internal/cluster"
	"heronwick/internal/config"
	"heronwick/internal/duty"
	"heronwick/internal/fleet"
	"heronwick/internal/state"
	"heronwick/internal/wait"
)

// runCommand runs a controller.
type runCommand struct {
	Config    string        `help:"Settings file (TOML) provided by the platform." required:"" type:"path" placeholder:"PATH"`
	DutyLease time.Duration `help:"Lease of the single duties (renting, returning, reclaiming, clean-up); 0 turns them off. At least 4s. The effective lease is up to three times as long if controllers have only a small share of a core." env:"HERONWICK_DUTY_LEASE" default:"0"`
}

// Run implements kong's interface for commands.
func (r *runCommand) Run(level logLevel) error {
	settings, err := r.settings()
	if err != nil {
		return usageError{err}
	}
	var shutdown <-chan struct{} // nil, so never ready, without duties: SIGTERM then ends the process at once
	if settings.DutyLease > 0 {
		terminated, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		shutdown = terminated.Done()
	}
	log := newLogger(os.Stderr, level, settings.Node)
	if err := serve(context.Background(), shutdown, settings, log); !errors.Is(err, errShutdown) {
		return err
	}
	return nil
}

// settings loads the settings file and validates the operator's flags against it.
func (r *runCommand) settings() (*config.Settings, error) {
	settings, err := config.Load(r.Config)
	if err != nil {
		return nil, err
	}
	// Like all timeouts between controllers, the lease is longer if they have only a
	// small share of a core.
	lease := time.Duration(float64(r.DutyLease) * settings.TimeoutFactor())
	if err := duty.CheckLease(lease, len(settings.Peers)+1, settings.StateRequestRate); err != nil {
		return nil, fmt.Errorf("--duty-lease: %w", err)
	}
	settings.DutyLease = lease
	return settings, nil
}

// connectionTrimInterval is the time between two checks whether idle connections to
// workers must be closed because sockets run short.
const connectionTrimInterval = 500 * time.Millisecond

// serve runs a controller until ctx ends, shutdown is closed or one of its components
// fails. It returns nil, errShutdown or the first error, respectively.
func serve(ctx context.Context, shutdown <-chan struct{}, settings *config.Settings, log *slog.Logger) error {
	limitResources(settings)
	c, workers, err := connect(settings, log)
	if err != nil {
		return err
	}
	listeners, err := listen(settings)
	if err != nil {
		return err
	}
	log.Info("started", "version", version, "listen", settings.Listen, "peers", len(settings.Peers),
		"value_bytes", settings.MaxValueBytes, "txn_ops", settings.MaxTxnOps, "write_rps", settings.StateWriteRate)
	peerService := &cluster.Service{Cluster: c.members, Transport: c.transport, PlacementHandler: c}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.server.Serve(ctx, listeners.clients) })
	g.Go(func() error { return peerService.Serve(ctx, listeners.peers) })
	g.Go(func() error { return c.run(ctx) })
	g.Go(func() error { return wait.Every(ctx, connectionTrimInterval, workers.TrimConnections) })
	g.Go(func() error { return c.overload.Run(ctx) })
	g.Go(func() error { return c.resignOnShutdown(ctx, shutdown) })
	return g.Wait()
}

// gcPercent lets the heap grow to three times the live heap before a collection, because
// memory below the limit is free and processor time is not.
const gcPercent = 200

// limitResources configures the Go runtime for the processor time and memory that the
// platform gives the process.
func limitResources(settings *config.Settings) {
	runtime.GOMAXPROCS(settings.Cores)
	// Near this limit the garbage collector runs more often, so that the platform does
	// not kill the process for exceeding its memory. A quarter is reserved for memory
	// that the Go runtime does not count.
	debug.SetMemoryLimit(settings.MemoryBytes * 3 / 4)
	debug.SetGCPercent(gcPercent)
}

// connect creates a controller with clients for the services that the settings name, and
// returns it and its client for workers. Connections are opened when they are first used.
func connect(settings *config.Settings, log *slog.Logger) (*controller, *fleet.Client, error) {
	var c *controller
	workers := fleet.NewClient(settings.MaxConnections, func() int { return c.server.OpenConnections() })
	external := externalServices{
		state:   state.NewHTTPTransport(settings.StateAddr),
		cloud:   cloud.NewClient(settings.CloudAddr, settings.CloudRequestRate),
		workers: workers,
		peers:   map[string]peer{},
	}
	for _, p := range settings.Peers {
		conn, err := cluster.Dial(p.Addr)
		if err != nil {
			return nil, nil, err
		}
		external.peers[p.Node] = conn
	}
	c = newController(settings, external, log)
	return c, workers, nil
}

// listeners are the listening sockets of a controller.
type listeners struct {
	clients net.Listener // for users and workers
	peers   net.Listener // for the other controllers
}

// listen opens the listening sockets of a controller.
func listen(settings *config.Settings) (listeners, error) {
	clients, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return listeners{}, fmt.Errorf("listening for users and workers: %w", err)
	}
	peers, err := net.Listen("tcp", settings.PeerListen)
	if err != nil {
		return listeners{}, fmt.Errorf("listening for peers: %w", errors.Join(err, clients.Close()))
	}
	return listeners{clients: clients, peers: peers}, nil
}
