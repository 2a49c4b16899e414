// Package soak is a randomized fault test of whole controllers. It runs the built program in
// several processes, which reach stand-ins of the store, the cloud and the workers (package
// standin) and each other over loopback. Meanwhile users submit, repeat, cancel and query jobs
// at all controllers, and overlapping faults are injected at random moments. A
// standin.Checker, which sees only what users and machines see, verifies the rules.
//
// The seed of a run determines its faults and jobs and their times. The processes run in real
// time, so two runs with one seed are alike but not equal.
package soak
