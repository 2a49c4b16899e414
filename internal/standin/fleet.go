package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"heronwick/wire"
)

// HeartbeatResponse is a controller's response to a heartbeat.
type HeartbeatResponse struct {
	Status   int                  // HTTP status; 0: there is no response
	Reply    *wire.HeartbeatReply // with status 200
	Redirect string               // with status 421: the node to send heartbeats to
}

// Fleet fakes the cloud and the workers on its machines, and tells a Checker what runs.
// Its exported fields are set before Start.
type Fleet struct {
	// Types are the machine types that the cloud offers; Add uses the first one.
	Types []wire.MachineType
	// Capacity is how many machines there can be.
	Capacity int
	// BootTime is how long a rented machine takes to boot before its worker runs.
	BootTime time.Duration
	// ImageFetchTime is how long a task takes to fetch its image before it runs.
	ImageFetchTime time.Duration
	// HeartbeatInterval is the interval between two heartbeats of a worker without a change.
	HeartbeatInterval time.Duration
	// Lease is how long a worker's lease lasts without a renewal.
	Lease time.Duration
	// TaskDuration returns how long a task runs; 0: until it is stopped.
	TaskDuration func(task string) time.Duration
	// OnTaskDone, if set, is called in a goroutine of its own for each task that is done.
	OnTaskDone func(task string)
	// TaskFails, if set, reports whether a job's tasks fail on a machine.
	TaskFails func(job, machine string) bool
	// DeliverHeartbeat delivers a worker's heartbeat to a controller.
	DeliverHeartbeat func(node string, heartbeat *wire.Heartbeat) HeartbeatResponse
	// Nodes are the controllers' names, to which heartbeats are sent.
	Nodes []string
	// Checker sees what runs; Start makes one if there is none.
	Checker *Checker
	// ReturnedMachines names the machines that were returned, in order.
	ReturnedMachines []string

	ctx context.Context // of Start; the workers run until it ends

	mu            sync.Mutex
	workers       map[string]*Worker // by machine
	machinesMade  int                // for their names
	leaseExpiries int

	// The cloud's state and faults.
	rented       map[string][]string // machines by request name
	rentRequests map[string]int      // how often each rental was requested, by request name
	cloudDown    bool
	cloudStalled bool
	holdRentals  bool
	heldRentals  []wire.RentRequest
	holdReturns  bool
	heldReturns  [][]string

	// Faults between controllers and workers.
	isolated  map[string]bool // controllers that neither reach workers nor are reached
	partition partition
}

// LeaseExpiries returns how many leases of workers have expired.
func (f *Fleet) LeaseExpiries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaseExpiries
}

// Start makes the fleet ready for machines, which run until ctx ends.
func (f *Fleet) Start(ctx context.Context) {
	f.ctx = ctx
	f.workers, f.rented, f.rentRequests = map[string]*Worker{}, map[string][]string{}, map[string]int{}
	if f.Checker == nil {
		f.Checker = NewChecker()
	}
	f.Checker.Types = f.Types
}

// Add adds a machine that is booted already and returns its name.
func (f *Fleet) Add(spot bool) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	zones := f.Types[0].Zones
	return f.addLocked(f.Types[0], zones[f.machinesMade%len(zones)], spot, 0)
}

// addLocked adds a machine whose worker runs after boot, and returns its name.
func (f *Fleet) addLocked(machineType wire.MachineType, zone string, spot bool, boot time.Duration) string {
	f.machinesMade++
	w := &Worker{
		fleet: f, name: fmt.Sprintf("host-%06d", f.machinesMade), machineType: machineType, zone: zone, spot: spot,
		nodeIndex: f.machinesMade, incarnation: 1, tasks: map[string]*task{}, changed: make(chan struct{}, 1),
	}
	f.workers[w.name] = w
	go w.run(boot)
	return w.name
}

// removeLocked removes a machine for good; it returns false if there is none.
func (f *Fleet) removeLocked(machine string) bool {
	w := f.workers[machine]
	if w == nil {
		return false
	}
	w.killTasksLocked()
	w.removed = true
	delete(f.workers, machine)
	return true
}
