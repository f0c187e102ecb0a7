package rpc

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"sapphiregate.example/sapphiregate/protocol"
)

// Dialer opens a connection to an address that consists of an IP address and a port.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Limits of connecting. The delay between attempts to reconnect grows from reconnectDelay to maxReconnectDelay. Both
// are short because peers are few hops away and the callers of this package spread their own retries.
const (
	reconnectDelay    = 100 * time.Millisecond
	maxReconnectDelay = time.Second
	connectTimeout    = 2 * time.Second
)

// Pool opens and keeps one client connection for each peer address. It is safe for concurrent use.
type Pool struct {
	dialer Dialer
	creds  credentials.TransportCredentials

	mu     sync.Mutex
	conns  map[string]*grpc.ClientConn
	closed bool
}

// NewPool returns an empty pool. Without credentials, connections use no TLS; without a dialer, they use TCP.
func NewPool(dialer Dialer, creds credentials.TransportCredentials) *Pool {
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	if dialer == nil {
		dialer = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	return &Pool{dialer: dialer, creds: creds, conns: make(map[string]*grpc.ClientConn)}
}

// conn returns the connection to an address and creates it if there is none. grpc-go dials at the first use.
func (p *Pool) conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.Wrap(ErrCanceled, "pool is closed")
	}
	if conn, ok := p.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(p.creds),
		grpc.WithContextDialer(p.dialer),
		grpc.WithDefaultCallOptions(
			grpc.ForceCodecV2(codec{}),
			grpc.MaxCallRecvMsgSize(maxMessageBytes),
			grpc.MaxCallSendMsgSize(maxMessageBytes),
		),
		grpc.WithInitialWindowSize(flowWindowBytes),
		grpc.WithInitialConnWindowSize(flowWindowBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: reconnectDelay, Multiplier: 2, Jitter: 0.5, MaxDelay: maxReconnectDelay,
			},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDisableServiceConfig(),
	)
	if err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "%s: %v", address, err)
	}
	p.conns[address] = conn
	return conn, nil
}

// Forget closes the connection to an address that is no longer used.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	conn := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	conns := p.conns
	p.conns = make(map[string]*grpc.ClientConn)
	p.closed = true
	p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

var (
	followStream = grpc.StreamDesc{StreamName: "Follow", ServerStreams: true, ClientStreams: true}
	callStream   = grpc.StreamDesc{StreamName: "Call", ServerStreams: true, ClientStreams: true}
	stepStream   = grpc.StreamDesc{StreamName: "Step", ClientStreams: true}
)

// openStream opens a stream of the given method. The stream ends with the context.
func openStream[Req, Res any](
	ctx context.Context, p *Pool, address string, desc *grpc.StreamDesc, method string,
) (*grpc.GenericClientStream[Req, Res], error) {
	conn, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	stream, err := conn.NewStream(ctx, desc, method)
	if err != nil {
		return nil, errors.Wrapf(toTransportError(err), "open stream to %s", address)
	}
	return &grpc.GenericClientStream[Req, Res]{ClientStream: stream}, nil
}

// Follow opens a Follow stream, over which the distribution tree exchanges its messages. The stream ends with the
// context.
func (p *Pool) Follow(ctx context.Context, address string) (FollowClientStream, error) {
	return openStream[protocol.FollowFrame, protocol.FollowFrame](ctx, p, address, &followStream, methodFollow)
}

// Call opens a Call stream, which carries one call to another node. An error means that nothing was sent. The stream
// ends with the context.
func (p *Pool) Call(ctx context.Context, address string) (CallClientStream, error) {
	return openStream[protocol.CallFrame, protocol.ReplyFrame](ctx, p, address, &callStream, methodCall)
}

// Ping checks whether the node at an address responds.
func (p *Pool) Ping(ctx context.Context, address string) (*protocol.PingReply, error) {
	return invoke[protocol.PingReply](ctx, p, address, methodPing, &protocol.PingRequest{})
}

// Step opens a Step stream, which carries messages of the replicated logs to a control member. The stream ends with the
// context.
func (p *Pool) Step(ctx context.Context, address string) (StepClientStream, error) {
	return openStream[protocol.StepFrame, protocol.StepAck](ctx, p, address, &stepStream, methodStep)
}

// Propose sends a proposal to a control member and waits for the reply. After ErrUnreachable, ErrTimeout or ErrCanceled
// the proposed command may still be committed.
func (p *Pool) Propose(
	ctx context.Context, address string, request *protocol.ProposeRequest,
) (*protocol.ProposeReply, error) {
	return invoke[protocol.ProposeReply](ctx, p, address, methodPropose, request)
}

// Identify asks a control member for its identity and for the groups that it belongs to.
func (p *Pool) Identify(
	ctx context.Context, address string, request *protocol.IdentifyRequest,
) (*protocol.IdentifyReply, error) {
	return invoke[protocol.IdentifyReply](ctx, p, address, methodIdentify, request)
}

// invoke makes a unary call.
func invoke[Reply any](ctx context.Context, p *Pool, address, method string, request any) (*Reply, error) {
	conn, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	reply := new(Reply)
	if err := conn.Invoke(ctx, method, request, reply); err != nil {
		return nil, errors.Wrapf(toTransportError(err), "%s at %s", method, address)
	}
	return reply, nil
}
