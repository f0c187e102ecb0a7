package control

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sapphiregate.example/sapphiregate/coordination/detector"
	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/transport/rpc"
)

const (
	// senderQueueLength bounds the messages that are queued for one member. Raft sends dropped messages again.
	senderQueueLength = 4096
	// streamRetryDelay is the delay before a broken stream is opened again.
	streamRetryDelay = 50 * time.Millisecond
	maxFrameMessages = 64
	// silenceElections is the number of election timeouts without a reply after which a member counts as silent.
	// snapshotSilence leaves time to send a snapshot over a slow link.
	silenceElections = 2
	snapshotSilence  = 30 * time.Second
	// maxSenders bounds the goroutines that messages from unlisted members can start. A deployment has at most 19 members.
	maxSenders = 64
)

// raftTransport sends the Raft messages of one group to the other members. Only the control goroutine calls its
// methods; one goroutine for each member sends.
//
// A stream to a member that does not reply is replaced by one on a new connection, since open connections can go silent
// without a reset. The member replaces its own stream when the new one arrives, as it may be the replies that are lost.
type raftTransport struct {
	group   uint32
	self    raft.MemberID
	address string
	pool    *rpc.Pool
	ctx     context.Context
	senders map[raft.MemberID]*sender
	sending sync.WaitGroup
	// silentAfter is the time without a reply after which a member counts as silent.
	silentAfter time.Duration
	logger      zerolog.Logger
}

// sender holds the messages that are queued for one member.
type sender struct {
	address string
	queue   chan raft.Message
	cancel  context.CancelFunc
	silence detector.Silence
	// replacedAt is when the sender started or its stream was last replaced.
	replacedAt time.Time

	mu sync.Mutex
	// endStream ends the open stream; nil if there is none.
	endStream context.CancelFunc
}

func newRaftTransport(
	ctx context.Context, group uint32, self raft.MemberID, address string, pool *rpc.Pool, electionTimeout time.Duration,
	logger zerolog.Logger,
) *raftTransport {
	return &raftTransport{
		group: group, self: self, address: address, pool: pool, ctx: ctx, senders: make(map[raft.MemberID]*sender),
		silentAfter: silenceElections * electionTimeout, logger: logger,
	}
}

// update stops the senders to members that have left or moved to another address, and starts those of new members. A
// leader that is not listed keeps its sender: the membership may be that of an old snapshot which it has just sent, and
// the reply would be lost.
func (t *raftTransport) update(now time.Time, membership raft.Membership, leader raft.MemberID) {
	for id, current := range t.senders {
		member, ok := membership.Find(id)
		if !ok && id == leader {
			continue
		}
		if !ok || member.Address != current.address {
			current.cancel()
			delete(t.senders, id)
		}
	}
	for _, member := range membership.Members {
		t.addSender(now, member.ID, member.Address)
	}
}

// addSender starts a sender to a member unless there is one. A replica that has no membership yet, such as one that was
// just added or that forms its group after the other founders, needs it to reply to the messages that it receives.
func (t *raftTransport) addSender(now time.Time, id raft.MemberID, address string) {
	if id == t.self || address == "" || t.senders[id] != nil {
		return
	}
	for _, other := range t.senders {
		if other.address == address {
			// Another process was at this address. If its instance lost power, the connection to it hangs.
			t.pool.Forget(address)
		}
	}
	ctx, cancel := context.WithCancel(t.ctx)
	s := &sender{address: address, queue: make(chan raft.Message, senderQueueLength), cancel: cancel, replacedAt: now}
	t.senders[id] = s
	t.sending.Go(func() { t.run(ctx, s) })
}

// send queues messages. It drops messages to members without a sender or with a full queue.
func (t *raftTransport) send(now time.Time, messages []raft.Message) {
	for _, message := range messages {
		s := t.senders[message.To]
		if s == nil {
			continue
		}
		switch {
		case message.Type == raft.MessageSnapshot:
			s.silence.Sent(now, max(t.silentAfter, snapshotSilence))
		case message.Type.ExpectsReply():
			s.silence.Sent(now, t.silentAfter)
		}
		select {
		case s.queue <- message:
		default:
		}
	}
}

// received records a message of a member. newStream is set for the first message of a stream: the member has opened it
// because the process has started, or because it receives nothing from this one.
func (t *raftTransport) received(now time.Time, from raft.MemberID, newStream bool) {
	s := t.senders[from]
	if s == nil {
		return
	}
	s.silence.Received()
	if newStream && now.Sub(s.replacedAt) >= t.silentAfter {
		t.replaceStream(now, s, "member has opened a new stream")
	}
}

// replaceSilent replaces the streams to members that do not reply.
func (t *raftTransport) replaceSilent(now time.Time) {
	for _, s := range t.senders {
		if s.silence.Expired(now) {
			t.replaceStream(now, s, "member does not reply")
		}
	}
}

// replaceStream ends the open stream of a sender, which then opens another one. Queued messages are kept.
func (t *raftTransport) replaceStream(now time.Time, s *sender, reason string) {
	s.replacedAt = now
	t.logger.Info().Str("address", s.address).Str("reason", reason).Msg("replaces the connection to a member")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endStream != nil {
		s.endStream()
	}
}

func (s *sender) setEndStream(end context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endStream = end
}

// run opens a stream to the member again and again until ctx ends.
func (t *raftTransport) run(ctx context.Context, s *sender) {
	defer s.cancel()
	for ctx.Err() == nil {
		t.sendUntilBroken(ctx, s)
		select {
		case <-ctx.Done():
		case <-time.After(streamRetryDelay):
		}
	}
}

// sendUntilBroken opens one stream and sends the queued messages until it breaks. The first frame carries the address
// of this member, to which the receiver replies.
func (t *raftTransport) sendUntilBroken(ctx context.Context, s *sender) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.setEndStream(cancel)
	stream, err := t.pool.Step(ctx, s.address)
	if err != nil {
		return
	}
	address := t.address
	for {
		select {
		case <-ctx.Done():
			return
		case <-stream.Context().Done():
			return
		case message := <-s.queue:
			frame := s.nextFrame(t.group, message)
			frame.Address, address = address, ""
			if err := stream.Send(frame); err != nil {
				return
			}
		}
	}
}

// nextFrame returns a frame of the first message and those that are queued behind it.
func (s *sender) nextFrame(group uint32, first raft.Message) *protocol.StepFrame {
	frame := &protocol.StepFrame{Group: group, Messages: []raft.Message{first}}
	for len(frame.Messages) < maxFrameMessages {
		select {
		case next := <-s.queue:
			frame.Messages = append(frame.Messages, next)
			continue
		default:
		}
		break
	}
	return frame
}
