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
	// peerQueueLength bounds the messages that wait for one member. The log repeats what is dropped.
	peerQueueLength = 4096
	// peerRetryDelay is the wait before a broken stream is opened again.
	peerRetryDelay = 50 * time.Millisecond
	// peerBatch bounds the messages of one frame.
	peerBatch = 64
	// maxSenders bounds the goroutines for members that are not listed; a deployment has at most 19 members.
	maxSenders = 64
)

// peers sends log messages to the other members. The control goroutine uses it; one goroutine per member sends.
type peers struct {
	group   uint32
	self    raft.MemberID
	address string
	pool    *rpc.Pool
	ctx     context.Context
	senders map[raft.MemberID]*sender
	running sync.WaitGroup
}

// sender carries messages to one address.
type sender struct {
	address string
	queue   chan raft.Message
	cancel  context.CancelFunc
}

func newPeers(ctx context.Context, group uint32, self raft.MemberID, address string, pool *rpc.Pool) *peers {
	return &peers{
		group: group, self: self, address: address, pool: pool, ctx: ctx, senders: make(map[raft.MemberID]*sender),
	}
}

// learn lets this replica reply to a sender that its membership does not list. A new member has no membership before
// its first entry, and the leader finds out by a reply where that member's log ends.
func (p *peers) learn(id raft.MemberID, address string) {
	if address == "" || id == p.self || p.senders[id] != nil || len(p.senders) >= maxSenders {
		return
	}
	p.start(id, address)
}

func (p *peers) start(id raft.MemberID, address string) {
	ctx, cancel := context.WithCancel(p.ctx)
	s := &sender{address: address, queue: make(chan raft.Message, peerQueueLength), cancel: cancel}
	p.senders[id] = s
	p.running.Go(func() { p.run(ctx, s) })
}

// update starts and stops senders for a membership.
func (p *peers) update(membership raft.Membership) {
	for id, current := range p.senders {
		member, ok := membership.Find(id)
		if !ok || member.Address != current.address {
			current.cancel()
			delete(p.senders, id)
		}
	}
	for _, member := range membership.Members {
		if member.ID == p.self || p.senders[member.ID] != nil {
			continue
		}
		p.start(member.ID, member.Address)
	}
}

// send queues messages; it drops those of a member that does not keep up.
func (p *peers) send(messages []raft.Message) {
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

func (p *peers) run(ctx context.Context, s *sender) {
	defer s.cancel()
	for ctx.Err() == nil {
		p.stream(ctx, s)
		select {
		case <-ctx.Done():
		case <-time.After(peerRetryDelay):
		}
	}
}

// stream sends until the stream breaks.
func (p *peers) stream(ctx context.Context, s *sender) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := p.pool.Step(ctx, s.address)
	if err != nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-stream.Context().Done():
			return
		case message := <-s.queue:
			if err := stream.Send(s.frame(p.group, p.address, message)); err != nil {
				return
			}
		}
	}
}

// frame gathers the messages that are already waiting.
func (s *sender) frame(group uint32, from string, first raft.Message) *protocol.StepFrame {
	frame := &protocol.StepFrame{Group: group, Address: from, Messages: []raft.Message{first}}
	for len(frame.Messages) < peerBatch {
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
