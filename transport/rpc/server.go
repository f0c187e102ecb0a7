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
	// maxMessageBytes is large enough for a whole compressed bundle or a snapshot of the registry in one message.
	maxMessageBytes = 64 << 20
	// keepaliveInterval is the time without traffic after which a connection is probed. Probes detect a peer that
	// disappeared without a reset.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 5 * time.Second
	// minPingInterval is the shortest interval of keepalive pings that a server accepts. It must be below the clients'
	// keepaliveInterval.
	minPingInterval = 5 * time.Second
	// flowWindowBytes is the flow control window of a stream and of a connection. It is large enough that one response
	// does not wait for window updates over a slow link.
	flowWindowBytes = 1 << 20
	// streamWorkers is the number of reused goroutines that handle streams; a new goroutine per call must grow its stack
	// each time.
	streamWorkers = 16
)

// Server is the gRPC server of one process.
type Server struct {
	server   *grpc.Server
	listener net.Listener
}

// NewServer returns a server for an open listener. Without credentials, connections use no TLS. Register handlers
// before Serve.
func NewServer(listener net.Listener, creds credentials.TransportCredentials) *Server {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	server := grpc.NewServer(
		grpc.Creds(creds),
		grpc.ForceServerCodecV2(codec{}),
		grpc.UnaryInterceptor(recoverUnary),
		grpc.StreamInterceptor(recoverStream),
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

// ServeNode registers the handlers of a node.
func (s *Server) ServeNode(handler nodeHandler) {
	s.server.RegisterService(&nodeServiceDesc, handler)
}

// ServeQuotas registers the handler of a control member that lends tokens of quotas.
func (s *Server) ServeQuotas(handler QuotaLender) {
	s.server.RegisterService(&quotaServiceDesc, handler)
}

// ServeMember registers the handlers of a control member.
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

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Stop closes all connections immediately.
func (s *Server) Stop() { s.server.Stop() }

// GracefulStop refuses new streams and waits for open ones. When the context ends, it closes the remaining connections and
// does not wait for handlers, which may outlast their streams.
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
	}
}
