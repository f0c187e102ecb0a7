package standin

import (
	"net"
	"sync"
	"time"
)

// limitListener limits the number of open connections, and delays the first read of each.
type limitListener struct {
	net.Listener
	connections chan struct{}
	closed      chan struct{}
	closeOnce   sync.Once
	delay       time.Duration
}

func newLimitListener(l net.Listener, limit int, delay time.Duration) *limitListener {
	return &limitListener{Listener: l, connections: make(chan struct{}, limit), closed: make(chan struct{}), delay: delay}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.connections <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.connections
		return nil, err
	}
	return &limitConn{Conn: c, readableAt: time.Now().Add(l.delay), release: sync.OnceFunc(func() { <-l.connections })}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitConn is a connection of a limitListener. Reads wait until readableAt; release frees its place under the limit.
type limitConn struct {
	net.Conn
	readableAt time.Time
	release    func()
}

// Read implements net.Conn.
func (c *limitConn) Read(p []byte) (int, error) {
	if wait := time.Until(c.readableAt); wait > 0 {
		time.Sleep(wait)
	}
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	c.release()
	return c.Conn.Close()
}
