package standin

import (
	"context"
	"maps"
	"slices"
	"time"

	"heronwick/internal/cloud"
	"heronwick/wire"
)

// SetCloud takes the cloud down or up.
func (f *Fleet) SetCloud(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// HoldRentals holds rentals back, without an answer; ending that carries them
// out late: machines that nobody expects.
func (f *Fleet) HoldRentals(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holding = on
	if !on {
		for _, req := range f.rentals {
			f.rentLocked(req)
		}
		f.rentals = nil
	}
}

// HoldReturns holds returns back, without an answer, until ReleaseReturns; or lets later
// ones pass again.
func (f *Fleet) HoldReturns(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keeping = on
}

// HeldReturns lists the machines whose returns are held back.
func (f *Fleet) HeldReturns() (machines []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Concat(f.returns...)
}

// ReleaseReturns carries out, late, the returns that were held back.
func (f *Fleet) ReleaseReturns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, machines := range f.returns {
		f.returnLocked(machines)
	}
	f.returns = nil
}

// RentRequests tells how often each rental was asked for, by its request's name.
func (f *Fleet) RentRequests() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.rentRequests)
}

// stallFor is how long the cloud keeps a caller waiting while it stalls, whatever
// the caller's context: about as long as a real client's timeout.
const stallFor = 15 * time.Second

// StallCloud has the cloud keep its callers waiting, without an answer in the
// end, or ends that.
func (f *Fleet) StallCloud(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stalled = on
}

func (f *Fleet) cloudDown() error {
	f.mu.Lock()
	stalled := f.stalled
	f.mu.Unlock()
	if stalled {
		time.Sleep(stallFor)
		return cloud.ErrUnavailable
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return cloud.ErrUnavailable
	}
	return nil
}

// Cloud returns the fleet's cloud.
func (f *Fleet) Cloud() *Cloud { return &Cloud{f} }

// Cloud stands in for the cloud's interface.
type Cloud struct{ fleet *Fleet }

// Types lists the machine types.
func (c *Cloud) Types(context.Context) ([]wire.MachineType, error) {
	return c.fleet.Types, c.fleet.cloudDown()
}

// Rent rents machines.
func (c *Cloud) Rent(_ context.Context, req wire.RentRequest) ([]string, error) {
	f := c.fleet
	if err := f.cloudDown(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rentRequests[req.Request]++
	if f.holding {
		f.rentals = append(f.rentals, req)
		return nil, cloud.ErrUnavailable
	}
	names := f.rentLocked(req)
	if len(names) == 0 {
		return nil, cloud.ErrNoCapacity
	}
	return names, nil
}

func (f *Fleet) rentLocked(req wire.RentRequest) (names []string) {
	if names, ok := f.answered[req.Request]; ok {
		return names
	}
	for range req.Count {
		if len(f.workers) >= f.Capacity {
			break
		}
		for _, t := range f.Types {
			if t.Name == req.Type {
				names = append(names, f.addLocked(t, req.Zone, req.Spot, f.Boot))
			}
		}
	}
	if len(names) > 0 {
		f.answered[req.Request] = names
	}
	return names
}

// Return gives machines back.
func (c *Cloud) Return(_ context.Context, machines []string) error {
	f := c.fleet
	if err := f.cloudDown(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.keeping {
		f.returns = append(f.returns, machines)
		return cloud.ErrUnavailable
	}
	f.returnLocked(machines)
	return nil
}

func (f *Fleet) returnLocked(machines []string) {
	for _, name := range machines {
		if f.removeLocked(name) {
			f.Returned = append(f.Returned, name)
		}
	}
}

// List lists the machines.
func (c *Cloud) List(context.Context) ([]wire.Machine, error) {
	f := c.fleet
	if err := f.cloudDown(); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []wire.Machine
	for _, w := range f.workers {
		all = append(all, wire.Machine{ID: w.name, Address: w.name, Type: w.typ.Name, Zone: w.zone, Spot: w.spot, State: wire.MachineRunning})
	}
	return all, nil
}
