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

	"sapphiregate.example/sapphiregate/coordination/quota"
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
	// lingerTime is how long the connection of an ended stream stays open, so that the frames that were sent last leave.
	lingerTime = 200 * time.Millisecond
	// retireTime is how long a connection stays open that no further call uses. It exceeds the time after which keepalive
	// probes end a connection that has gone silent.
	retireTime = 2 * (keepaliveInterval + keepaliveTimeout)
)

// Pool opens and keeps one client connection for each peer address. Streams that stay open, those of Follow and Step,
// have a connection of their own each: an open connection can go silent without a reset, and a stream that is opened
// again after that must not use it. A Pool is safe for concurrent use.
type Pool struct {
	dialer Dialer
	creds  credentials.TransportCredentials

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
	// ending holds the connections of streams and those that are retired.
	ending map[*grpc.ClientConn]bool
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
	return &Pool{
		dialer: dialer, creds: creds, conns: make(map[string]*grpc.ClientConn), ending: make(map[*grpc.ClientConn]bool),
	}
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
	conn, err := p.newConn(address)
	if err == nil {
		p.conns[address] = conn
	}
	return conn, err
}

func (p *Pool) newConn(address string) (*grpc.ClientConn, error) {
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
	return conn, nil
}

// streamConn returns a new connection, which is closed after ctx has ended.
func (p *Pool) streamConn(ctx context.Context, address string) (*grpc.ClientConn, error) {
	conn, err := p.newConn(address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = conn.Close()
		return nil, errors.Wrap(ErrCanceled, "pool is closed")
	}
	p.ending[conn] = true
	context.AfterFunc(ctx, func() { p.closeAfter(lingerTime, conn) })
	return conn, nil
}

// retire lets further calls to an address use another connection than the given one. Calls that use it may go on.
func (p *Pool) retire(address string, conn *grpc.ClientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] != conn {
		return
	}
	delete(p.conns, address)
	p.ending[conn] = true
	p.closeAfter(retireTime, conn)
}

// closeAfter closes an ending connection after a time, unless the pool is closed before.
func (p *Pool) closeAfter(delay time.Duration, conn *grpc.ClientConn) {
	time.AfterFunc(delay, func() {
		p.mu.Lock()
		delete(p.ending, conn)
		p.mu.Unlock()
		_ = conn.Close()
	})
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

// Detached is a connection that no further call uses. Calls that were made on it go on until it is closed.
type Detached struct {
	pool *Pool
	conn *grpc.ClientConn
}

// Detach lets further calls to an address use a new connection and returns the present one; false if there is none.
func (p *Pool) Detach(address string) (*Detached, bool) {
	p.mu.Lock()
	conn := p.conns[address]
	p.mu.Unlock()
	if conn == nil {
		return nil, false
	}
	p.retire(address, conn)
	return &Detached{pool: p, conn: conn}, true
}

// Ping sends a probe on the connection. Its errors are those of Pool.Ping.
func (d *Detached) Ping(ctx context.Context) (*protocol.PingReply, error) {
	return invokeOn[protocol.PingReply](ctx, d.conn, d.conn.Target(), methodPing, &protocol.PingRequest{})
}

// Close closes the connection. The calls on it fail.
func (d *Detached) Close() { d.pool.closeAfter(0, d.conn) }

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	conns, ending := p.conns, p.ending
	p.conns, p.ending = make(map[string]*grpc.ClientConn), make(map[*grpc.ClientConn]bool)
	p.closed = true
	p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
	for conn := range ending {
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
	ctx context.Context, conn *grpc.ClientConn, address string, desc *grpc.StreamDesc, method string,
) (*grpc.GenericClientStream[Req, Res], error) {
	stream, err := conn.NewStream(ctx, desc, method)
	if err != nil {
		return nil, errors.Wrapf(toTransportError(err), "open stream to %s", address)
	}
	return &grpc.GenericClientStream[Req, Res]{ClientStream: stream}, nil
}

// Follow opens a Follow stream, over which the distribution tree exchanges its messages, on a new connection. Both end
// with the context, which the caller must end.
func (p *Pool) Follow(ctx context.Context, address string) (FollowClientStream, error) {
	conn, err := p.streamConn(ctx, address)
	if err != nil {
		return nil, err
	}
	return openStream[protocol.FollowFrame, protocol.FollowFrame](ctx, conn, address, &followStream, methodFollow)
}

// Call opens a Call stream, which carries one call to another node. An error means that nothing was sent. The stream
// ends with the context.
func (p *Pool) Call(ctx context.Context, address string) (CallClientStream, error) {
	conn, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	return openStream[protocol.CallFrame, protocol.ReplyFrame](ctx, conn, address, &callStream, methodCall)
}

// Ping checks whether the node at an address responds.
func (p *Pool) Ping(ctx context.Context, address string) (*protocol.PingReply, error) {
	return invoke[protocol.PingReply](ctx, p, address, methodPing, &protocol.PingRequest{})
}

// Step opens a Step stream, which carries messages of the replicated logs to a control member, on a new connection. Both
// end with the context, which the caller must end.
func (p *Pool) Step(ctx context.Context, address string) (StepClientStream, error) {
	conn, err := p.streamConn(ctx, address)
	if err != nil {
		return nil, err
	}
	return openStream[protocol.StepFrame, protocol.StepAck](ctx, conn, address, &stepStream, methodStep)
}

// Propose sends a proposal to a control member and waits for the reply. After ErrUnreachable, ErrTimeout or ErrCanceled
// the proposed command may still be committed.
func (p *Pool) Propose(
	ctx context.Context, address string, request *protocol.ProposeRequest,
) (*protocol.ProposeReply, error) {
	return invokeMember[protocol.ProposeReply](ctx, p, address, methodPropose, request)
}

// Identify asks a control member for its identity and for the groups that it belongs to.
func (p *Pool) Identify(
	ctx context.Context, address string, request *protocol.IdentifyRequest,
) (*protocol.IdentifyReply, error) {
	return invokeMember[protocol.IdentifyReply](ctx, p, address, methodIdentify, request)
}

// Lend asks a control member for tokens of the teams' quotas.
func (p *Pool) Lend(ctx context.Context, address string, request *quota.Request) (*quota.Reply, error) {
	return invoke[quota.Reply](ctx, p, address, methodLend, request)
}

// invokeMember makes a unary call to a control member. If that does not reply in time, further calls use another
// connection: this one may have gone silent.
func invokeMember[Reply any](ctx context.Context, p *Pool, address, method string, request any) (*Reply, error) {
	conn, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	reply, err := invokeOn[Reply](ctx, conn, address, method, request)
	if errors.Is(err, ErrTimeout) {
		p.retire(address, conn)
	}
	return reply, err
}

// invoke makes a unary call.
func invoke[Reply any](ctx context.Context, p *Pool, address, method string, request any) (*Reply, error) {
	conn, err := p.conn(address)
	if err != nil {
		return nil, err
	}
	return invokeOn[Reply](ctx, conn, address, method, request)
}

func invokeOn[Reply any](
	ctx context.Context, conn *grpc.ClientConn, address, method string, request any,
) (*Reply, error) {
	reply := new(Reply)
	if err := conn.Invoke(ctx, method, request, reply); err != nil {
		return nil, errors.Wrapf(toTransportError(err), "%s at %s", method, address)
	}
	return reply, nil
}
