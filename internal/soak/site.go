package soak

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"heronwick/internal/standin"
	"heronwick/wire"
)

// The site's settings. They are those of a small deployment, with a short lease so that
// leases expire within a run.
const (
	zone              = "z"
	machineTypeName   = "m"
	heartbeatInterval = 2 * time.Second
	workerLease       = 12 * time.Second
	cancelTimeout     = 25 * time.Second
)

// machineType is the only type of machines.
var machineType = wire.MachineType{
	Name: machineTypeName, CPUs: 8, GPUs: 4, MemoryGB: 32, CacheGB: 20, FetchGBPerS: 1,
	Price: 1, SpotPrice: 0.4, BootS: 3, Zones: []string{zone},
}

// site is everything around the controllers: stand-ins that are served over loopback.
type site struct {
	ctx     context.Context
	seed    uint64
	record  *record
	store   *standin.State
	fleet   *standin.Fleet
	checker *standin.Checker
	teams   []team
	users   *users

	controllers []*controller

	mu        sync.Mutex
	listeners []net.Listener
	addresses map[string]string // of the workers, by machine name
}

// newSite returns a site with booted machines and without controllers.
func newSite(ctx context.Context, seed uint64, record *record, nodes []string, workers int, taskDuration func(string) time.Duration) *site {
	s := &site{ctx: ctx, seed: seed, record: record, store: standin.NewState(), checker: standin.NewChecker(),
		teams: teamsFor(workers), addresses: map[string]string{}}
	s.store.RequestRate, s.store.WriteRate = storeRequestRate, storeWriteRate
	s.store.MaxValueBytes, s.store.MaxTxnOps, s.store.MaxListItems = storeValueKB<<10, storeTxnOps, storeListItems
	s.checker.TeamQuotas, s.checker.TeamGPUQuotas = quotas(s.teams)
	s.checker.CancelTimeout = cancelTimeout
	s.fleet = &standin.Fleet{
		Types: []wire.MachineType{machineType}, Capacity: workers + workers/4 + 2,
		BootTime: time.Duration(machineType.BootS) * time.Second, ImageFetchTime: 300 * time.Millisecond,
		HeartbeatInterval: heartbeatInterval, Lease: workerLease, TaskDuration: taskDuration,
		DeliverHeartbeat: s.deliverHeartbeat, Nodes: nodes, Checker: s.checker,
	}
	s.fleet.Start(ctx)
	for range workers {
		s.fleet.Add(false)
	}
	return s
}

// serve serves HTTP requests at a free loopback address, which it returns, until close.
func (s *site) serve(handler fasthttp.RequestHandler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listening: %w", err)
	}
	s.mu.Lock()
	s.listeners = append(s.listeners, listener)
	s.mu.Unlock()
	server := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, Logger: discardLogger{}}
	go func() { _ = server.Serve(listener) }() // ends when the listener is closed
	return listener.Addr().String(), nil
}

// discardLogger discards the errors of connections, which faults close all the time.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// close kills the controllers and closes all listeners.
func (s *site) close() {
	for _, c := range s.controllers {
		c.kill()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
}
