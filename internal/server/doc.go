// Package server implements the HTTP interface of a controller: the job API for
// users, the heartbeat endpoint for workers, the endpoints for operators
// (dependency graphs, duties, metrics) and the readiness check.
//
// Request and response bodies are JSON; their types are declared in package wire. A
// request that fails now but may succeed later is answered with 503 and a Retry-After
// header.
package server
