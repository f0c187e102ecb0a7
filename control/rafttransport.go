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
	// senderQueueLength bounds the messages that wait for one member. The log repeats what is dropped.
	senderQueueLength = 4096
	// streamRetryDelay is the wait before a broken stream is opened again.
	streamRetryDelay = 50 * time.Millisecond
	// maxFrameMessages bounds the messages of one frame.
	maxFrameMessages = 64
	// maxSenders bounds the goroutines for members that are not listed; a deployment has at most 19 members.
	maxSenders = 64
)

// raftTransport sends log messages to the other members. The control goroutine uses it; one goroutine per member sends.
type raftTransport struct {
	group   uint32
	self    raft.MemberID
	address string
	pool    *rpc.Pool
	ctx     context.Context
	senders map[raft.MemberID]*sender
	sending sync.WaitGroup
}

// sender carries messages to one address.
type sender struct {
	address string
	queue   chan raft.Message
	cancel  context.CancelFunc
}

func newRaftTransport(ctx context.Context, group uint32, self raft.MemberID, address string, pool *rpc.Pool) *raftTransport {
	return &raftTransport{group: group, self: self, address: address, pool: pool, ctx: ctx, senders: make(map[raft.MemberID]*sender)}
}

// update starts and stops senders for a membership.
func (p *raftTransport) update(membership raft.Membership) {
	for id, current := range p.senders {
		member, ok := membership.Find(id)
		if !ok || member.Address != current.address {
			current.cancel()
			delete(p.senders, id)
		}
	}
	for _, member := range membership.Members {
		p.addSender(member.ID, member.Address)
	}
}

// addSender starts a sender to a member unless there is one. A replica without a membership, such as one that was just
// added or that founds its group after the others, learns from the messages that it gets where to send its answers.
func (p *raftTransport) addSender(id raft.MemberID, address string) {
	if id == p.self || address == "" || p.senders[id] != nil {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	s := &sender{address: address, queue: make(chan raft.Message, senderQueueLength), cancel: cancel}
	p.senders[id] = s
	p.sending.Go(func() { p.run(ctx, s) })
}

// send queues messages; it drops those of a member that does not keep up.
func (p *raftTransport) send(messages []raft.Message) {
	for _, message := range messages {
		s := p.senders[message.To]
		if s == nil {
			continue
		}
		select {
		case s.queue <- message:
		default:
		}
	}
}

func (p *raftTransport) run(ctx context.Context, s *sender) {
	defer s.cancel()
	for ctx.Err() == nil {
		p.sendUntilBroken(ctx, s)
		select {
		case <-ctx.Done():
		case <-time.After(streamRetryDelay):
		}
	}
}

// sendUntilBroken sends until the sendUntilBroken breaks.
func (p *raftTransport) sendUntilBroken(ctx context.Context, s *sender) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := p.pool.Step(ctx, s.address)
	if err != nil {
		return
	}
	address := p.address
	for {
		select {
		case <-ctx.Done():
			return
		case <-stream.Context().Done():
			return
		case message := <-s.queue:
			frame := s.nextFrame(p.group, message)
			frame.Address, address = address, ""
			if err := stream.Send(frame); err != nil {
				return
			}
		}
	}
}

// nextFrame gathers the messages that are already waiting.
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
