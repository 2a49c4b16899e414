// Package failovertest is a failover test harness for single duties (package duty).
//
// A Coordinator forces handovers between the Nodes of a group: small controllers that it
// freezes, kills and resumes at chosen points of their actions. Each Node reaches the store
// and the machine service through a Proxy, which delays, duplicates and drops requests. The
// machine service is a Checker, which compares every action that it accepts with the store.
// The harness runs in one process under a fake clock, or with real processes that communicate
// over loopback (cmd/failovertest).
package failovertest
