package node

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

// errCut means that a Call stream ended before its last frame.
var errCut = errors.New("node: call stream ended early")

// Call serves calls that other nodes send to the upstream beside this one.
func (n *Node) Call(stream rpc.CallServerStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Metadata == nil {
		return errors.Wrap(protocol.ErrMalformed, "call without a head")
	}
	body := &requestBody{start: first.Body, trailer: first.Trailer}
	if !first.Last {
		body.trailer = declaredTrailer(first.Metadata.TrailerNames)
		body.rest = &frameReader{recv: stream.Recv, trailer: body.trailer}
	}
	progress := startProgress(stream, first.Metadata.Progress)
	answer := n.executor.run(stream.Context(), first.Metadata, body)
	progress.stop()
	defer answer.finish()
	return sendReply(stream, answer)
}

// progressDelay is after which time an executor tells the ingress that it has a call. Shorter calls need no such frame.
const progressDelay = 20 * time.Millisecond

// progress sends one frame if a call takes long, so that the ingress can tell a busy upstream from a silent partition.
type progress struct {
	mu     sync.Mutex
	ended  bool
	timer  *time.Timer
	stream rpc.CallServerStream
}

func startProgress(stream rpc.CallServerStream, wanted bool) *progress {
	p := &progress{stream: stream}
	if !wanted {
		return p
	}
	p.timer = time.AfterFunc(progressDelay, p.send)
	return p
}

func (p *progress) send() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ended {
		// A broken stream is noticed when the answer is sent.
		_ = p.stream.Send(&protocol.ReplyFrame{Progress: true})
	}
}

// stop returns once no progress frame is being sent: a stream takes one frame at a time.
func (p *progress) stop() {
	if p.timer == nil {
		return
	}
	p.timer.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
}

func sendReply(stream rpc.CallServerStream, answer *reply) error {
	frame := &protocol.ReplyFrame{Metadata: &answer.head, Body: answer.body}
	if answer.stream == nil {
		frame.Last = true
		frame.Trailer = answer.trailer
	}
	if err := stream.Send(frame); err != nil {
		return err
	}
	for answer.stream != nil {
		frame, err := answer.stream.Next()
		if err != nil {
			return err
		}
		if err := stream.Send(frame); err != nil {
			return err
		}
		if frame.Last {
			return nil
		}
	}
	return nil
}

// frameReader reads the rest of a request's body from its stream.
type frameReader struct {
	recv    func() (*protocol.CallFrame, error)
	pending []byte
	ended   bool
	// trailer receives the values of the declared fields with the last frame.
	trailer http.Header
}

// declaredTrailer returns the fields that net/http announces before the body.
func declaredTrailer(names []string) http.Header {
	if len(names) == 0 {
		return nil
	}
	trailer := make(http.Header, len(names))
	for _, name := range names {
		trailer[name] = nil
	}
	return trailer
}

// Read implements io.Reader. A stream that ends without a last frame is an error, so that the upstream does not take
// a cut request for a whole one.
func (r *frameReader) Read(data []byte) (int, error) {
	for len(r.pending) == 0 {
		if r.ended {
			return 0, io.EOF
		}
		frame, err := r.recv()
		if err != nil {
			return 0, errors.Wrap(errCut, "request body")
		}
		r.pending, r.ended = frame.Body, frame.Last
		for name := range r.trailer {
			r.trailer[name] = frame.Trailer[name]
		}
	}
	n := copy(data, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// callRemote sends a call to the node beside the target. It calls reached once the executor has shown that it has it.
func (n *Node) callRemote(
	caller context.Context, target balance.Target, head *protocol.CallMetadata, body *requestBody, reached func(),
) *reply {
	ctx, cancel := context.WithCancel(caller)
	pending := n.liveness.sent(target, head.Class, cancel)
	defer pending.end()
	stream, err := n.calls.Call(ctx, target.Address)
	if err != nil {
		cancel()
		// No frame was sent, so the call cannot have run.
		return refusal(protocol.ReasonNodeFailed)
	}
	if err := sendCall(stream, head, body); err != nil {
		cancel()
		return brokenCall(caller, err)
	}
	first, err := stream.Recv()
	if err == nil && first.Progress {
		reached()
		pending.heard()
		first, err = stream.Recv()
	}
	if err != nil || first.Metadata == nil {
		cancel()
		return brokenCall(caller, err)
	}
	pending.heard()
	answer := &reply{head: *first.Metadata, body: first.Body, trailer: first.Trailer, done: cancel}
	if first.Last {
		return answer
	}
	answer.stream = &remoteStream{stream: stream, cancel: cancel}
	return answer
}

// brokenCall explains why a call that was sent has no answer.
func brokenCall(caller context.Context, err error) *reply {
	switch {
	case errors.Is(caller.Err(), context.DeadlineExceeded), errors.Is(err, rpc.ErrTimeout):
		return uncertain(protocol.ReasonDeadline)
	case caller.Err() != nil:
		return uncertain(protocol.ReasonCallerGone)
	}
	return uncertain(protocol.ReasonNodeFailed)
}

// sendCall sends the head with the start of the body, then the rest.
func sendCall(stream rpc.CallClientStream, head *protocol.CallMetadata, body *requestBody) error {
	first := &protocol.CallFrame{Metadata: head, Body: body.start, Last: body.whole()}
	if body.whole() {
		first.Trailer = body.trailer
		return stream.Send(first)
	}
	if err := stream.Send(first); err != nil {
		return err
	}
	for {
		buffer := make([]byte, protocol.ChunkBytes)
		n, ended, err := readChunk(body.rest, buffer)
		if err != nil {
			return err
		}
		frame := &protocol.CallFrame{Body: buffer[:n], Last: ended}
		if ended {
			frame.Trailer = body.trailer
		}
		if err := stream.Send(frame); err != nil {
			return err
		}
		if ended {
			return nil
		}
	}
}

// remoteStream passes on the frames of a long answer.
type remoteStream struct {
	stream rpc.CallClientStream
	cancel context.CancelFunc
}

// Next returns the next frame.
func (s *remoteStream) Next() (*protocol.ReplyFrame, error) {
	frame, err := s.stream.Recv()
	if err != nil {
		return nil, errors.Wrapf(errCut, "%v", err)
	}
	return frame, nil
}

// Close ends the stream.
func (s *remoteStream) Close() { s.cancel() }
