// Command heronwick is a controller of the heronwick cluster scheduler.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"heronwick/internal/cloud"
	"heronwick/internal/cluster"
	"heronwick/internal/config"
	"heronwick/internal/duty"
	"heronwick/internal/fleet"
	"heronwick/internal/state"
	"heronwick/internal/wait"
)

const version = "0.2.0"

// Exit codes.
const (
	exitFailure  = 1 // the service could not run
	exitSettings = 2 // wrong arguments or settings
)

type arguments struct {
	Run      runCommand       `cmd:"" default:"withargs" help:"Run a controller until it is killed (the default)."`
	Duties   dutiesCommand    `cmd:"" help:"Look at the single duties of running controllers."`
	LogLevel string           `help:"How much to log to standard error: error, info or debug." env:"LOG_LEVEL" default:"info" enum:"error,info,debug"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// runCommand runs a controller.
type runCommand struct {
	Config    string        `help:"Settings file (TOML) handed over by the platform." required:"" type:"path" placeholder:"PATH"`
	DutyLease time.Duration `help:"Lease of the single duties (renting, returning, reclaiming, clean-up); 0: they are off. At least 4s; up to three times as long where controllers have little of a core." env:"HERONWICK_DUTY_LEASE" default:"0"`
}

// settings loads the settings and checks the operator's own against them.
func (r *runCommand) settings() (*config.Settings, error) {
	settings, err := config.Load(r.Config)
	if err != nil {
		return nil, err
	}
	// Like all that controllers wait for, it is longer where they are slow.
	lease := time.Duration(float64(r.DutyLease) * settings.Slowness())
	if err := duty.CheckLease(lease, len(settings.Peers)+1, settings.StateRPS); err != nil {
		return nil, fmt.Errorf("--duty-lease: %w", err)
	}
	settings.DutyLease = lease
	return settings, nil
}

// Run implements kong's interface of a command.
func (r *runCommand) Run(level logLevel) error {
	settings, err := r.settings()
	if err != nil {
		return settingsError{err}
	}
	log := newLog(os.Stderr, string(level), settings.Node)
	leaving := context.Background()
	if settings.DutyLease > 0 {
		var stop context.CancelFunc
		leaving, stop = signal.NotifyContext(leaving, syscall.SIGTERM)
		defer stop()
	}
	if err := serve(context.Background(), leaving, settings, log); !errors.Is(err, errLeft) {
		return err
	}
	return nil
}

// errLeft ends a controller that was asked to end.
var errLeft = errors.New("asked to end")

// logLevel is how much is logged.
type logLevel string

// settingsError is what ends the program with exitSettings.
type settingsError struct{ error }

// Unwrap gives the error beneath.
func (e settingsError) Unwrap() error { return e.error }

func main() {
	var args arguments
	parser := kong.Must(&args,
		kong.Name("heronwick"),
		kong.Description("A controller of the heronwick cluster scheduler. It runs until it is killed."),
		kong.Vars{"version": "heronwick " + version},
	)
	command, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "heronwick: %v (see --help)\n", err)
		os.Exit(exitSettings)
	}
	if err := command.Run(logLevel(args.LogLevel)); err != nil {
		fmt.Fprintf(os.Stderr, "heronwick: %v\n", err)
		var wrong settingsError
		if errors.As(err, &wrong) {
			os.Exit(exitSettings)
		}
		os.Exit(exitFailure)
	}
}

func newLog(w io.Writer, level, node string) *slog.Logger {
	var l slog.Level
	_ = l.UnmarshalText([]byte(level)) // checked by the argument's enum
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l})).With("node", node)
}

// trimEvery is how often connections are closed that are too many to keep.
const trimEvery = 500 * time.Millisecond

// serve connects a controller to the real world and runs it, until it is asked to leave.
func serve(ctx, leaving context.Context, settings *config.Settings, log *slog.Logger) error {
	runtime.GOMAXPROCS(settings.Cores)
	// The collector works harder near the limit instead of the platform
	// killing the process there; a quarter is left for what Go does not count.
	debug.SetMemoryLimit(settings.MemoryBytes * 3 / 4)
	debug.SetGCPercent(200)

	var c *controller
	workers := fleet.NewClient(settings.MaxConnections, func() int { return c.front.Connections() })
	out := outside{
		state:   state.NewHTTPTransport(settings.StateAddr),
		cloud:   cloud.NewClient(settings.CloudAddr, settings.CloudRPS),
		workers: workers,
		peers:   map[string]peer{},
	}
	for _, p := range settings.Peers {
		conn, err := cluster.Dial(p.Addr)
		if err != nil {
			return err
		}
		out.peers[p.Node] = conn
	}
	c = newController(settings, out, log)
	ln, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return fmt.Errorf("listening for users and workers: %w", err)
	}
	peerLn, err := net.Listen("tcp", settings.PeerListen)
	if err != nil {
		return fmt.Errorf("listening for peers: %w", err)
	}
	log.Info("started", "version", version, "listen", settings.Listen, "peers", len(settings.Peers),
		"value_bytes", settings.ValueBytes, "txn_ops", settings.TxnOps, "write_rps", settings.StateWriteRPS)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return c.front.Serve(ctx, ln) })
	g.Go(func() error {
		return (&cluster.Service{Cluster: c.members, Route: c.route, Host: c}).Serve(ctx, peerLn)
	})
	g.Go(func() error { return c.run(ctx) })
	g.Go(func() error { return wait.Every(ctx, trimEvery, workers.Trim) })
	g.Go(func() error { return c.overload.Run(ctx) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			return nil
		case <-leaving.Done():
			c.leave(ctx)
			return errLeft
		}
	})
	return g.Wait()
}
