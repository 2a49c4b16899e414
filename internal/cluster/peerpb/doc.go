// Package peerpb holds the messages between controllers, generated from
// peer.proto.
package peerpb

//go:generate protoc --go_out=../../.. --go_opt=module=heronwick --go-grpc_out=../../.. --go-grpc_opt=module=heronwick -I ../../.. internal/cluster/peerpb/peer.proto
