// Package main plays small deployments for the cases of the review: it starts the
// controllers as processes with the command of the deploy file, and serves stand-ins
// of the state service, the cloud and the workers on loopback addresses. It records
// what was sent, answered and run, and checks one rule of the protocol.
package main
