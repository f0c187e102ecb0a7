package node

import (
	"io"
	"net/http"
	"time"

	"sapphiregate.example/sapphiregate/protocol"
)

// requestBody is the body of a call. It is either buffered whole, or consists of a buffered prefix and a rest that is
// streamed.
type requestBody struct {
	// prefix is the start of the body; it is the whole body if rest is nil.
	prefix []byte
	// rest reads what follows prefix; nil if the body is buffered whole.
	rest io.Reader
	// trailer is complete once rest has been read to its end.
	trailer http.Header
}

// buffered reports whether the whole body is in memory, so that the call can be sent again.
func (b *requestBody) buffered() bool { return b.rest == nil }

// replyStream returns the rest of a long response in frames; the last one is marked.
type replyStream interface {
	// Next returns the next frame, which is valid until the following call; it must not be called after the last one.
	// Every error means that the response was truncated.
	Next() (*protocol.ReplyFrame, error)
	// Close discards the rest of the response.
	Close()
}

// callReply is an executor's reply to one call.
type callReply struct {
	metadata protocol.ReplyMetadata
	// body is the whole body, or its start if stream is set.
	body    []byte
	trailer http.Header
	stream  replyStream
	// download is set for the response to a call of class download.
	download *download
	// abandonedAfter is for how long the upstream ran a call that was given up; 0 if it was not.
	abandonedAfter time.Duration
	// onFinish is called once the reply has been written or discarded.
	onFinish func()
}

// addOnFinish adds a function that finish calls before those that were added earlier.
func (r *callReply) addOnFinish(f func()) *callReply {
	previous := r.onFinish
	r.onFinish = func() {
		f()
		if previous != nil {
			previous()
		}
	}
	return r
}

// finish closes the stream and calls the functions of addOnFinish.
func (r *callReply) finish() {
	if r.stream != nil {
		r.stream.Close()
	}
	if r.onFinish != nil {
		r.onFinish()
	}
}

// failedByUpstream reports whether the upstream ran the call and responded with a server error.
func (r *callReply) failedByUpstream() bool {
	return r.metadata.Outcome == protocol.OutcomeDone && r.metadata.Status >= http.StatusInternalServerError
}

// notRunReply returns the reply to a call that was not run.
func notRunReply(reason protocol.Reason) *callReply {
	return &callReply{metadata: protocol.ReplyMetadata{Outcome: protocol.OutcomeNotRun, Reason: reason}}
}

// unknownReply returns the reply to a call that may have run.
func unknownReply(reason protocol.Reason) *callReply {
	return &callReply{metadata: protocol.ReplyMetadata{Outcome: protocol.OutcomeUnknown, Reason: reason}}
}
