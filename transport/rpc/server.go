package rpc

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

const (
	// maxMessageBytes admits a whole compressed bundle and a snapshot of the registry in one message.
	maxMessageBytes = 64 << 20
	// keepaliveInterval finds connections whose peer is gone without a reset.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 5 * time.Second
	// minClientPing tolerates the clients' keepalive pings.
	minClientPing = 5 * time.Second
	// windowBytes lets one call's answer flow without waiting for window updates over a slow link.
	windowBytes = 1 << 20
	// workers reuses goroutines for calls; starting one per call costs stack growth.
	workers = 16
)

// Server serves the messages of one process.
type Server struct {
	server   *grpc.Server
	listener net.Listener
}

// NewServer prepares a server on an open listener. A nil transport means no TLS.
func NewServer(listener net.Listener, transport credentials.TransportCredentials) *Server {
	if transport == nil {
		transport = insecure.NewCredentials()
	}
	server := grpc.NewServer(
		grpc.Creds(transport),
		grpc.ForceServerCodecV2(codec{}),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.NumStreamWorkers(workers),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: minClientPing, PermitWithoutStream: true,
		}),
	)
	return &Server{server: server, listener: listener}
}

// ServeNode registers a node's handlers.
func (s *Server) ServeNode(handler nodeHandler) {
	s.server.RegisterService(&callDesc, handler)
}

// ServeMember registers a control member's handlers.
func (s *Server) ServeMember(handler interface {
	Follower
	Proposer
	Stepper
}) {
	s.server.RegisterService(&followDesc, handler)
	s.server.RegisterService(&controlDesc, handler)
	s.server.RegisterService(&stepDesc, handler)
}

// Serve accepts connections until the server stops.
func (s *Server) Serve() error { return translate(s.server.Serve(s.listener)) }

// Address is the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop closes all connections at once.
func (s *Server) Stop() { s.server.Stop() }

// GracefulStop refuses new streams and waits for open ones until the context ends.
func (s *Server) GracefulStop(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.server.GracefulStop()
	}()
	select {
	case <-done:
	case <-ctx.Done():
		s.server.Stop()
		<-done
	}
}
