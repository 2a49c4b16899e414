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
	Config    string        `help:"Settings file (TOML) handed over by the platform." required:"" type:"path" placeholder:"PATH"`
	DutyLease time.Duration `help:"Lease of the single duties (renting, returning, reclaiming, clean-up); 0: they are off. At least 4s; up to three times as long where controllers have little of a core." env:"HERONWICK_DUTY_LEASE" default:"0"`
}

// Run implements kong's interface of a command.
func (r *runCommand) Run(level logLevel) error {
	settings, err := r.settings()
	if err != nil {
		return usageError{err}
	}
	var shutdown <-chan struct{} // nil is never ready: without duties SIGTERM ends the process at once
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

// settings loads the settings file and checks the operator's flags against it.
func (r *runCommand) settings() (*config.Settings, error) {
	settings, err := config.Load(r.Config)
	if err != nil {
		return nil, err
	}
	// Like all timeouts between controllers, it is longer where they are slow.
	lease := time.Duration(float64(r.DutyLease) * settings.TimeoutFactor())
	if err := duty.CheckLease(lease, len(settings.Peers)+1, settings.StateRequestRate); err != nil {
		return nil, fmt.Errorf("--duty-lease: %w", err)
	}
	settings.DutyLease = lease
	return settings, nil
}

// connectionTrimInterval is how often connections to workers are closed that are too many
// to keep.
const connectionTrimInterval = 500 * time.Millisecond

// serve runs a controller until ctx ends, shutdown is closed or a part of it
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

// gcPercent lets the heap grow to three times what is live before a collection:
// memory up to the limit costs nothing, processor time does.
const gcPercent = 200

// limitResources keeps the process within the processor time and the memory that
// the platform gives it.
func limitResources(settings *config.Settings) {
	runtime.GOMAXPROCS(settings.Cores)
	// The collector works harder near the limit instead of the platform
	// killing the process there; a quarter is left for what Go does not count.
	debug.SetMemoryLimit(settings.MemoryBytes * 3 / 4)
	debug.SetGCPercent(gcPercent)
}

// connect makes a controller that talks to the services that the settings name.
// Connections are opened when they are first used.
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

// listeners are a controller's open ports.
type listeners struct {
	clients net.Listener // for users and workers
	peers   net.Listener // for the other controllers
}

// listen opens a controller's ports.
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
