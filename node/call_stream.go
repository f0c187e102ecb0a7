package node

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/coordination/balance"
	"sapphiregate.example/sapphiregate/internal/httpresponse"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

// errStreamTruncated means that a Call stream ended before its last frame.
var errStreamTruncated = errors.New("node: call stream ended early")

// Call serves calls that other nodes send to the upstream beside this one.
func (n *Node) Call(stream rpc.CallServerStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Metadata == nil {
		return errors.Wrap(protocol.ErrMalformed, "the first frame of a call has no metadata")
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

// progressDelay is the time after which an executor sends a progress frame for a call. Shorter calls need none.
const progressDelay = 20 * time.Millisecond

// progressNotifier sends one progress frame if a call takes longer than progressDelay, so that the ingress can tell a
// busy upstream from a network partition.
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
		// If the stream is broken, sendReply returns the error.
		_ = p.stream.Send(&protocol.ReplyFrame{Progress: true})
	}
}

// stop prevents further progress frames and waits for one that is being sent: Send must not be called concurrently.
func (p *progressNotifier) stop() {
	if p.timer == nil {
		return
	}
	p.timer.Stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
}

// sendReply sends the metadata with the start of the body, then the rest in frames that each wait until the ingress has
// room, and those of a download until it is their turn on the link.
func sendReply(stream rpc.CallServerStream, reply *callReply) error {
	chunkBytes := protocol.ChunkBytes
	if reply.download != nil {
		chunkBytes = downloadChunkBytes
	}
	frame := &protocol.ReplyFrame{Metadata: &reply.metadata}
	for rest := reply.body; ; frame = new(protocol.ReplyFrame) {
		size := min(len(rest), chunkBytes)
		frame.Body, rest = rest[:size], rest[size:]
		if frame.Last = len(rest) == 0 && reply.stream == nil; frame.Last {
			frame.Trailer = reply.trailer
		}
		if err := sendFrame(stream, reply, frame); err != nil || frame.Last {
			return err
		}
		if len(rest) == 0 {
			break
		}
	}
	for {
		frame, err := reply.stream.Next()
		if err != nil {
			return err
		}
		if err := sendFrame(stream, reply, frame); err != nil || frame.Last {
			return err
		}
	}
}

// sendFrame sends one frame of a reply once it may use the link.
func sendFrame(stream rpc.CallServerStream, reply *callReply, frame *protocol.ReplyFrame) error {
	if reply.download != nil && len(frame.Body) > 0 {
		reply.download.wait(stream.Context(), len(frame.Body))
	}
	return stream.Send(frame)
}

// frameReader reads the rest of a request's body from its stream.
type frameReader struct {
	recv    func() (*protocol.CallFrame, error)
	pending []byte
	done    bool
	// trailer contains the declared fields; each frame sets their values, which are complete with the last frame.
	trailer http.Header
}

// declaredTrailer returns a trailer with the given field names and no values, from which net/http announces the
// trailer before the body.
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

// Read implements io.Reader. It returns an error if the stream ends without a last frame, so that the upstream does
// not take a truncated request for a complete one.
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

// callRemote sends a call to the node beside the target.
func (n *Node) callRemote(
	callerCtx context.Context, target balance.Target, meta *protocol.CallMetadata, body *requestBody, events callEvents,
) *callReply {
	ctx, cancel := context.WithCancel(callerCtx)
	pending := n.liveness.trackCall(target, meta.Class, repeatableCall{silent: events.silent, cancel: cancel})
	defer pending.finish()
	stream, err := n.calls.Call(ctx, target.Address)
	if err != nil {
		cancel()
		// No frame was sent, so the call cannot have run.
		return notRunReply(protocol.ReasonNodeFailed)
	}
	sendFailed, err := n.startSending(stream, meta, body, cancel)
	if err != nil {
		cancel()
		return failedCallReply(callerCtx, err)
	}
	first, err := stream.Recv()
	if err == nil && first.Progress {
		events.acknowledged()
		pending.responded()
		first, err = stream.Recv()
	}
	if err == nil {
		err = checkFrame(first)
	}
	if err != nil || first.Metadata == nil {
		cancel()
		select {
		case err = <-sendFailed:
		default:
		}
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

// checkFrame returns an error if a frame has a part of a response that can't be passed on. The executor checks responses
// where it reads them; one of another release may do so differently.
func checkFrame(frame *protocol.ReplyFrame) error {
	if meta := frame.Metadata; meta != nil && meta.Outcome == protocol.OutcomeDone {
		if err := httpresponse.CheckHead(meta.Status, http.Header(meta.Header)); err != nil {
			return err
		}
	}
	return httpresponse.CheckFields(frame.Trailer)
}

// failedCallReply returns the reply to a call that was sent and got no reply; it may have run.
func failedCallReply(callerCtx context.Context, err error) *callReply {
	switch {
	case errors.Is(callerCtx.Err(), context.DeadlineExceeded), errors.Is(err, rpc.ErrTimeout),
		errors.Is(err, os.ErrDeadlineExceeded): // of reading the caller's body
		return unknownReply(protocol.ReasonDeadline)
	case callerCtx.Err() != nil:
		return unknownReply(abandonReason(callerCtx))
	}
	return unknownReply(protocol.ReasonNodeFailed)
}

// startSending sends the metadata with the start of the body. It sends the rest of a body that is not buffered beside the
// reply, since the executor may reply before a slow caller has sent all of it. If that fails, the channel has the error
// and the call is canceled.
func (n *Node) startSending(
	stream rpc.CallClientStream, meta *protocol.CallMetadata, body *requestBody, cancel context.CancelFunc,
) (<-chan error, error) {
	failed := make(chan error, 1)
	if body.buffered() {
		return failed, n.sendBuffered(stream, meta, body)
	}
	if err := stream.Send(&protocol.CallFrame{Metadata: meta, Body: body.prefix}); err != nil {
		return failed, ignoreEnd(err)
	}
	go func() {
		if err := ignoreEnd(n.sendRest(stream, meta, body)); err != nil {
			failed <- err
			cancel()
		}
	}()
	return failed, nil
}

// ignoreEnd returns nil for io.EOF: the executor has ended the call before it has read the whole body; its reply says how.
func ignoreEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// sendBuffered sends the metadata and a whole body. Longer bodies are sent in parts, so that the executor does not hold
// them before the call has a slot.
func (n *Node) sendBuffered(stream rpc.CallClientStream, meta *protocol.CallMetadata, body *requestBody) error {
	size := len(body.prefix)
	if meta.Class == bundle.ClassUpload {
		size = min(size, uploadChunkBytes)
	}
	frame := &protocol.CallFrame{Metadata: meta, Body: body.prefix[:size]}
	for rest := body.prefix[size:]; ; {
		if frame.Last = len(rest) == 0; frame.Last {
			frame.Trailer = body.trailer
		}
		n.paceUpload(stream.Context(), meta, len(frame.Body))
		if err := stream.Send(frame); err != nil || frame.Last {
			return ignoreEnd(err)
		}
		size = min(len(rest), uploadChunkBytes)
		frame = &protocol.CallFrame{Body: rest[:size]}
		rest = rest[size:]
	}
}

// sendRest sends the part of the body that is not buffered.
func (n *Node) sendRest(stream rpc.CallClientStream, meta *protocol.CallMetadata, body *requestBody) error {
	buffer := make([]byte, protocol.ChunkBytes)
	if meta.Class == bundle.ClassUpload {
		buffer = buffer[:uploadChunkBytes]
	}
	for {
		size, last, err := readChunk(body.rest, buffer)
		if err != nil {
			return err
		}
		frame := &protocol.CallFrame{Body: buffer[:size], Last: last}
		if last {
			frame.Trailer = body.trailer
		}
		n.paceUpload(stream.Context(), meta, size)
		if err := stream.Send(frame); err != nil || last {
			return err
		}
	}
}

// remoteStream receives the frames of a long response from another node.
type remoteStream struct {
	stream rpc.CallClientStream
	cancel context.CancelFunc
}

// Next returns the next frame.
func (s *remoteStream) Next() (*protocol.ReplyFrame, error) {
	frame, err := s.stream.Recv()
	if err == nil {
		err = checkFrame(frame)
	}
	if err != nil {
		return nil, errors.Wrapf(errStreamTruncated, "%v", err)
	}
	return frame, nil
}

// Close cancels the call.
func (s *remoteStream) Close() { s.cancel() }
