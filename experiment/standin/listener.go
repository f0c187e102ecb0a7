package standin

import (
	"net"
	"sync"
	"time"
)

// limitListener accepts a limited number of open connections and delays the first byte of each.
type limitListener struct {
	net.Listener
	open  chan struct{}
	done  chan struct{}
	close sync.Once
	delay time.Duration
}

func newLimitListener(l net.Listener, limit int, delay time.Duration) *limitListener {
	return &limitListener{Listener: l, open: make(chan struct{}, limit), done: make(chan struct{}), delay: delay}
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.open <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.open
		return nil, err
	}
	return &limitConn{Conn: c, ready: time.Now().Add(l.delay), release: sync.OnceFunc(func() { <-l.open })}, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.close.Do(func() { close(l.done) })
	return l.Listener.Close()
}

type limitConn struct {
	net.Conn
	ready   time.Time
	release func()
}

// Read implements net.Conn.
func (c *limitConn) Read(p []byte) (int, error) {
	if wait := time.Until(c.ready); wait > 0 {
		time.Sleep(wait)
	}
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	c.release()
	return c.Conn.Close()
}
