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

// nodeCommand is one controller.
type nodeCommand struct {
	Node    string
	Address string
	Lease   time.Duration
	Pace    time.Duration
	Seed    uint64
}

// unlimited is more requests a second than a controller sends.
const unlimited = 1000

// Run implements kong's interface of a command.
func (c *nodeCommand) Run() error {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
	failovertest.NewNode(failovertest.NodeOptions{Name: c.Node, Lease: c.Lease, State: state.NewHTTPTransport(c.Address), Provider: cloud.NewClient(c.Address, unlimited),
		Seed: c.Seed, ActionInterval: c.Pace, Log: log}).Run(context.Background())
	return nil
}
