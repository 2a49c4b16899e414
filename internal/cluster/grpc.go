package cluster

import (
	"context"
	"fmt"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"heronwick/internal/cluster/peerpb"
	"heronwick/internal/state"
)

const (
	// bufferSize is the size of the read and the write buffer of a connection, in
	// bytes.
	bufferSize = 8 << 10
	// maxStreams is the maximum number of concurrent requests of one peer.
	maxStreams        = 64
	connectionTimeout = 5 * time.Second
)

// reconnectBackoff retries a failed connection quickly, because a restarted
// controller is available again within seconds.
var reconnectBackoff = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second},
	MinConnectTimeout: time.Second,
}

// keepaliveParams detect a dead connection that reports no error, as can happen
// during a network partition.
var keepaliveParams = keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 2 * time.Second}

// Conn is a gRPC connection to a peer. It implements PeerClient, and state.Transport
// by sending requests to the store through the peer.
type Conn struct {
	conn   *grpc.ClientConn
	client peerpb.PeerClient
}

// Dial returns a connection to the peer at addr. The connection is established on
// first use.
func Dial(addr string) (*Conn, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(reconnectBackoff),
		grpc.WithKeepaliveParams(keepaliveParams),
		grpc.WithReadBufferSize(bufferSize), grpc.WithWriteBufferSize(bufferSize),
		grpc.WithDisableServiceConfig(),
	)
	if err != nil {
		return nil, fmt.Errorf("connecting to peer %s: %w", addr, err)
	}
	return &Conn{conn: conn, client: peerpb.NewPeerClient(conn)}, nil
}

// Heartbeat implements PeerClient.
func (c *Conn) Heartbeat(ctx context.Context, ownStatus *peerpb.Status) (*peerpb.Status, error) {
	return c.client.Beat(ctx, ownStatus)
}

// Do implements state.Transport: the peer forwards the request to the store.
func (c *Conn) Do(ctx context.Context, method, target string, body []byte) (state.Response, error) {
	reply, err := c.client.State(ctx, &peerpb.StateRequest{Method: method, Target: target, Body: body})
	if err != nil {
		return state.Response{}, fmt.Errorf("through a peer: %s %s: %w", method, target, err)
	}
	return state.Response{Status: int(reply.Status), Body: reply.Body}, nil
}

// Place asks the peer to place tasks on its machines.
func (c *Conn) Place(ctx context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceReply, error) {
	return c.client.Place(ctx, req)
}

// Settle asks the peer for the state of task attempts that it may have placed.
func (c *Conn) Settle(ctx context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	return c.client.Settle(ctx, req)
}

// ReplicateCancellations implements PeerClient.
func (c *Conn) ReplicateCancellations(ctx context.Context, req *peerpb.TellRequest) (*peerpb.TellReply, error) {
	return c.client.Tell(ctx, req)
}

// PlacementHandler handles the requests of peers to place tasks on this member's
// machines and to report the state of these tasks.
type PlacementHandler interface {
	Place(req *peerpb.PlaceRequest) *peerpb.PlaceReply
	Settle(req *peerpb.SettleRequest) *peerpb.SettleReply
}

// Service implements the gRPC service that peers call.
type Service struct {
	peerpb.UnimplementedPeerServer
	Cluster          *Cluster
	Transport        *state.FailoverTransport
	PlacementHandler PlacementHandler
}

// Place implements peerpb.PeerServer.
func (s *Service) Place(_ context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceReply, error) {
	return s.PlacementHandler.Place(req), nil
}

// Settle implements peerpb.PeerServer.
func (s *Service) Settle(_ context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	return s.PlacementHandler.Settle(req), nil
}

// Beat implements peerpb.PeerServer.
func (s *Service) Beat(_ context.Context, peerStatus *peerpb.Status) (*peerpb.Status, error) {
	return s.Cluster.HandleHeartbeat(peerStatus), nil
}

// Tell implements peerpb.PeerServer.
func (s *Service) Tell(_ context.Context, req *peerpb.TellRequest) (*peerpb.TellReply, error) {
	return s.Cluster.HandleCancellations(req), nil
}

// State implements peerpb.PeerServer.
func (s *Service) State(ctx context.Context, req *peerpb.StateRequest) (*peerpb.StateReply, error) {
	response, err := s.Transport.DoDirect(ctx, req.Method, req.Target, req.Body)
	if err != nil {
		return nil, err
	}
	return &peerpb.StateReply{Status: uint32(response.Status), Body: response.Body}, nil
}

// Serve handles requests of peers on ln until ctx ends, and closes ln.
func (s *Service) Serve(ctx context.Context, ln net.Listener) error {
	server := grpc.NewServer(grpc.ReadBufferSize(bufferSize), grpc.WriteBufferSize(bufferSize),
		grpc.MaxConcurrentStreams(maxStreams), grpc.ConnectionTimeout(connectionTimeout))
	peerpb.RegisterPeerServer(server, s)
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	return server.Serve(ln)
}
