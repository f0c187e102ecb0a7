package web

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// acceptWait is the length of a draining listener's waits for a connection.
	acceptWait = 20 * time.Millisecond
	// readWait is the length of the waits for a request on a connection of a draining listener. It lets the rest of a
	// request arrive that comes in several segments.
	readWait = 50 * time.Millisecond
	// quietWaits is the number of waits in a row, in which nothing arrived and which ended in time, after which a draining
	// listener or connection closes.
	quietWaits = 2
	// maxLateWaits bounds the waits in which nothing arrived. A process that is always short of processor time would
	// otherwise never close.
	maxLateWaits = 5
	// lastWait is the length of a wait in the last half of the time that a drain has. Callers that keep opening connections
	// would otherwise keep it from ending. One such wait in which nothing arrives is enough.
	lastWait = 2 * time.Millisecond
	// lingerTime is how long a connection with an unread body is kept open for reading after its last response.
	lingerTime = 500 * time.Millisecond
)

// DrainListener is the listener of an HTTP server that stops without losing requests. http.Server.Shutdown closes the
// listener and the idle connections at once, together with the connections that wait to be accepted and the requests
// that were not read yet. On a busy instance these may have waited for long, since the timer of a stop may run before
// the runtime polls the network.
//
// The server must call ConnState as its hook of that name.
type DrainListener struct {
	net.Listener

	// mu guards the fields below and drainConn.waiting.
	mu       sync.Mutex
	draining bool
	// hurryAt is when a drain stops to wait for quiet; zero if it may wait for as long as it takes.
	hurryAt     time.Time
	connections map[*drainConn]bool
	// finished is closed once the listener is drained and all its connections are closed.
	finished       chan struct{}
	listenerClosed bool
}

// NewDrainListener returns a listener that accepts the connections of a TCP listener.
func NewDrainListener(listener net.Listener) *DrainListener {
	return &DrainListener{
		Listener: listener, connections: make(map[*drainConn]bool), finished: make(chan struct{}),
	}
}

// Drain makes the server serve what has arrived, and returns when all connections are closed. Connections that wait to
// be accepted are accepted, and requests that were not read yet are read; then the listener and the connections without
// a request are closed. Responses should ask callers to close their connections: a connection that stays open is closed
// once it has been quiet. In the last half of the time until the context's deadline, the listener and the connections
// close as soon as nothing waits to be read. Drain returns the context's error if that ends first.
func (l *DrainListener) Drain(ctx context.Context) error {
	l.mu.Lock()
	l.draining = true
	if deadline, ok := ctx.Deadline(); ok {
		l.hurryAt = time.Now().Add(time.Until(deadline) / 2)
	}
	for connection := range l.connections {
		if connection.waiting {
			// This ends the read that waits for a request, so that Read can take what has arrived.
			_ = connection.Conn.SetReadDeadline(time.Now())
		}
	}
	l.mu.Unlock()
	l.setAcceptDeadline(time.Now())
	select {
	case <-l.finished:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// LimitActive sets the deadlines of the connections with a request that was read, so that a server that gives up its
// requests need not wait for callers that neither send the rest of their request nor read their response.
func (l *DrainListener) LimitActive(readDeadline, writeDeadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for connection := range l.connections {
		if !connection.waiting {
			// The only error is that of a closed connection.
			_ = connection.Conn.SetReadDeadline(readDeadline)
			_ = connection.Conn.SetWriteDeadline(writeDeadline)
		}
	}
}

// Accept implements net.Listener. It returns http.ErrServerClosed once the listener is drained.
func (l *DrainListener) Accept() (net.Conn, error) {
	for quiet := (quietPeriod{}); ; {
		wait := l.waitLength(acceptWait)
		started := time.Now()
		if l.isDraining() {
			l.setAcceptDeadline(started.Add(wait))
		}
		connection, err := l.Listener.Accept()
		if err == nil {
			return l.track(connection), nil
		}
		if !l.isDraining() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if quiet.waitEnded(time.Since(started), wait) {
			l.closeDrained()
			return nil, http.ErrServerClosed
		}
	}
}

// quietPeriod counts waits in which nothing arrived. Every new wait first takes what has arrived.
type quietPeriod struct {
	waits, inTime int
}

// waitEnded counts a wait that ended at its deadline after the given time, and reports whether the period is long enough.
// A wait that was interrupted does not count. After one that ended late, more may have arrived: the process did not run
// for a while.
func (q *quietPeriod) waitEnded(waited, wait time.Duration) bool {
	if waited < wait {
		return false
	}
	q.waits++
	q.inTime++
	if waited >= max(2*wait, acceptWait) {
		q.inTime = 0
	}
	return q.inTime >= quietWaits || q.waits >= maxLateWaits || wait == lastWait && q.inTime > 0
}

// waitLength returns the length of the next wait, which is usually the given one.
func (l *DrainListener) waitLength(usual time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentWait(usual)
}

// currentWait is waitLength for a caller that holds l.mu.
func (l *DrainListener) currentWait(usual time.Duration) time.Duration {
	if l.draining && !l.hurryAt.IsZero() && time.Now().After(l.hurryAt) {
		return lastWait
	}
	return usual
}

func (l *DrainListener) setAcceptDeadline(deadline time.Time) {
	if listener, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		// The only error is that of a closed listener, which Accept returns.
		_ = listener.SetDeadline(deadline)
	}
}

func (l *DrainListener) isDraining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

func (l *DrainListener) track(connection net.Conn) net.Conn {
	tracked := &drainConn{Conn: connection, listener: l, waiting: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[tracked] = true
	return tracked
}

func (l *DrainListener) closeDrained() {
	_ = l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listenerClosed = true
	l.checkFinished()
}

func (l *DrainListener) untrack(connection *drainConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.connections[connection] {
		return
	}
	delete(l.connections, connection)
	l.checkFinished()
}

// checkFinished is called with l.mu held.
func (l *DrainListener) checkFinished() {
	if l.listenerClosed && len(l.connections) == 0 {
		close(l.finished)
	}
}

// Connections returns the number of connections with a request that was read, and of those that wait for one.
func (l *DrainListener) Connections() (active, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for connection := range l.connections {
		if connection.waiting {
			waiting++
		} else {
			active++
		}
	}
	return active, waiting
}

// ConnState is the hook that tells the listener which connections wait for a request.
func (l *DrainListener) ConnState(connection net.Conn, state http.ConnState) {
	tracked, ok := connection.(*drainConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		tracked.setWaiting(false)
	case http.StateIdle:
		tracked.setWaiting(true)
	case http.StateClosed, http.StateHijacked:
		l.untrack(tracked)
	}
}

// drainConn is a connection of a DrainListener.
type drainConn struct {
	net.Conn
	listener *DrainListener

	// waiting is set while no request has been read.
	waiting bool
	// ended is set once no further request may be read.
	ended atomic.Bool
}

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// ConnContext is the hook of an HTTP server that lets EndRequests find the connection of a request.
func (l *DrainListener) ConnContext(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// EndRequests makes the connection of a request close after the response, without reading another request: the rest of a
// body that was not read to its end must not be taken for one. ctx is the context of the request. The server must use
// DrainListener.ConnContext.
func EndRequests(ctx context.Context) {
	if connection, ok := ctx.Value(connectionKey{}).(*drainConn); ok {
		connection.ended.Store(true)
	}
}

// ResetConnection makes the connection of a request end with a reset once the handler has ended it. ctx is the context of
// the request. The server must use DrainListener.ConnContext.
func ResetConnection(ctx context.Context) {
	connection, ok := ctx.Value(connectionKey{}).(*drainConn)
	if !ok {
		return
	}
	if tcp, ok := connection.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// The only error is that of a closed connection.
		_ = tcp.SetLinger(0)
	}
}

func (c *drainConn) setWaiting(waiting bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.waiting = waiting
	if c.listener.draining && !waiting {
		// The deadline of the wait must not end the request.
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// SetReadDeadline implements net.Conn. During a drain, a connection waits for a request for readWait at most.
func (c *drainConn) SetReadDeadline(deadline time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.listener.draining && c.waiting {
		deadline = time.Now().Add(c.listener.currentWait(readWait))
	}
	return c.Conn.SetReadDeadline(deadline)
}

// drainsWithoutRequest reports whether the listener drains and no request has been read on the connection.
func (c *drainConn) drainsWithoutRequest() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.listener.draining && c.waiting
}

// Read implements net.Conn. During a drain it returns os.ErrDeadlineExceeded once nothing more arrives on a connection
// without a request.
func (c *drainConn) Read(buffer []byte) (int, error) {
	if c.ended.Load() {
		return 0, io.EOF
	}
	for quiet := (quietPeriod{}); ; {
		wait := c.listener.waitLength(readWait)
		started := time.Now()
		n, err := c.Conn.Read(buffer)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !c.drainsWithoutRequest() {
			return n, err
		}
		if quiet.waitEnded(time.Since(started), wait) {
			return 0, err
		}
		if err := c.SetReadDeadline(time.Time{}); err != nil {
			return 0, err
		}
	}
}

// Close implements net.Conn. After EndRequests the connection stays open for reading for a while: a connection that is
// closed while data arrives is reset, and the caller could lose the response.
func (c *drainConn) Close() error {
	if !c.ended.Load() {
		return c.Conn.Close()
	}
	err := c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	go func() {
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.Conn.Close()
	}()
	return err
}

// CloseWrite lets the server close its side first, so that the caller can read the response although part of its
// request was not read.
func (c *drainConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
