// Package httpcall sends single HTTP requests with JSON bodies. The clients of the
// key-value store, of the cloud and of the workers use it.
package httpcall
