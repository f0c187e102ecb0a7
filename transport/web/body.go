package web

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// interruptibleBody reads a request body whose source may pause, and ends when the connection to the upstream breaks.
// net/http reports a broken connection only once it is done with reading the body.
type interruptibleBody struct {
	source io.Reader
	trace  *requestTrace
	// buffer is what the latest read of the source is made into. Each value in wanted asks for a read, and reads has its
	// result.
	buffer  []byte
	wanted  chan struct{}
	reads   chan readResult
	started bool
	pending bool
	// rest is the part of the buffer that was not returned yet; err follows it.
	rest []byte
	err  error

	closed    chan struct{}
	closeOnce sync.Once
}

type readResult struct {
	n   int
	err error
}

func newInterruptibleBody(source io.Reader, trace *requestTrace) *interruptibleBody {
	return &interruptibleBody{
		source: source, trace: trace, buffer: make([]byte, bodyBufferBytes),
		wanted: make(chan struct{}, 1), reads: make(chan readResult, 1), closed: make(chan struct{}),
	}
}

// bodyBufferBytes is the size of the reads of net/http.
const bodyBufferBytes = 32 << 10

// Read implements io.Reader. A read of the source that is in progress when the connection breaks goes on in the background.
func (b *interruptibleBody) Read(data []byte) (int, error) {
	if len(b.rest) == 0 && b.err == nil {
		if !b.pending {
			b.requestRead()
		}
		select {
		case result := <-b.reads:
			b.pending = false
			b.rest, b.err = b.buffer[:result.n], result.err
		case <-b.trace.broken():
			return 0, errors.Wrap(ErrConnectionBroken, "while the body was sent")
		case <-b.closed:
			return 0, errors.Wrap(ErrConnectionBroken, "the body was closed")
		}
	}
	n := copy(data, b.rest)
	b.rest = b.rest[n:]
	if len(b.rest) > 0 {
		return n, nil
	}
	return n, b.err
}

// requestRead lets one read of the source begin.
func (b *interruptibleBody) requestRead() {
	if !b.started {
		b.started = true
		go b.readSource()
	}
	b.pending = true
	b.wanted <- struct{}{}
}

// readSource makes the reads that are wanted. One goroutine makes all of them: the stack that a read needs would grow anew in
// each.
func (b *interruptibleBody) readSource() {
	for {
		select {
		case <-b.wanted:
		case <-b.closed:
			return
		}
		n, err := b.source.Read(b.buffer)
		b.reads <- readResult{n, err}
		if err != nil {
			return
		}
	}
}

// Close implements io.Closer. The transport calls it once it no longer reads.
func (b *interruptibleBody) Close() error {
	b.closeOnce.Do(func() { close(b.closed) })
	return nil
}
