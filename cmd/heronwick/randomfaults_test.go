package main

import (
	"slices"
	"time"
)

// fault is one kind of fault. inject starts it and returns the function that ends it.
type fault struct {
	name   string
	inject func() (heal func())
}

// noHeal is the heal function of an instantFault.
func noHeal() {}

// instantFault returns a fault that is over as soon as it has been injected.
func instantFault(name string, inject func()) fault {
	return fault{name, func() func() {
		inject()
		return noHeal
	}}
}

// toggledFault returns a fault that lasts until it is switched off.
func toggledFault(name string, set func(on bool)) fault {
	return fault{name, func() func() {
		set(true)
		return func() { set(false) }
	}}
}

// onRandomMachine returns a fault of one random machine.
func (r *randomRun) onRandomMachine(name string, set func(machine string, on bool)) fault {
	return fault{name, func() func() {
		machine := r.randomMachine()
		set(machine, true)
		return func() { set(machine, false) }
	}}
}

// onRandomMachines returns a fault of up to three random machines.
func (r *randomRun) onRandomMachines(name string, set func(machine string, on bool)) fault {
	setAll := func(machines []string, on bool) {
		for _, machine := range machines {
			set(machine, on)
		}
	}
	return fault{name, func() func() {
		machines := []string{r.randomMachine(), r.randomMachine(), r.randomMachine()}
		setAll(machines, true)
		return func() { setAll(machines, false) }
	}}
}

// onRandomNode returns a fault of one random node.
func (r *randomRun) onRandomNode(name string, set func(i int, on bool)) fault {
	return fault{name, func() func() {
		i := r.randomNode()
		set(i, true)
		return func() { set(i, false) }
	}}
}

// faults returns all faults that a run chooses from at random. Their order determines
// which faults a seed yields, so new ones must be added at the end.
func (r *randomRun) faults() []fault {
	return slices.Concat(
		r.controllerFaults(),
		r.machineFaults(),
		r.networkFaults(),
		r.storeFaults(),
		r.replayFaults(),
		r.cloudFaults(),
		r.userFaults(),
		[]fault{r.onRandomNode("short of CPU time", func(i int, on bool) { r.nodes[i].overloaded.Store(on) })},
	)
}

func (r *randomRun) controllerFaults() []fault {
	return []fault{
		r.onRandomNode("crash", func(i int, on bool) {
			if on {
				r.crash(i)
			} else if r.nodes[i].current.Load() == nil {
				r.start(i)
			}
		}),
		instantFault("quick restart", func() {
			r.restart(r.randomNode(), r.randomDuration(300*time.Millisecond))
		}),
		instantFault("repeated leader changes", r.changeLeaders),
		instantFault("all crash, then start one by one", r.restartAllInTurn),
	}
}

// changeLeaders restarts the current leader four times.
func (r *randomRun) changeLeaders() {
	for range 4 {
		for i, n := range r.nodes {
			if n.leads() {
				r.restart(i, 50*time.Millisecond)
				break
			}
		}
		time.Sleep(500*time.Millisecond + r.randomDuration(4*time.Second))
	}
}

// restartAllInTurn crashes all controllers and starts them one after the other, sometimes
// only after longer than a lease.
func (r *randomRun) restartAllInTurn() {
	r.crashAll()
	time.Sleep(time.Duration(r.random.IntN(3)) * 7 * time.Second)
	for i := range r.nodes {
		time.Sleep(r.randomDuration(1500 * time.Millisecond))
		r.start(i)
	}
}

func (r *randomRun) machineFaults() []fault {
	return []fault{
		r.onRandomMachines("machines disconnected", r.fleet.Disconnect),
		r.onRandomMachine("commands held", r.fleet.HoldCommands),
		r.onRandomMachine("commands dropped", r.fleet.DropInbound),
		r.onRandomMachines("heartbeats dropped", r.fleet.DropHeartbeats),
		r.onRandomMachines("workers paused", r.fleet.Pause),
		r.onRandomMachine("heartbeats held", r.fleet.HoldHeartbeats),
		r.onRandomMachines("slow links", func(machine string, on bool) {
			delay := time.Duration(0)
			if on {
				delay = 100*time.Millisecond + r.randomDuration(2400*time.Millisecond)
			}
			r.fleet.DelayMessages(machine, delay)
		}),
		instantFault("machine restart", func() { r.fleet.Restart(r.randomMachine()) }),
	}
}

func (r *randomRun) networkFaults() []fault {
	return []fault{
		r.onRandomNode("rejected by the store", r.setStoreRejected),
		r.onRandomNode("partitioned from the other controllers", r.setPartitioned),
		r.onRandomNode("partitioned from the workers", func(i int, on bool) { r.fleet.Isolate(r.nodes[i].name, on) }),
		r.onRandomNode("reaches only its workers", r.setIsolated),
		{"zone partitioned together with a controller", func() func() {
			i := r.randomNode()
			r.fleet.Partition("y", r.nodes[i].name)
			r.setIsolated(i, true)
			return func() {
				r.fleet.Partition("", "")
				r.setIsolated(i, false)
			}
		}},
	}
}

func (r *randomRun) storeFaults() []fault {
	return []fault{
		toggledFault("store outage", r.state.SetOutage),
		{"store rejects one controller, jobs are cancelled, store outage", func() func() {
			i := r.randomNode()
			r.setStoreRejected(i, true)
			time.Sleep(r.randomDuration(2500 * time.Millisecond))
			r.cancelNewest()
			r.state.SetOutage(true)
			time.Sleep(30 * time.Second)
			r.state.SetOutage(false)
			return func() { r.setStoreRejected(i, false) }
		}},
		{"store responses delayed", func() func() {
			r.state.DelayResponses(100*time.Millisecond + r.randomDuration(900*time.Millisecond))
			return func() { r.state.DelayResponses(0) }
		}},
		instantFault("store responses lost", func() { r.state.DropResponses(1 + r.random.IntN(5)) }),
		{"transactions delayed", func() func() {
			r.state.HoldTransactions(1 + r.random.IntN(3))
			return func() {
				r.state.HoldTransactions(0)
				r.state.ReleaseTransactions()
			}
		}},
	}
}

func (r *randomRun) replayFaults() []fault {
	return []fault{
		instantFault("transactions replayed", r.state.ReplayTransactions),
		instantFault("calls between controllers replayed", func() { r.nodes[r.randomNode()].replayCalls() }),
		instantFault("heartbeats replayed", func() {
			for range 30 {
				if heartbeat := r.randomHeartbeat(r.random); heartbeat != nil {
					r.sendHeartbeat(r.randomNode(), heartbeat)
				}
			}
		}),
	}
}

func (r *randomRun) cloudFaults() []fault {
	return []fault{
		toggledFault("rentals held", r.fleet.HoldRentals),
		toggledFault("returns held", func(on bool) {
			r.fleet.HoldReturns(on)
			if !on {
				r.fleet.ReleaseReturns()
			}
		}),
		toggledFault("cloud down", r.fleet.SetCloudOutage),
		toggledFault("cloud requests stalled", r.fleet.StallCloud),
	}
}

// userFaults returns faults that consist of user requests, some at critical moments.
func (r *randomRun) userFaults() []fault {
	return []fault{
		instantFault("jobs cancelled while workers are paused", func() {
			r.cancelNewest()
			machines := r.fleet.Machines()
			machines = machines[:min(3, len(machines))]
			for _, machine := range machines {
				r.fleet.Pause(machine, true)
			}
			time.Sleep(time.Duration(r.random.IntN(11)) * time.Second)
			for _, machine := range machines {
				r.fleet.Pause(machine, false)
			}
		}),
		toggledFault("jobs cancelled when a task ends", r.cancelAtTaskEnd.Store),
		instantFault("unusual requests", r.sendUnusualRequests),
	}
}
