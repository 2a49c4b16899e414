// Package cloud provides a client of the cloud service that rents out machines, and a
// TypeCache that caches the cloud's machine types in the key-value store, so that they
// survive restarts.
package cloud
