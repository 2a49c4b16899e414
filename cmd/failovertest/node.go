package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"heronwick/internal/cloud"
	"heronwick/internal/failovertest"
	"heronwick/internal/state"
)

// nodeCommand runs one controller until it is killed.
type nodeCommand struct {
	Node    string        // the controller's name
	Address string        // of the store and the machine service
	Lease   time.Duration // of the duties; 0 means that duties are off
	Pace    time.Duration // mean time between two actions
	Seed    uint64
}

// requestRate is the limit of requests to the machine service per second, more than a
// controller sends.
const requestRate = 1000

// Run runs the controller and does not return.
func (c *nodeCommand) Run() error {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
	node := failovertest.NewNode(failovertest.NodeOptions{
		Name: c.Node, Lease: c.Lease, State: state.NewHTTPTransport(c.Address), Provider: cloud.NewClient(c.Address, requestRate),
		Seed: c.Seed, ActionInterval: c.Pace, Log: log,
	})
	node.Run(context.Background())
	return nil
}
