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
	// bufferSize is that of a connection's read and write buffers, in bytes.
	bufferSize = 8 << 10
	// maxStreams bounds the requests that one peer has in flight.
	maxStreams        = 64
	connectionTimeout = 5 * time.Second
)

// reconnectBackoff makes a connection try again quickly after a failure: a
// restarted controller is back in seconds.
var reconnectBackoff = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second},
	MinConnectTimeout: time.Second,
}

// keepaliveParams detect a connection that hangs without an error, as a network
// partition may leave it.
var keepaliveParams = keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 2 * time.Second}

// Conn is a gRPC connection to a peer. It is a PeerClient and a state.Transport.
type Conn struct {
	conn   *grpc.ClientConn
	client peerpb.PeerClient
}

// Dial prepares a connection to the peer at addr, which is made when it is first
// used.
func Dial(addr string) (*Conn, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(reconnectBackoff),
		grpc.WithKeepaliveParams(keepaliveParams),
		grpc.WithReadBufferSize(bufferSize), grpc.WithWriteBufferSize(bufferSize),
		grpc.WithDisableServiceConfig(),
	)
	if err != nil {
		return nil, fmt.Errorf("dialling peer %s: %w", addr, err)
	}
	return &Conn{conn: conn, client: peerpb.NewPeerClient(conn)}, nil
}

// Heartbeat implements PeerClient.
func (c *Conn) Heartbeat(ctx context.Context, mine *peerpb.Status) (*peerpb.Status, error) {
	return c.client.Beat(ctx, mine)
}

// Do implements state.Transport: the peer sends the request to the store.
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

// Settle asks the peer what became of tasks that it may have placed.
func (c *Conn) Settle(ctx context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	return c.client.Settle(ctx, req)
}

// ReplicateCancellations implements PeerClient.
func (c *Conn) ReplicateCancellations(ctx context.Context, req *peerpb.TellRequest) (*peerpb.TellReply, error) {
	return c.client.Tell(ctx, req)
}

// PlacementHandler is the part of a member's scheduler that peers call: to place tasks on its
// machines and to learn what became of them.
type PlacementHandler interface {
	Place(req *peerpb.PlaceRequest) *peerpb.PlaceReply
	Settle(req *peerpb.SettleRequest) *peerpb.SettleReply
}

// Service is the gRPC server that answers peers.
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
func (s *Service) Beat(_ context.Context, theirs *peerpb.Status) (*peerpb.Status, error) {
	return s.Cluster.HandleHeartbeat(theirs), nil
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

// Serve answers peers on ln until ctx ends, and closes ln.
func (s *Service) Serve(ctx context.Context, ln net.Listener) error {
	server := grpc.NewServer(grpc.ReadBufferSize(bufferSize), grpc.WriteBufferSize(bufferSize),
		grpc.MaxConcurrentStreams(maxStreams), grpc.ConnectionTimeout(connectionTimeout))
	peerpb.RegisterPeerServer(server, s)
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	return server.Serve(ln)
}
