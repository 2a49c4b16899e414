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

// Conn is a gRPC connection to a peer.
type Conn struct {
	conn   *grpc.ClientConn
	client peerpb.PeerClient
}

// Dial prepares a connection to the peer at addr. It connects when used, and
// again quickly after a failure: a restarted controller is back in seconds.
func Dial(addr string) (*Conn, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: time.Second,
		}),
		// A cut may leave a connection hanging without an error.
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 2 * time.Second}),
		grpc.WithReadBufferSize(8<<10), grpc.WithWriteBufferSize(8<<10),
		grpc.WithDisableServiceConfig(),
	)
	if err != nil {
		return nil, fmt.Errorf("dialling peer %s: %w", addr, err)
	}
	return &Conn{conn: conn, client: peerpb.NewPeerClient(conn)}, nil
}

// Heartbeat implements PeerClient.
func (p *Conn) Heartbeat(ctx context.Context, mine *peerpb.Status) (*peerpb.Status, error) {
	return p.client.Beat(ctx, mine)
}

// Do implements state.Doer: the peer carries the request.
func (p *Conn) Do(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	reply, err := p.client.State(ctx, &peerpb.StateRequest{Method: method, Target: target, Body: body})
	if err != nil {
		return 0, nil, fmt.Errorf("through a peer: %w", err)
	}
	return int(reply.Status), reply.Body, nil
}

// Place asks the peer to take tasks.
func (p *Conn) Place(ctx context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceReply, error) {
	return p.client.Place(ctx, req)
}

// Settle asks the peer what became of tasks.
func (p *Conn) Settle(ctx context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	return p.client.Settle(ctx, req)
}

// ReplicateCancellations implements PeerClient.
func (p *Conn) ReplicateCancellations(ctx context.Context, req *peerpb.TellRequest) (*peerpb.TellReply, error) {
	return p.client.Tell(ctx, req)
}

// Host is the part of a member's scheduler that peers call: placing tasks on
// its machines and settling what became of them.
type Host interface {
	Place(req *peerpb.PlaceRequest) *peerpb.PlaceReply
	Settle(req *peerpb.SettleRequest) *peerpb.SettleReply
}

// Service answers peers.
type Service struct {
	peerpb.UnimplementedPeerServer
	Cluster *Cluster
	Route   *state.FailoverTransport
	Host    Host
}

// Place implements peerpb.PeerServer.
func (s *Service) Place(_ context.Context, req *peerpb.PlaceRequest) (*peerpb.PlaceReply, error) {
	return s.Host.Place(req), nil
}

// Settle implements peerpb.PeerServer.
func (s *Service) Settle(_ context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	return s.Host.Settle(req), nil
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
	status, body, err := s.Route.DoDirect(ctx, req.Method, req.Target, req.Body)
	if err != nil {
		return nil, err
	}
	return &peerpb.StateReply{Status: uint32(status), Body: body}, nil
}

// Serve answers peers on ln until ctx ends.
func (s *Service) Serve(ctx context.Context, ln net.Listener) error {
	server := grpc.NewServer(grpc.ReadBufferSize(8<<10), grpc.WriteBufferSize(8<<10),
		grpc.MaxConcurrentStreams(64), grpc.ConnectionTimeout(5*time.Second))
	peerpb.RegisterPeerServer(server, s)
	stop := context.AfterFunc(ctx, server.Stop)
	defer stop()
	return server.Serve(ln)
}
