package node

import (
	"io"
	"net/http"

	"sapphiregate.example/sapphiregate/protocol"
)

// requestBody is the body of a call: buffered whole, or a buffered start with more to stream.
type requestBody struct {
	// start holds the whole body unless rest is set.
	prefix []byte
	// rest yields what follows start; nil for a body that is buffered whole.
	rest io.Reader
	// trailer is complete once rest is read to its end.
	trailer http.Header
}

// whole reports whether the body is buffered, so that the call can be sent again.
func (b *requestBody) buffered() bool { return b.rest == nil }

// replyStream yields the rest of a long answer in frames; the last one is marked.
type replyStream interface {
	// Next returns the next frame. An error other than io.EOF means that the answer was cut; io.EOF never precedes a
	// frame that is marked as the last.
	Next() (*protocol.ReplyFrame, error)
	// Close gives up the rest of the answer.
	Close()
}

// reply is an executor's answer to one call.
type callReply struct {
	metadata protocol.ReplyMetadata
	// body is the whole body, or its start if stream is set.
	body    []byte
	trailer http.Header
	stream  replyStream
	// done is called once the answer has been passed on or given up.
	onFinish func()
}

// afterwards adds what is to be done once the answer has been passed on or given up.
func (r *callReply) addOnFinish(do func()) *callReply {
	previous := r.onFinish
	r.onFinish = func() {
		do()
		if previous != nil {
			previous()
		}
	}
	return r
}

func (r *callReply) finish() {
	if r.stream != nil {
		r.stream.Close()
	}
	if r.onFinish != nil {
		r.onFinish()
	}
}

// failedByUpstream reports whether the answer says that the upstream ran the call and failed.
func (r *callReply) failedByUpstream() bool {
	return r.metadata.Outcome == protocol.OutcomeDone && r.metadata.Status >= http.StatusInternalServerError
}

// refusal is the reply to a call that was not run.
func notRunReply(reason protocol.Reason) *callReply {
	return &callReply{metadata: protocol.ReplyMetadata{Outcome: protocol.OutcomeNotRun, Reason: reason}}
}

// uncertain is the reply to a call that may have run.
func unknownReply(reason protocol.Reason) *callReply {
	return &callReply{metadata: protocol.ReplyMetadata{Outcome: protocol.OutcomeUnknown, Reason: reason}}
}
