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
	// minPingInterval tolerates the clients' keepalive pings.
	minPingInterval = 5 * time.Second
	// flowWindowBytes lets one call's answer flow without waiting for window updates over a slow link.
	flowWindowBytes = 1 << 20
	// streamWorkers reuses goroutines for calls; starting one per call costs stack growth.
	streamWorkers = 16
)

// Server serves the messages of one process.
type Server struct {
	server   *grpc.Server
	listener net.Listener
}

// NewServer prepares a server on an open listener. A nil transport means no TLS.
func NewServer(listener net.Listener, creds credentials.TransportCredentials) *Server {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	server := grpc.NewServer(
		grpc.Creds(creds),
		grpc.ForceServerCodecV2(codec{}),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.InitialWindowSize(flowWindowBytes),
		grpc.InitialConnWindowSize(flowWindowBytes),
		grpc.NumStreamWorkers(streamWorkers),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: minPingInterval, PermitWithoutStream: true,
		}),
	)
	return &Server{server: server, listener: listener}
}

// ServeNode registers a node's handlers.
func (s *Server) ServeNode(handler nodeHandler) {
	s.server.RegisterService(&nodeServiceDesc, handler)
}

// ServeMember registers a control member's handlers.
func (s *Server) ServeMember(handler interface {
	Follower
	Proposer
	StepReceiver
}) {
	s.server.RegisterService(&followServiceDesc, handler)
	s.server.RegisterService(&controlServiceDesc, handler)
	s.server.RegisterService(&raftServiceDesc, handler)
}

// Serve accepts connections until the server stops.
func (s *Server) Serve() error { return toTransportError(s.server.Serve(s.listener)) }

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
