// Package server is the HTTP interface of a controller: the users' API for
// jobs, the workers' heartbeats, the operators' endpoints (dependency graphs,
// duties, metrics) and the readiness check.
//
// Bodies are JSON and are declared in package wire. Whatever a handler cannot
// do now but may do later is refused with 503 and a Retry-After header.
package server
