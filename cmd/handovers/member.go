package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"heronwick/internal/cloud"
	"heronwick/internal/handover"
	"heronwick/internal/state"
)

// memberCommand is one controller.
type memberCommand struct {
	Node    string
	Address string
	Lease   time.Duration
	Pace    time.Duration
	Seed    uint64
}

// unlimited is more requests a second than a controller sends.
const unlimited = 1000

// Run implements kong's interface of a command.
func (c *memberCommand) Run() error {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
	handover.NewMember(handover.MemberOptions{Node: c.Node, Lease: c.Lease, State: state.NewHTTP(c.Address), Provider: cloud.NewClient(c.Address, unlimited),
		Seed: c.Seed, Pace: c.Pace, Log: log}).Run(context.Background())
	return nil
}
