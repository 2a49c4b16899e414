// Package httpcall sends single HTTP requests with JSON bodies, as the clients of the
// key-value store, the cloud and the workers do.
package httpcall
