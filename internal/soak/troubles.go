package soak

import (
	"math/rand/v2"
)

// trouble is a kind of fault. begin starts it and returns the function that ends it.
type trouble struct {
	name  string
	begin func(s *site, random *rand.Rand) (end func())
}

// troubles are all kinds of faults, in the order in which a seed draws from them.
var troubles = []trouble{
	{"kill-controller", killController},
	{"kill-in-series", killInSeries},
	{"kill-all", killAll},
	{"owners-change", changeOwners},
	{"owner-learns-late", changeOwnersLate},
	{"pause-controller", onController((*controller).setPaused)},
	{"cut-peers", onController((*controller).setPeersCut)},
	{"refuse-controller", refuseController},
	{"refuse-and-cut", refuseAndCut},
	{"workers-cut-off", cutWorkers},
	{"store-outage", func(s *site, _ *rand.Rand) func() { return toggle(s.store.SetOutage) }},
	{"store-slow", slowStore},
	{"store-slow-for-one", slowStoreForOne},
	{"job-watch-slow", slowJobWatch},
	{"answers-lost", loseAnswers},
	{"writes-late", delayWrites},
	{"writes-repeated", repeatWrites},
	{"cloud-outage", func(s *site, _ *rand.Rand) func() { return toggle(s.fleet.SetCloudOutage) }},
	{"rentals-late", func(s *site, _ *rand.Rand) func() { return toggle(s.fleet.HoldRentals) }},
	{"machines-cut", onMachines(func(s *site, m string, on bool) { s.fleet.Disconnect(m, on) })},
	{"machines-deaf", onMachines(func(s *site, m string, on bool) { s.fleet.DropInbound(m, on) })},
	{"machines-mute", onMachines(func(s *site, m string, on bool) { s.fleet.DropHeartbeats(m, on) })},
	{"machines-hang", onMachines(func(s *site, m string, on bool) { s.fleet.Pause(m, on) })},
	{"hang-and-cancel", hangAndCancel},
	{"commands-late", onMachines(func(s *site, m string, on bool) { s.fleet.HoldCommands(m, on) })},
	{"reports-late", onMachines(func(s *site, m string, on bool) { s.fleet.HoldHeartbeats(m, on) })},
	{"links-slow", slowLinks},
	{"commands-repeated", repeatCommands},
	{"restart-machines", restartMachines},
	{"machine-gone", endMachine},
}

// Names returns the names of all kinds of faults.
func Names() []string {
	names := make([]string, len(troubles))
	for i, t := range troubles {
		names[i] = t.name
	}
	return names
}

// noEnd is the end of a fault that is over as soon as it has begun.
func noEnd() {}

// toggle switches a fault on and returns the function that switches it off.
func toggle(set func(on bool)) (end func()) {
	set(true)
	return func() { set(false) }
}
