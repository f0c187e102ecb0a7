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
var errStreamTruncated = errors.New("node: call stream ended early")

// Call serves calls that other nodes send to the upstream beside this one.
func (n *Node) Call(stream rpc.CallServerStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Metadata == nil {
		return errors.Wrap(protocol.ErrMalformed, "call without a head")
	}
	body := &requestBody{prefix: first.Body, trailer: first.Trailer}
	if !first.Last {
		body.trailer = declaredTrailer(first.Metadata.TrailerNames)
		body.rest = &frameReader{recv: stream.Recv, trailer: body.trailer}
	}
	progress := startProgressNotifier(stream, first.Metadata.Progress)
	reply := n.executor.run(stream.Context(), first.Metadata, body)
	progress.stop()
	defer reply.finish()
	return sendReply(stream, reply)
}

// progressDelay is after which time an executor tells the ingress that it has a call. Shorter calls need no such frame.
const progressDelay = 20 * time.Millisecond

// progress sends one frame if a call takes long, so that the ingress can tell a busy upstream from a silent partition.
type progressNotifier struct {
	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
	stream  rpc.CallServerStream
}

func startProgressNotifier(stream rpc.CallServerStream, enabled bool) *progressNotifier {
	p := &progressNotifier{stream: stream}
	if !enabled {
		return p
	}
	p.timer = time.AfterFunc(progressDelay, p.send)
	return p
}

func (p *progressNotifier) send() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.stopped {
		// A broken stream is noticed when the answer is sent.
		_ = p.stream.Send(&protocol.ReplyFrame{Progress: true})
	}
}

// stop returns once no progress frame is being sent: a stream takes one frame at a time.
func (p *progressNotifier) stop() {
	if p.timer == nil {
		return
	}
	p.timer.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
}

func sendReply(stream rpc.CallServerStream, reply *callReply) error {
	frame := &protocol.ReplyFrame{Metadata: &reply.metadata, Body: reply.body}
	if reply.stream == nil {
		frame.Last = true
		frame.Trailer = reply.trailer
	}
	if err := stream.Send(frame); err != nil {
		return err
	}
	for reply.stream != nil {
		frame, err := reply.stream.Next()
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
	done    bool
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
		if r.done {
			return 0, io.EOF
		}
		frame, err := r.recv()
		if err != nil {
			return 0, errors.Wrap(errStreamTruncated, "request body")
		}
		r.pending, r.done = frame.Body, frame.Last
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
	callerCtx context.Context, target balance.Target, meta *protocol.CallMetadata, body *requestBody, onAcknowledged func(),
) *callReply {
	ctx, cancel := context.WithCancel(callerCtx)
	pending := n.liveness.trackCall(target, meta.Class, cancel)
	defer pending.finish()
	stream, err := n.calls.Call(ctx, target.Address)
	if err != nil {
		cancel()
		// No frame was sent, so the call cannot have run.
		return notRunReply(protocol.ReasonNodeFailed)
	}
	if err := sendCall(stream, meta, body); err != nil {
		cancel()
		return failedCallReply(callerCtx, err)
	}
	first, err := stream.Recv()
	if err == nil && first.Progress {
		onAcknowledged()
		pending.responded()
		first, err = stream.Recv()
	}
	if err != nil || first.Metadata == nil {
		cancel()
		return failedCallReply(callerCtx, err)
	}
	pending.responded()
	reply := &callReply{metadata: *first.Metadata, body: first.Body, trailer: first.Trailer, onFinish: cancel}
	if first.Last {
		return reply
	}
	reply.stream = &remoteStream{stream: stream, cancel: cancel}
	return reply
}

// brokenCall explains why a call that was sent has no answer.
func failedCallReply(callerCtx context.Context, err error) *callReply {
	switch {
	case errors.Is(callerCtx.Err(), context.DeadlineExceeded), errors.Is(err, rpc.ErrTimeout):
		return unknownReply(protocol.ReasonDeadline)
	case callerCtx.Err() != nil:
		return unknownReply(protocol.ReasonCallerGone)
	}
	return unknownReply(protocol.ReasonNodeFailed)
}

// sendCall sends the head with the start of the body, then the rest.
func sendCall(stream rpc.CallClientStream, meta *protocol.CallMetadata, body *requestBody) error {
	first := &protocol.CallFrame{Metadata: meta, Body: body.prefix, Last: body.buffered()}
	if body.buffered() {
		first.Trailer = body.trailer
		return stream.Send(first)
	}
	if err := stream.Send(first); err != nil {
		return err
	}
	for {
		buffer := make([]byte, protocol.ChunkBytes)
		n, last, err := readChunk(body.rest, buffer)
		if err != nil {
			return err
		}
		frame := &protocol.CallFrame{Body: buffer[:n], Last: last}
		if last {
			frame.Trailer = body.trailer
		}
		if err := stream.Send(frame); err != nil {
			return err
		}
		if last {
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
		return nil, errors.Wrapf(errStreamTruncated, "%v", err)
	}
	return frame, nil
}

// Close ends the stream.
func (s *remoteStream) Close() { s.cancel() }
