// Package cloud is the client of the cloud service that rents machines, and a
// TypeCache of its machine types that survives restarts in the key-value store.
package cloud
