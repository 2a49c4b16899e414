// Command heronwick is a controller of the heronwick cluster scheduler.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"heronwick/internal/cloud"
	"heronwick/internal/cluster"
	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/config"
	"heronwick/internal/fleet"
	"heronwick/internal/job"
	"heronwick/internal/scheduler"
	"heronwick/internal/server"
	"heronwick/internal/state"
	"heronwick/wire"
)

const version = "0.1.0"

// Exit codes.
const (
	exitFailure  = 1 // the service could not run
	exitSettings = 2 // wrong arguments or settings
)

type arguments struct {
	Config   string           `help:"Settings file (TOML) handed over by the platform." required:"" type:"path" placeholder:"PATH"`
	LogLevel string           `help:"How much to log to standard error: error, info or debug." env:"LOG_LEVEL" default:"info" enum:"error,info,debug"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var args arguments
	parser := kong.Must(&args,
		kong.Name("heronwick"),
		kong.Description("A controller of the heronwick cluster scheduler. It runs until it is killed."),
		kong.Vars{"version": "heronwick " + version},
	)
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "heronwick: %v (see --help)\n", err)
		os.Exit(exitSettings)
	}
	settings, err := config.Load(args.Config)
	if err != nil {
		fmt.Fprintf(os.Stderr, "heronwick: %v\n", err)
		os.Exit(exitSettings)
	}
	log := newLog(os.Stderr, args.LogLevel, settings.Node)
	if err := run(context.Background(), settings, log); err != nil {
		log.Error("ended", "err", err)
		os.Exit(exitFailure)
	}
}

func newLog(w io.Writer, level, node string) *slog.Logger {
	var l slog.Level
	_ = l.UnmarshalText([]byte(level)) // checked by the argument's enum
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l})).With("node", node)
}

// authority adapts the cluster to what a share needs.
type authority struct{ *cluster.Cluster }

func (a authority) Token() uint64 {
	epoch, _, _ := a.Current()
	return epoch.Token
}

func (a authority) IsEpoch(key string) bool { return cluster.IsEpoch(key) }

// leaderPart and otherPart divide the state service's limits among the
// controllers: the leader places, the others only accept and answer.
const leaderPart = 0.5

func run(ctx context.Context, settings *config.Settings, log *slog.Logger) error {
	runtime.GOMAXPROCS(settings.Cores)
	// The collector works harder near the limit instead of the platform
	// killing the process there; a quarter is left for what Go does not count.
	debug.SetMemoryLimit(settings.MemoryBytes * 3 / 4)
	debug.SetGCPercent(200)

	var members *cluster.Cluster
	peers := map[string]*cluster.Conn{}
	beaters := map[string]cluster.Beater{}
	for _, p := range settings.Peers {
		conn, err := cluster.Dial(p.Addr)
		if err != nil {
			return err
		}
		peers[p.Node], beaters[p.Node] = conn, conn
	}
	route := state.NewRoute(state.NewHTTP(settings.State), func() []state.Doer {
		var doers []state.Doer
		for _, node := range members.StatePeers() {
			doers = append(doers, peers[node])
		}
		return doers
	})
	others := max(1, len(settings.Peers))
	otherPart := (1 - leaderPart) / float64(others)
	budget := state.NewBudget(settings.StateRPS*otherPart, settings.StateWriteRPS*otherPart, settings.TxnOps)
	client := state.NewClient(route, budget)
	committer := state.NewCommitter(client, settings.TxnOps)
	catalog := job.NewCatalog(client, committer, log)
	clouds := cloud.NewClient(settings.Cloud, settings.CloudRPS)
	offers := cloud.NewOffers(clouds, client, log)
	workers := fleet.NewClient()
	var share atomic.Pointer[scheduler.Share]

	lead := func(ctx context.Context) error {
		if err := offers.Wait(ctx); err != nil {
			return err
		}
		budget.SetRates(settings.StateRPS*leaderPart, settings.StateWriteRPS*leaderPart, settings.TxnOps)
		defer budget.SetRates(settings.StateRPS*otherPart, settings.StateWriteRPS*otherPart, settings.TxnOps)
		for !catalog.Ready() {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(20 * time.Millisecond)
		}
		s := scheduler.New(scheduler.Options{
			Settings: settings, Authority: authority{members}, Workers: workers, Cloud: clouds,
			Jobs: catalog, Records: client, Committer: committer, Types: offers.Types(),
			Resign: members.Resign, Elsewhere: members.WorkersElsewhere, Log: log,
		})
		share.Store(s)
		defer share.CompareAndSwap(s, nil)
		return s.Run(ctx)
	}
	members = cluster.New(cluster.Options{
		Node: settings.Node, Client: client, Route: route, Peers: beaters, LeaseFor: settings.LeaseFor, Lead: lead, Log: log,
		Progress: func() []*peerpb.Progress {
			s := share.Load()
			if s == nil {
				return nil
			}
			var all []*peerpb.Progress
			for id, p := range s.Progress() {
				catalog.SetProgress(id, p)
				all = append(all, &peerpb.Progress{Job: id, Done: uint32(p.Done), Running: uint32(p.Running)})
			}
			return all
		},
		OnProgress: func(all []*peerpb.Progress) {
			for _, p := range all {
				catalog.SetProgress(p.Job, job.Progress{Done: int(p.Done), Running: int(p.Running)})
			}
		},
	})
	front := server.New(server.Options{
		Settings: settings, Jobs: catalog, Types: offers.Types, Log: log,
		Checkin: func(r *wire.Report) (*wire.ReportReply, string) {
			if s := share.Load(); s != nil {
				if reply := s.Checkin(r); reply != nil {
					return reply, ""
				}
			}
			leader := members.Leader()
			if leader == settings.Node {
				return nil, ""
			}
			members.HeardWorker(r.Machine)
			return nil, leader
		},
		Ready: func() bool { return ready(catalog, offers, members, route) },
	})

	ln, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		return fmt.Errorf("listening for users and workers: %w", err)
	}
	peerLn, err := net.Listen("tcp", settings.Peer)
	if err != nil {
		return fmt.Errorf("listening for peers: %w", err)
	}
	log.Info("started", "version", version, "listen", settings.Listen, "peers", len(settings.Peers))
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return front.Serve(ctx, ln) })
	g.Go(func() error { return (&cluster.Service{Cluster: members, Route: route}).Serve(ctx, peerLn) })
	g.Go(func() error { return members.Run(ctx) })
	g.Go(func() error { return catalog.Run(ctx) })
	g.Go(func() error { return offers.Run(ctx) })
	return g.Wait()
}

// ready tells whether this controller can take requests. In an outage of the
// state service all stay ready, since being removed costs more than the
// outage; one that alone cannot reach it does not.
func ready(catalog *job.Catalog, offers *cloud.Offers, members *cluster.Cluster, route *state.Route) bool {
	if !catalog.Ready() || offers.Types() == nil {
		return false
	}
	if route.OK(3 * time.Second) {
		return true
	}
	return members.PeersAlive() > 0 && len(members.StatePeers()) == 0
}
