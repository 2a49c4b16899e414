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
	Status   int                  // HTTP status; 0 if there is no response
	Reply    *wire.HeartbeatReply // only with status 200
	Redirect string               // only with status 421: the controller that takes the heartbeats
}

// Fleet fakes the cloud and the workers on its machines, and reports the tasks that run to a
// Checker. Its exported fields are set before Start.
type Fleet struct {
	// Types are the machine types that the cloud offers; Add uses the first one.
	Types []wire.MachineType
	// Capacity is the maximum number of machines.
	Capacity int
	// BootTime is how long a rented machine takes to boot before its worker runs.
	BootTime time.Duration
	// ImageFetchTime is how long a worker takes to fetch the image of a task before the task
	// runs.
	ImageFetchTime time.Duration
	// HeartbeatInterval is the interval between heartbeats of a worker on which nothing
	// changes.
	HeartbeatInterval time.Duration
	// Lease is how long a worker's lease lasts after its last renewal.
	Lease time.Duration
	// TaskDuration returns how long a task runs; 0 means until it is stopped.
	TaskDuration func(task string) time.Duration
	// OnTaskDone, if set, is called in its own goroutine for each task that is done.
	OnTaskDone func(task string)
	// TaskFails, if set, reports whether the tasks of a job fail on a machine.
	TaskFails func(job, machine string) bool
	// DeliverHeartbeat delivers a worker's heartbeat to a controller.
	DeliverHeartbeat func(node string, heartbeat *wire.Heartbeat) HeartbeatResponse
	// Nodes are the names of the controllers to which workers send heartbeats.
	Nodes []string
	// Checker observes the tasks that run. Start creates one if it is nil.
	Checker *Checker
	// ReturnedMachines are the names of the machines that were returned, in order.
	ReturnedMachines []string

	ctx context.Context // passed to Start; the workers run until it ends

	mu              sync.Mutex
	workers         map[string]*Worker // by machine name
	machinesCreated int                // including those that were removed; used to name new machines
	leaseExpiries   int

	// State and faults of the cloud.
	rented       map[string][]string // machine names by request ID
	rentRequests map[string]int      // number of requests by request ID
	cloudDown    bool
	cloudStalled bool
	holdRentals  bool
	heldRentals  []wire.RentRequest
	holdReturns  bool
	heldReturns  [][]string

	// Faults between controllers and workers.
	isolated  map[string]bool // controllers that are cut off from all workers
	partition partition
}

// LeaseExpiries returns how many worker leases have expired.
func (f *Fleet) LeaseExpiries() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaseExpiries
}

// Start prepares the fleet for machines, whose workers run until ctx ends.
func (f *Fleet) Start(ctx context.Context) {
	f.ctx = ctx
	f.workers, f.rented, f.rentRequests = map[string]*Worker{}, map[string][]string{}, map[string]int{}
	if f.Checker == nil {
		f.Checker = NewChecker()
	}
	f.Checker.Types = f.Types
}

// Add adds a machine that has already booted, and returns its name.
func (f *Fleet) Add(spot bool) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	zones := f.Types[0].Zones
	return f.addLocked(f.Types[0], zones[f.machinesCreated%len(zones)], spot, 0)
}

// addLocked adds a machine whose worker runs once bootTime has passed, and returns its name.
func (f *Fleet) addLocked(machineType wire.MachineType, zone string, spot bool, bootTime time.Duration) string {
	f.machinesCreated++
	w := &Worker{
		fleet: f, name: fmt.Sprintf("host-%06d", f.machinesCreated), machineType: machineType, zone: zone, spot: spot,
		nodeIndex: f.machinesCreated, incarnation: 1, tasks: map[string]*task{}, changed: make(chan struct{}, 1),
	}
	f.workers[w.name] = w
	go w.run(bootTime)
	return w.name
}

// removeLocked removes a machine permanently. It returns false if the machine does not exist.
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
