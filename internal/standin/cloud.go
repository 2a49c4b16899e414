package standin

import (
	"context"
	"maps"
	"slices"
	"time"

	"heronwick/internal/cloud"
	"heronwick/wire"
)

// SetCloudOutage starts or ends an outage of the cloud.
func (f *Fleet) SetCloudOutage(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cloudDown = down
}

// HoldRentals starts or stops holding back rental requests, whose callers get no response.
// Stopping carries out the held requests late, which adds machines that no controller expects.
func (f *Fleet) HoldRentals(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holdRentals = on
	if !on {
		for _, req := range f.heldRentals {
			f.rentLocked(req)
		}
		f.heldRentals = nil
	}
}

// HoldReturns starts or stops holding back return requests, whose callers get no response.
// Stopping affects only later requests; those already held back wait for ReleaseReturns.
func (f *Fleet) HoldReturns(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holdReturns = on
}

// HeldReturns returns the machines of the return requests that are held back.
func (f *Fleet) HeldReturns() (machines []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Concat(f.heldReturns...)
}

// ReleaseReturns carries out the return requests that are held back.
func (f *Fleet) ReleaseReturns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, machines := range f.heldReturns {
		f.returnLocked(machines)
	}
	f.heldReturns = nil
}

// RentRequestCounts returns how often each rental was requested, by request ID.
func (f *Fleet) RentRequestCounts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.rentRequests)
}

// stallTime is how long a request to the stalled cloud blocks, regardless of the caller's
// context. It is about as long as the timeout of a real client.
const stallTime = 15 * time.Second

// StallCloud starts or ends a stall of the cloud, in which requests block for stallTime and
// get no response.
func (f *Fleet) StallCloud(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cloudStalled = on
}

// checkCloud returns cloud.ErrUnavailable during an outage and, after stallTime, during a
// stall.
func (f *Fleet) checkCloud() error {
	f.mu.Lock()
	stalled := f.cloudStalled
	f.mu.Unlock()
	if stalled {
		time.Sleep(stallTime)
		return cloud.ErrUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cloudDown {
		return cloud.ErrUnavailable
	}
	return nil
}

// Cloud returns the cloud that rents out the fleet's machines.
func (f *Fleet) Cloud() *Cloud { return &Cloud{f} }

// Cloud is a fake of the cloud's API. Its requests return cloud.ErrUnavailable during an
// outage or a stall.
type Cloud struct{ fleet *Fleet }

// Types returns the machine types.
func (c *Cloud) Types(context.Context) ([]wire.MachineType, error) {
	return c.fleet.Types, c.fleet.checkCloud()
}

// Rent rents machines and returns their names. A repeated request ID returns the machines of
// the first rental instead of renting more. If no machine can be added, Rent returns
// cloud.ErrNoCapacity.
func (c *Cloud) Rent(_ context.Context, req wire.RentRequest) ([]string, error) {
	f := c.fleet
	if err := f.checkCloud(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rentRequests[req.RequestID]++
	if f.holdRentals {
		f.heldRentals = append(f.heldRentals, req)
		return nil, cloud.ErrUnavailable
	}
	names := f.rentLocked(req)
	if len(names) == 0 {
		return nil, cloud.ErrNoCapacity
	}
	return names, nil
}

// rentLocked carries out a rental, or returns the machines of an earlier one with the same
// request ID.
func (f *Fleet) rentLocked(req wire.RentRequest) (names []string) {
	if names, ok := f.rented[req.RequestID]; ok {
		return names
	}
	for range req.Count {
		if len(f.workers) >= f.Capacity {
			break
		}
		for _, t := range f.Types {
			if t.Name == req.Type {
				names = append(names, f.addLocked(t, req.Zone, req.Spot, f.BootTime))
			}
		}
	}
	if len(names) > 0 {
		f.rented[req.RequestID] = names
	}
	return names
}

// Return returns machines to the cloud; it ignores machines that no longer exist.
func (c *Cloud) Return(_ context.Context, machines []string) error {
	f := c.fleet
	if err := f.checkCloud(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holdReturns {
		f.heldReturns = append(f.heldReturns, machines)
		return cloud.ErrUnavailable
	}
	f.returnLocked(machines)
	return nil
}

// returnLocked removes machines and adds those that existed to ReturnedMachines.
func (f *Fleet) returnLocked(machines []string) {
	for _, name := range machines {
		if f.removeLocked(name) {
			f.ReturnedMachines = append(f.ReturnedMachines, name)
		}
	}
}

// List returns the machines in no particular order.
func (c *Cloud) List(context.Context) ([]wire.Machine, error) {
	f := c.fleet
	if err := f.checkCloud(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var machines []wire.Machine
	for _, w := range f.workers {
		machines = append(machines, wire.Machine{ID: w.name, Address: w.name, Type: w.machineType.Name, Zone: w.zone, Spot: w.spot, State: wire.MachineRunning})
	}
	return machines, nil
}
