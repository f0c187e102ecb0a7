package web

import (
	"io"
	"net"
	"os"
	"strings"
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

	// responseExpected is set by a request that is about to be written; head then watches the start of what is read.
	responseExpected atomic.Bool
	head             headWatch

	// writing is held during a write. It guards writeError, with which a write has failed.
	writing    sync.Mutex
	writeError error
}

func newUpstreamConn(conn net.Conn) *upstreamConn {
	return &upstreamConn{Conn: conn, broken: make(chan struct{})}
}

// Read implements net.Conn. It returns io.EOF only if the upstream has closed its side, and errFaultyFraming in the middle
// of a head that headWatch rejects.
func (c *upstreamConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		err = c.checkEnd()
	}
	if c.responseExpected.Swap(false) {
		c.head = headWatch{}
	}
	if faulty := c.head.check(data[:n]); faulty != nil {
		n, err = 0, faulty
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

// errFaultyFraming reports a response of HTTP/1.0 with a Transfer-Encoding.
var errFaultyFraming = errors.New("web: a response of HTTP/1.0 has a transfer encoding")

const (
	versionHTTP10         = "HTTP/1.0 "
	fieldTransferEncoding = "Transfer-Encoding:"
)

// headWatch reads the lines of a response's head and rejects a Transfer-Encoding in HTTP/1.0, whose framing counts as
// faulty (RFC 9112, section 6.1). net/http drops the field before anybody can see it, and takes the chunks for the body.
type headWatch struct {
	// line is the start of the current line, which is what decides.
	line       [len(fieldTransferEncoding)]byte
	lineLength int
	// inFields is set after the first line, and done once no further line matters.
	inFields, done bool
}

// check takes the bytes that follow those of the call before.
func (w *headWatch) check(data []byte) error {
	for _, b := range data {
		if w.done {
			return nil
		}
		if b != '\n' {
			if w.lineLength < len(w.line) {
				w.line[w.lineLength] = b
				w.lineLength++
			}
			continue
		}
		line := strings.TrimSuffix(string(w.line[:w.lineLength]), "\r")
		w.lineLength = 0
		switch {
		case !w.inFields:
			w.inFields = true
			w.done = !strings.HasPrefix(line, versionHTTP10)
		case line == "":
			w.done = true
		case strings.EqualFold(line, fieldTransferEncoding):
			return errFaultyFraming
		}
	}
	return nil
}
