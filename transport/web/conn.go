package web

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// upstreamConn is a connection to an upstream. It counts the written bytes, which show whether a failed request can have
// reached the upstream, and tells the end of what the upstream sends from a failure of the connection.
type upstreamConn struct {
	net.Conn
	written atomic.Int64
	// broken is closed once a read has failed.
	broken    chan struct{}
	breakOnce sync.Once

	// writing is held during a write. It guards writeError, with which a write has failed.
	writing    sync.Mutex
	writeError error
}

func newUpstreamConn(conn net.Conn) *upstreamConn {
	return &upstreamConn{Conn: conn, broken: make(chan struct{})}
}

// Read implements net.Conn. It returns io.EOF only if the upstream has closed its side.
func (c *upstreamConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		err = c.checkEnd()
	}
	if err != nil {
		c.breakOnce.Do(func() { close(c.broken) })
	}
	return n, err
}

// checkEnd returns io.EOF, or the error of a write if the connection has failed. The kernel reports a reset or a timeout
// once. If a write gets it, the next read ends as if the upstream had closed its side, and a response without a length
// would count as complete, which RFC 9112 (section 8) allows only after a regular end.
func (c *upstreamConn) checkEnd() error {
	// This ends a write that waits for the upstream: nothing follows that could need the rest of the request.
	_ = c.Conn.SetWriteDeadline(time.Now())
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeError != nil {
		return c.writeError
	}
	return io.EOF
}

// Write implements net.Conn. It counts the bytes before it writes them, because a failed write may have sent some of them.
func (c *upstreamConn) Write(data []byte) (int, error) {
	c.written.Add(int64(len(data)))
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	// A broken pipe means that the upstream had closed its side before: all that it sent has arrived.
	if err != nil && !errors.IsAny(err, syscall.EPIPE, os.ErrDeadlineExceeded) {
		c.writeError = err
	}
	return n, err
}
