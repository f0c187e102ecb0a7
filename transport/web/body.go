package web

import (
	"io"

	"github.com/cockroachdb/errors"
)

// interruptibleBody reads a request body whose source may pause, and ends when the connection to the upstream breaks.
// net/http reports a broken connection only once it is done with reading the body.
type interruptibleBody struct {
	source io.Reader
	trace  *requestTrace
	// buffer is what the latest read of the source is made into; reads has its result.
	buffer  []byte
	reads   chan readResult
	pending bool
	// rest is the part of the buffer that was not returned yet; err follows it.
	rest []byte
	err  error
}

type readResult struct {
	n   int
	err error
}

func newInterruptibleBody(source io.Reader, trace *requestTrace) *interruptibleBody {
	return &interruptibleBody{source: source, trace: trace, buffer: make([]byte, bodyBufferBytes), reads: make(chan readResult, 1)}
}

// bodyBufferBytes is the size of the reads of net/http.
const bodyBufferBytes = 32 << 10

// Read implements io.Reader. A read of the source that is in progress when the connection breaks goes on in the background.
func (b *interruptibleBody) Read(data []byte) (int, error) {
	if len(b.rest) == 0 && b.err == nil {
		if !b.pending {
			b.pending = true
			go func() {
				n, err := b.source.Read(b.buffer)
				b.reads <- readResult{n, err}
			}()
		}
		select {
		case result := <-b.reads:
			b.pending = false
			b.rest, b.err = b.buffer[:result.n], result.err
		case <-b.trace.broken():
			return 0, errors.Wrap(ErrConnectionBroken, "while the body was sent")
		}
	}
	n := copy(data, b.rest)
	b.rest = b.rest[n:]
	if len(b.rest) > 0 {
		return n, nil
	}
	return n, b.err
}
