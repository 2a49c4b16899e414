package wire

import "testing"

// The paths, field names and values of the protocol must not change, since users, workers
// and the services rely on them. Other tests may use the constants because this test
// checks their values.
func TestProtocolSpellings(t *testing.T) {
	for _, spelling := range []struct{ got, want string }{
		{PathTypes, "/flavors"},
		{PathMachines, "/rentals"},
		{PathReturn, "/rentals/return"},
		{NoCapacity, "no capacity"},
		{string(MachineBooting), "starting"},
		{string(MachineRunning), "running"},
		{string(MachineFailed), "failed"},
		{PathDAGs, "/chains"},
		{PathDuties, "/duties"},
		{PathHandOver, "/duties/handover"},
		{PathClear, "/duties/clear"},
		{PathKeys, "/keys"},
		{PathTxn, "/txn"},
		{PathLeases, "/leases"},
		{PathWatch, "/follow"},
		{SuffixRenew, "extend"},
		{NoSuchLease, "no such lease"},
		{PathJobs, "/submissions"},
		{PathReady, "/ready"},
		{SuffixCancel, "withdraw"},
		{string(KindArray), "array"},
		{string(KindService), "daemon"},
		{string(KindGang), "ensemble"},
		{string(PriorityProd), "prod"},
		{string(PriorityHigh), "urgent"},
		{string(PriorityNormal), "normal"},
		{string(PriorityLow), "idle"},
		{string(JobQueued), "queued"},
		{string(JobRunning), "running"},
		{string(JobDone), "done"},
		{string(JobCancelled), "aborted"},
		{PathHeartbeat, "/checkin"},
		{PathCommands, "/orders"},
		{PathStatus, "/show"},
		{string(TaskFetching), "fetching"},
		{string(TaskWaiting), "gathering"},
		{string(TaskRunning), "running"},
		{string(TaskSaving), "saving"},
		{string(TaskExited), "ended"},
		{string(ExitDone), "done"},
		{string(ExitStopped), "stopped"},
		{string(ExitError), "error"},
		{string(ExitNoCapacity), "no_room"},
		{string(ExitBusy), "busy"},
		{string(ExitUnknown), "unknown"},
		{string(ExitPeerLost), "peers"},
		{string(ExitGangIncomplete), "alone"},
		{string(OpStart), "launch"},
		{string(OpStop), "halt"},
		{string(OpForget), "forget"},
		{FieldTeam, "roost"},
		{FieldTasks, "feathers"},
		{FieldDependencies, "follows"},
	} {
		if spelling.got != spelling.want {
			t.Errorf("got %q, want %q", spelling.got, spelling.want)
		}
	}
}
