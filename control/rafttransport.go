package control

import (
	"context"
	"sync"
	"time"

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
	// maxSenders bounds the goroutines that messages from unlisted members can start. A deployment has at most 19 members.
	maxSenders = 64
)

// raftTransport sends the Raft messages of one group to the other members. Only the control goroutine calls its
// methods; one goroutine for each member sends.
type raftTransport struct {
	group   uint32
	self    raft.MemberID
	address string
	pool    *rpc.Pool
	ctx     context.Context
	senders map[raft.MemberID]*sender
	sending sync.WaitGroup
}

// sender holds the messages that are queued for one member.
type sender struct {
	address string
	queue   chan raft.Message
	cancel  context.CancelFunc
}

func newRaftTransport(ctx context.Context, group uint32, self raft.MemberID, address string, pool *rpc.Pool) *raftTransport {
	return &raftTransport{group: group, self: self, address: address, pool: pool, ctx: ctx, senders: make(map[raft.MemberID]*sender)}
}

// update stops the senders to members that have left or moved to another address, and starts those of new members. A
// leader that is not listed keeps its sender: the membership may be that of an old snapshot which it has just sent, and
// the reply would be lost.
func (t *raftTransport) update(membership raft.Membership, leader raft.MemberID) {
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
		t.addSender(member.ID, member.Address)
	}
}

// addSender starts a sender to a member unless there is one. A replica that has no membership yet, such as one that was
// just added or that forms its group after the other founders, needs it to reply to the messages that it receives.
func (t *raftTransport) addSender(id raft.MemberID, address string) {
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
	s := &sender{address: address, queue: make(chan raft.Message, senderQueueLength), cancel: cancel}
	t.senders[id] = s
	t.sending.Go(func() { t.run(ctx, s) })
}

// send queues messages. It drops messages to members without a sender or with a full queue.
func (t *raftTransport) send(messages []raft.Message) {
	for _, message := range messages {
		s := t.senders[message.To]
		if s == nil {
			continue
		}
		select {
		case s.queue <- message:
		default:
		}
	}
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
