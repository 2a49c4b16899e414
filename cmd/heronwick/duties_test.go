package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"heronwick/wire"
)

// rentDuty is the ID of the duty to rent machines.
const rentDuty = "rent/fleet"

// enableDuties is a prepare function for withCluster that enables single duties.
func enableDuties(tc *testCluster) { tc.dutiesEnabled = true }

// dutyReport returns the duty report of a controller.
func (tc *testCluster) dutyReport(i int) (duties wire.Duties) {
	resp := tc.call(i, "GET", wire.PathDuties, nil)
	if err := json.Unmarshal(resp.body, &duties); err != nil {
		tc.t.Fatalf("duty report: got %v, want JSON: %v", resp, err)
	}
	return duties
}

// duty returns a duty from the report of a controller, or the zero value if the report
// does not contain it.
func (tc *testCluster) duty(i int, id string) wire.Duty {
	for _, duty := range tc.dutyReport(i).Duties {
		if duty.ID == id {
			return duty
		}
	}
	return wire.Duty{}
}

// expectNewHolder expects controller i to report another holder of a duty than before,
// with a higher fencing token.
func (tc *testCluster) expectNewHolder(i int, before wire.Duty) {
	tc.t.Helper()
	if after := tc.duty(i, before.ID); after.Holder == "" || after.Holder == before.Holder || after.Token <= before.Token {
		tc.t.Errorf("duty %s: got %+v, want another holder and a higher token than %+v", before.ID, after, before)
	}
}

// awaitHeldReturns waits until the cloud holds back return requests and returns their
// machines, or none after the timeout.
func (tc *testCluster) awaitHeldReturns(timeout time.Duration) (machines []string) {
	for end := time.Now().Add(timeout); len(machines) == 0 && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		machines = tc.fleet.HeldReturns()
	}
	return machines
}

// tasksOn returns the number of tasks that are running on a machine.
func (tc *testCluster) tasksOn(machine string) (count int) {
	for _, on := range tc.fleet.Checker.Running() {
		if on == machine {
			count++
		}
	}
	return count
}

// Guards against a return request that the cloud executes late, after the machine's owner
// has failed and the machine is in use again. With duties, the owner has recorded a return
// intent, so the next owner places nothing on the machine and returns it. Without duties,
// the next owner uses the machine and loses the tasks on it.
func TestDelayedMachineReturnAfterFailover(t *testing.T) {
	for _, dutiesEnabled := range []bool{true, false} {
		t.Run(fmt.Sprintf("duties: %v", dutiesEnabled), func(t *testing.T) {
			withCluster(t, 4, func(tc *testCluster) {
				tc.dutiesEnabled = dutiesEnabled
				tasksRunUntilStopped(tc)
			}, func(tc *testCluster) {
				machine, owner := tc.holdReturnOfBusyMachine()
				tc.crash(owner)
				tc.fleet.HoldReturns(false)
				tc.fleet.Disconnect(machine, false) // before the worker's lease has expired
				time.Sleep(8 * time.Second)
				for job := 2; job < 6; job++ {
					tc.expectAccepted((owner+1)%3, job, service(2))
				}
				time.Sleep(20 * time.Second)
				lost := tc.tasksOn(machine)
				tc.fleet.ReleaseReturns()
				if dutiesEnabled && (lost > 0 || slices.Contains(tc.fleet.Machines(), machine)) {
					t.Errorf("got %d tasks on %s before its late return, want none and the machine returned earlier", lost, machine)
				}
				if !dutiesEnabled && lost == 0 {
					t.Error("got no task lost without duties, want some so that the test is meaningful")
				}
				time.Sleep(30 * time.Second)
				tc.expectRunning(9)
				if open := tc.dutyReport((owner + 1) % 3).Returns; len(open) > 0 {
					t.Errorf("got open return intents %+v, want none", open)
				}
			})
		})
	}
}

// holdReturnOfBusyMachine starts a service with one replica, disconnects the replica's
// machine and waits until the owner of the machine requests its return, which the cloud
// holds back.
func (tc *testCluster) holdReturnOfBusyMachine() (machine string, owner int) {
	tc.t.Helper()
	tc.expectAccepted(0, 1, service(1))
	time.Sleep(5 * time.Second)
	for _, on := range tc.fleet.Checker.Running() {
		machine = on
	}
	tc.fleet.HoldReturns(true)
	tc.fleet.Disconnect(machine, true)
	if held := tc.awaitHeldReturns(10 * time.Second); !slices.Contains(held, machine) {
		tc.t.Fatalf("got held returns of %v, want them to include %s", held, machine)
	}
	for i, n := range tc.nodes {
		if target, _ := n.current.Load().members.HeartbeatTarget(machine); target == n.name {
			owner = i
		}
	}
	return machine, owner
}

// Guards against a machine that is never returned because it never came up, so it has no
// worker, record or owner, and because the controller that recorded its return intent has
// failed. The next leader must return it.
func TestNextLeaderReturnsMachineWithoutWorker(t *testing.T) {
	withCluster(t, 1, func(tc *testCluster) {
		enableDuties(tc)
		tc.fleet.BootTime, tc.fleet.Capacity = time.Hour, 3
	}, func(tc *testCluster) {
		tc.expectAccepted(0, 1, service(8))
		time.Sleep(2 * time.Second)
		tc.fleet.HoldReturns(true)
		held := tc.awaitHeldReturns(time.Minute)
		if len(held) == 0 {
			t.Fatal("got no return request for a machine that never came up, want one")
		}
		tc.crash(tc.leader())
		tc.fleet.HoldReturns(false)
		time.Sleep(15 * time.Second)
		for _, machine := range held {
			if slices.Contains(tc.fleet.Machines(), machine) {
				t.Errorf("got %s still rented, want it returned", machine)
			}
		}
	})
}

// Guards against machines that are rented twice for the same tasks because a rent request
// is delayed and its sender fails. With duties, the next leader repeats the request with
// the same ID and rents nothing else before it has a response.
func TestNextLeaderRepeatsRentRequest(t *testing.T) {
	withCluster(t, 1, func(tc *testCluster) {
		enableDuties(tc)
		tasksRunUntilStopped(tc)
		tc.fleet.Capacity = 12
	}, func(tc *testCluster) {
		tc.fleet.HoldRentals(true)
		for job := range 3 {
			tc.expectAccepted(job, job, service(4))
		}
		time.Sleep(4 * time.Second)
		before := tc.fleet.RentRequestCounts()
		leader := tc.leader()
		if len(before) == 0 {
			t.Fatal("got no rent request, want some")
		}
		tc.crash(leader)
		time.Sleep(8 * time.Second)
		for name, count := range before {
			if tc.fleet.RentRequestCounts()[name] == count {
				t.Errorf("rent request %s: got it %d times as before the failover, want it repeated", name, count)
			}
		}
		if after := tc.fleet.RentRequestCounts(); len(after) != len(before) {
			t.Errorf("got rent requests %v, want no new ones after %v", after, before)
		}
		tc.fleet.HoldRentals(false)
		time.Sleep(60 * time.Second)
		tc.expectRunning(12)
		if open := tc.dutyReport((leader + 1) % 3).Rentals; len(open) > 0 {
			t.Errorf("got open rental intents %+v, want none", open)
		}
	})
}

// Guards against duties that are recorded while a controller still runs the old version,
// which does not know them. Once all controllers have the new version, duties must be
// active on all of them.
func TestDutiesEnabledAfterRollingUpgrade(t *testing.T) {
	const allDuties = 9
	withCluster(t, 2, func(tc *testCluster) {
		enableDuties(tc)
		tc.nodes[0].oldVersion.Store(true)
	}, func(tc *testCluster) {
		time.Sleep(10 * time.Second)
		if report := tc.dutyReport(1); report.Active || len(report.Duties) > 0 {
			t.Errorf("got duties %+v while a controller runs the old version, want none", report)
		}
		tc.crash(0)
		tc.nodes[0].oldVersion.Store(false)
		tc.start(0)
		time.Sleep(15 * time.Second)
		for i, n := range tc.nodes {
			if report := tc.dutyReport(i); !report.Active || len(report.Duties) != allDuties {
				t.Errorf("%s: got active %v with %d duties, want it active with %d", n.name, report.Active, len(report.Duties), allDuties)
			}
		}
	})
}

// Guards against an operator's handover request that has no effect, or that is accepted for
// an unknown duty or by a controller that does not hold the duty.
func TestDutyHandoverOnRequest(t *testing.T) {
	withCluster(t, 2, enableDuties, func(tc *testCluster) {
		time.Sleep(5 * time.Second)
		leader := tc.leader()
		other := (leader + 1) % 3
		before := tc.duty(other, rentDuty)
		if want := tc.nodes[leader].name; before.Holder != want {
			t.Fatalf("duty %s: got holder %q, want %q", rentDuty, before.Holder, want)
		}
		for _, request := range []struct {
			node   int
			duty   string
			status int
		}{
			{leader, "dance/fleet", 404},
			{other, rentDuty, 409},
			{leader, rentDuty, 200},
		} {
			tc.expect(request.node, "POST", wire.PathHandOver+"?duty="+request.duty, nil, request.status, "")
		}
		time.Sleep(3 * time.Second)
		tc.expectNewHolder(other, before)
	})
}

// Guards against a graceful shutdown after which duties have no holder until their leases
// expire: the controller must hand them over within a second.
func TestShutdownHandsDutiesOver(t *testing.T) {
	withCluster(t, 2, enableDuties, func(tc *testCluster) {
		time.Sleep(5 * time.Second)
		leader := tc.leader()
		other := (leader + 1) % 3
		before := tc.duty(other, rentDuty)
		tc.nodes[leader].current.Load().resign(tc.ctx)
		tc.crash(leader)
		time.Sleep(time.Second)
		tc.expectNewHolder(other, before)
	})
}
