// Package failovertest is a failover test harness for single duties. Small controllers
// that hold leased, fenced duties are frozen, killed and resumed at chosen points of
// their actions; a fault-injecting proxy delays, duplicates and drops their requests;
// and a checker, which stands in for the machine service, checks every action it
// accepts against the store for stale or late writes. It runs in one process under a
// fake clock, or with real processes over loopback (cmd/failovertest).
package failovertest
