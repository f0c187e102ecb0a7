package raft_test

import (
	"flag"
	"fmt"
	"math/rand"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/invariant"
)

// TestMain fixes the seed of the property tests, so that every run checks the same cases, and makes a violated
// invariant fail the test.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	invariant.SetHandler(func(name invariant.Name, message string, values map[string]any) {
		panic(fmt.Sprintf("%s: %s: %v", name, message, values))
	})
	os.Exit(m.Run())
}

func TestRaft(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "raft")
}

func (c *cluster) status(id raft.MemberID) raft.Status { return c.member(id).node.Status() }

func (c *cluster) otherVoters(leader *member) (*member, *member) {
	var list []*member
	for _, m := range c.members {
		if m != leader && m.node.Status().Membership.IsVoter(m.id) {
			list = append(list, m)
		}
	}
	return list[0], list[1]
}

var _ = Describe("A group", func() {
	var c *cluster
	var leader, first, second *member
	BeforeEach(func() {
		c = newCluster(1, voters("a", "b", "c"), "d")
		leader = c.awaitLeader()
		c.run(500 * time.Millisecond)
		first, second = c.otherVoters(leader)
	})

	// Guards against a member that deposes a leader with a quorum when it reconnects after a partition.
	It("keeps its leader and term when a partitioned member reconnects", func() {
		term := leader.node.Status().Term
		c.isolate(first.id)
		c.run(10 * time.Second)
		c.heal()
		c.run(2 * time.Second)
		Expect(c.leader()).To(Equal(leader))
		Expect(c.status(first.id).Term).To(Equal(term))
		Expect(c.status(first.id).Leader).To(Equal(leader.id))
	})

	// Guards against a leader that accepts proposals or confirms its state without a quorum.
	It("makes a leader without a quorum step down, and lets the age of its state grow", func() {
		c.isolate(leader.id)
		c.run(1500 * time.Millisecond)
		s := leader.node.Status()
		Expect(s.Role).NotTo(Equal(raft.RoleLeader))
		Expect(s.Leader).To(BeEmpty())
		Expect(s.QuorumLost).To(BeTrue())
		Expect(c.propose(leader, 1)).To(MatchError(raft.ErrNotLeader))
		c.run(5 * time.Second)
		age, ok := leader.node.ConfirmedAge(c.clock(leader))
		Expect(ok).To(BeTrue())
		Expect(age).To(BeNumerically(">", 6*time.Second))
		c.heal()
		c.run(2 * time.Second)
		Expect(leader.node.Status().QuorumLost).To(BeFalse())
	})

	// Guards against members that cannot serve reads until the next heartbeat and poll after an election, although the
	// leader knows that their state is current. After a loss of power all other processes wait for them.
	It("confirms the state of all members a few round trips after an election", func() {
		for seed := range int64(20) {
			c := newCluster(seed, voters("a", "b", "c"))
			c.awaitLeader()
			c.run(100 * time.Millisecond)
			for _, m := range c.members {
				_, confirmed := m.node.ConfirmedAge(c.clock(m))
				Expect(confirmed).To(BeTrue(), "seed %d, member %s", seed, m.id)
			}
		}
	})

	// Guards against a new leader that replies to polls with the age that its predecessor confirmed.
	It("confirms the state of all members again after a change of the leader", func() {
		c.run(2 * time.Second)
		c.crash(leader)
		c.awaitLeader()
		c.run(100 * time.Millisecond)
		for _, m := range []*member{first, second} {
			age, _ := m.node.ConfirmedAge(c.clock(m))
			Expect(age).To(BeNumerically("<", 200*time.Millisecond))
		}
	})

	// Guards against a replacement of a member that leaves committed entries on too few members.
	It("survives the loss of a second member right after a replacement", func() {
		Expect(c.propose(leader, 60)).To(Succeed())
		c.run(time.Second)
		c.crash(first)
		Expect(c.change(leader, raft.ChangeAddLearner, "d")).To(Succeed())
		Expect(c.change(leader, raft.ChangeRemove, first.id)).To(MatchError(raft.ErrMembershipPending))
		c.run(time.Second)
		Expect(c.change(leader, raft.ChangePromote, "d")).To(Succeed())
		c.run(time.Second)
		Expect(c.change(leader, raft.ChangeRemove, first.id)).To(Succeed())
		c.run(time.Second)
		last := leader.node.Status().Commit
		c.crash(leader)
		successor := c.awaitLeader()
		Expect(successor.node.Status().Commit).To(BeNumerically(">", last))
		Expect(c.propose(successor, 1)).To(Succeed())
		c.run(time.Second)
		Expect(c.member("d").applied).To(Equal(successor.node.Status().LastIndex))
		Expect(c.status("d").Membership.Voters()).To(ConsistOf(leader.id, second.id, raft.MemberID("d")))
	})

	// Guards against counting a learner that lacks committed entries towards the quorum.
	It("promotes a learner only when it is caught up", func() {
		Expect(c.change(leader, raft.ChangeAddLearner, "d")).To(Succeed())
		c.run(30 * time.Millisecond)
		c.isolate("d")
		Expect(c.propose(leader, 1)).To(Succeed())
		c.run(100 * time.Millisecond)
		Expect(leader.node.Status().Progress["d"].SinceContact).To(BeNumerically("<", time.Second))
		Expect(c.change(leader, raft.ChangePromote, "d")).To(MatchError(raft.ErrNotCaughtUp))
		c.heal()
		c.run(time.Second)
		Expect(c.change(leader, raft.ChangePromote, "d")).To(Succeed())
		c.run(time.Second)
		c.crash(first)
		c.crash(second)
		c.run(2 * time.Second)
		Expect(leader.node.Status().QuorumLost).To(BeTrue())
	})

	// Guards against a member with a newer term that can neither win an election nor follow the leader.
	It("lets a member with a newer term rejoin", func() {
		c.crash(first)
		c.restart(first)
		hs := raft.HardState{Term: 9, Vote: first.id}
		must(first.log.Append(hs, nil))
		c.restart(first)
		c.run(3 * time.Second)
		Expect(c.leader().node.Status().Term).To(BeNumerically(">", 9))
		Expect(c.status(first.id).Leader).To(Equal(c.leader().id))
	})

	It("transfers the leadership without an election timeout", func() {
		Expect(leader.node.TransferLeadership(c.clock(leader), "d")).To(MatchError(raft.ErrUnknownMember))
		Expect(leader.node.TransferLeadership(c.clock(leader), second.id)).To(Succeed())
		Expect(c.propose(leader, 1)).To(MatchError(raft.ErrTransferring))
		c.run(100 * time.Millisecond)
		Expect(c.leader()).To(Equal(second))
	})

	// Guards against a leader that keeps leading, or blocks the group, after its own removal.
	It("continues after the leader removes itself", func() {
		Expect(c.change(leader, raft.ChangeRemove, leader.id)).To(Succeed())
		c.run(200 * time.Millisecond)
		Expect(leader.node.Status().Role).To(Equal(raft.RoleFollower))
		successor := c.leader()
		Expect(c.propose(successor, 1)).To(Succeed())
		c.run(100 * time.Millisecond)
		Expect(successor.node.Status().Commit).To(Equal(successor.node.Status().LastIndex))
	})

	// Guards against a follower that stays behind once the entries it lacks are compacted.
	It("brings a follower up to date with a snapshot", func() {
		c.isolate(first.id)
		// The leader sends its first snapshot while the follower is partitioned, so that the snapshot is lost.
		Expect(c.propose(leader, 200)).To(Succeed())
		c.run(time.Second)
		Expect(leader.node.Status().FirstIndex).To(BeNumerically(">", first.applied+1))
		c.heal()
		c.run(time.Second)
		Expect(first.applied).To(Equal(leader.applied))
		Expect(c.status(first.id).SnapshotIndex).To(BeNumerically(">", 100))
	})

	// Guards against heartbeats and polls that cost more than the data that is replicated.
	It("sends few and small messages while idle", func() {
		c.run(time.Second)
		c.recordMessages, c.recordedMessages = true, nil
		c.run(10 * time.Second)
		size := 0
		for _, m := range c.recordedMessages {
			data, err := cbor.Marshal(m)
			Expect(err).NotTo(HaveOccurred())
			size += len(data)
		}
		AddReportEntry("messages and bytes", []int{len(c.recordedMessages), size})
		// Per follower and second: 7 heartbeats, 7 replies and 4 poll replies, of 25 bytes with IDs of one character.
		Expect(len(c.recordedMessages)).To(BeNumerically("<=", 2*10*18))
		Expect(size).To(BeNumerically("<=", 2*10*18*25))
	})
})

// singleNode is node a of a group of three. The test sends it the messages of its peers b and c.
type singleNode struct {
	node *raft.Node
	now  time.Time
}

func newSingleNode(hs raft.HardState, entries ...raft.Entry) *singleNode {
	s := &singleNode{now: time.Unix(1000, 0)}
	var err error
	s.node, err = raft.New(s.now, raft.Config{ID: "a", Rand: rand.New(rand.NewSource(1))},
		raft.Restored{HardState: hs, Entries: entries, Membership: voters("a", "b", "c")})
	Expect(err).NotTo(HaveOccurred())
	return s
}

func (s *singleNode) step(from raft.MemberID, m raft.Message) {
	m.From, m.To = from, "a"
	Expect(s.node.Step(s.now, m)).To(Succeed())
}

func (s *singleNode) advance() raft.Ready {
	r := s.node.Ready()
	s.node.Advance(r)
	return r
}

// becomeLeader makes the node the leader of the next term.
func (s *singleNode) becomeLeader() uint64 {
	s.now = s.now.Add(2 * time.Second)
	s.node.Tick(s.now)
	term := s.node.Status().Term + 1
	s.step("b", raft.Message{Type: raft.MessagePreVoteReply, Term: term})
	s.advance()
	s.step("b", raft.Message{Type: raft.MessageVoteReply, Term: term})
	Expect(s.node.Status().Role).To(Equal(raft.RoleLeader))
	return term
}

func messageTypes(messages []raft.Message) []raft.MessageType {
	var list []raft.MessageType
	for _, m := range messages {
		list = append(list, m.Type)
	}
	return list
}

var _ = Describe("A node", func() {
	// Guards against two votes in one term: a member that crashes before its vote is durable could vote again.
	It("sends a vote only after the write", func() {
		s := newSingleNode(raft.HardState{Term: 1})
		s.step("b", raft.Message{Type: raft.MessageVote, Term: 2})
		r := s.node.Ready()
		Expect(r.MustSync).To(BeTrue())
		Expect(r.HardState).To(Equal(raft.HardState{Term: 2, Vote: "b"}))
		Expect(r.EarlyMessages).To(BeEmpty())
		Expect(messageTypes(r.Messages)).To(Equal([]raft.MessageType{raft.MessageVoteReply}))
		s.node.Advance(r)
		s.step("c", raft.Message{Type: raft.MessageVote, Term: 2, Index: 9, LogTerm: 1})
		Expect(s.advance().Messages[0].Reject).To(BeTrue())
	})

	// Guards against confirming entries that a crash before the write would lose.
	It("confirms entries only after the write", func() {
		s := newSingleNode(raft.HardState{Term: 1})
		entry := raft.Entry{Index: 1, Term: 1, Kind: raft.EntryNoop}
		s.step("b", raft.Message{Type: raft.MessageAppend, Term: 1, Entries: []raft.Entry{entry}})
		r := s.node.Ready()
		Expect(r.Entries).To(Equal([]raft.Entry{entry}))
		Expect(messageTypes(r.EarlyMessages)).NotTo(ContainElement(raft.MessageAppendReply))
		Expect(messageTypes(r.Messages)).To(Equal([]raft.MessageType{raft.MessageAppendReply}))
	})

	// Guards against a leader that counts its own entries before they are durable, or that delays messages until its disk
	// has written.
	It("sends appends early and counts itself after the write", func() {
		s := newSingleNode(raft.HardState{})
		term := s.becomeLeader()
		r := s.node.Ready()
		Expect(messageTypes(r.EarlyMessages)).To(ContainElement(raft.MessageAppend))
		Expect(s.node.Status().Progress["a"].Match).To(BeZero())
		s.step("b", raft.Message{Type: raft.MessageAppendReply, Term: term, Index: 1})
		Expect(s.node.Status().Commit).To(BeZero(), "one of two needed copies is durable")
		_, _, err := s.node.Propose(s.now, []byte("later"))
		Expect(err).NotTo(HaveOccurred())
		s.node.Advance(r)
		Expect(s.node.Status().Progress["a"].Match).To(Equal(uint64(1)))
		Expect(s.node.Status().Commit).To(Equal(uint64(1)))
		s.advance()
		s.step("b", raft.Message{Type: raft.MessageAppendReply, Term: term, Index: 2})
		Expect(messageTypes(s.advance().EarlyMessages)).To(ContainElement(raft.MessageCommit), "announced at once")
	})

	// Guards against the only voter of a group using one term twice: if it sent entries before its new term is durable
	// and crashed, it would start the same term again with other entries.
	It("sends nothing in a new term before the term is durable", func() {
		s := newSingleNode(raft.HardState{})
		group := voters("a", "b")
		group.Members[1].Learner = true
		var err error
		s.node, err = raft.New(s.now, raft.Config{ID: "a", Rand: rand.New(rand.NewSource(1))}, raft.Restored{Membership: group})
		Expect(err).NotTo(HaveOccurred())
		s.node.Tick(s.now.Add(2 * time.Second))
		r := s.node.Ready()
		Expect(r.EarlyMessages).To(BeEmpty())
		Expect(messageTypes(r.Messages)).To(ContainElement(raft.MessageAppend))
	})

	// Guards against an election that loses committed entries, or that deposes a leader with a quorum.
	It("refuses votes to shorter logs and while it has contact with a leader", func() {
		s := newSingleNode(raft.HardState{Term: 1}, raft.Entry{Index: 1, Term: 1})
		s.step("b", raft.Message{Type: raft.MessageVote, Term: 2})
		Expect(s.advance().Messages[0].Reject).To(BeTrue())
		s.step("b", raft.Message{Type: raft.MessageHeartbeat, Term: 2})
		s.step("c", raft.Message{Type: raft.MessageVote, Term: 3, Index: 1, LogTerm: 1})
		Expect(s.node.Status().Term).To(Equal(uint64(2)))
		s.step("c", raft.Message{Type: raft.MessageVote, Term: 3, Index: 1, LogTerm: 1, Force: true})
		Expect(s.advance().HardState.Vote).To(Equal(raft.MemberID("c")))
	})

	// Guards against commits, durable writes and memberships that take effect although their entries were replaced.
	It("discards entries of a deposed leader", func() {
		s := newSingleNode(raft.HardState{Term: 1}, raft.Entry{Index: 1, Term: 1})
		changed, err := cbor.Marshal(voters("a", "b", "c", "d"))
		Expect(err).NotTo(HaveOccurred())
		replaced := raft.Entry{Index: 2, Term: 1, Kind: raft.EntryMembership, Data: changed}
		s.step("b", raft.Message{Type: raft.MessageAppend, Term: 1, Index: 1, LogTerm: 1, Entries: []raft.Entry{replaced}})
		Expect(s.node.Status().Membership.Members).To(HaveLen(4))
		writing := s.node.Ready()
		s.step("c", raft.Message{Type: raft.MessageAppend, Term: 2, Index: 1, LogTerm: 1, Commit: 2})
		Expect(s.node.Status().Commit).To(Equal(uint64(1)))
		s.step("c", raft.Message{Type: raft.MessageCommit, Term: 2, Index: 2, LogTerm: 2, Commit: 2})
		Expect(s.node.Status().Commit).To(Equal(uint64(1)))
		entry := raft.Entry{Index: 2, Term: 2, Kind: raft.EntryNoop}
		s.step("c", raft.Message{Type: raft.MessageAppend, Term: 2, Index: 1, LogTerm: 1, Entries: []raft.Entry{entry}})
		Expect(s.node.Status().Membership.Members).To(HaveLen(3))
		s.node.Advance(writing)
		Expect(s.node.Ready().Entries).To(Equal([]raft.Entry{entry}))
	})

	// Guards against an election won with a snapshot that a crash before the write would lose.
	It("starts no election before a snapshot is durable", func() {
		s := newSingleNode(raft.HardState{Term: 1})
		snapshot := raft.Snapshot{Index: 5, Term: 1, Membership: voters("a", "b", "c")}
		s.step("b", raft.Message{Type: raft.MessageSnapshot, Term: 1, Snapshot: &snapshot})
		s.node.Tick(s.now.Add(5 * time.Second))
		Expect(s.node.Status().Role).To(Equal(raft.RoleFollower))
		Expect(*s.advance().Snapshot).To(Equal(snapshot))
		s.node.Tick(s.now.Add(10 * time.Second))
		Expect(s.node.Status().Role).To(Equal(raft.RolePreCandidate))
	})

	// Guards against committing an entry of an earlier term by counting copies: a later leader could replace it.
	It("commits earlier entries only with one of its own term", func() {
		s := newSingleNode(raft.HardState{Term: 2}, raft.Entry{Index: 1, Term: 1}, raft.Entry{Index: 2, Term: 2})
		term := s.becomeLeader()
		s.advance()
		s.step("b", raft.Message{Type: raft.MessageAppendReply, Term: term, Index: 2})
		Expect(s.node.Status().Commit).To(BeZero())
		s.step("b", raft.Message{Type: raft.MessageAppendReply, Term: term, Index: 3})
		Expect(s.node.Status().Commit).To(Equal(uint64(3)))
	})

	// Guards against unlimited appends to a follower that does not reply, and against unlimited memory for proposals.
	It("limits appends without a reply and uncommitted bytes", func() {
		s := newSingleNode(raft.HardState{})
		term := s.becomeLeader()
		s.step("b", raft.Message{Type: raft.MessageAppendReply, Term: term, Index: 1})
		s.advance()
		for range 100 {
			_, _, err := s.node.Propose(s.now, make([]byte, 300<<10), make([]byte, 300<<10))
			Expect(err).NotTo(HaveOccurred())
		}
		appends := 0
		for _, m := range s.advance().EarlyMessages {
			if m.To == "b" && m.Type == raft.MessageAppend {
				appends++
			}
		}
		Expect(appends).To(Equal(64))
		_, _, err := s.node.Propose(s.now, make([]byte, 8<<20))
		Expect(err).To(MatchError(raft.ErrOverloaded))
		_, _, err = s.node.Propose(s.now, make([]byte, raft.MaxEntryBytes+1))
		Expect(err).To(MatchError(raft.ErrTooLarge))
	})

	// Guards against a reply that arrives after the member which sent the poll has restarted. If it matched a poll of the
	// new run, the state would seem younger than it is.
	It("ignores replies to polls that it sent before a restart", func() {
		s := newSingleNode(raft.HardState{Term: 1})
		s.step("b", raft.Message{Type: raft.MessageHeartbeat, Term: 1, Round: 1})
		poll := s.advance().EarlyMessages[0].Poll
		restarted := &singleNode{now: s.now}
		var err error
		restarted.node, err = raft.New(s.now, raft.Config{ID: "a", Rand: rand.New(rand.NewSource(2))},
			raft.Restored{HardState: raft.HardState{Term: 1}, Membership: voters("a", "b", "c")})
		Expect(err).NotTo(HaveOccurred())
		for _, node := range []*singleNode{restarted, s} {
			node.step("b", raft.Message{Type: raft.MessageHeartbeat, Term: 1, Round: 1})
			node.step("b", raft.Message{Type: raft.MessagePollReply, Term: 1, Poll: poll, Age: time.Second})
		}
		_, ok := restarted.node.ConfirmedAge(s.now)
		Expect(ok).To(BeFalse())
		age, _ := s.node.ConfirmedAge(s.now)
		Expect(age).To(Equal(1010 * time.Millisecond))
	})

	// Guards against a group that waits for a lost leader longer than for another lost member: if the silence started
	// anew with each election, the repair could take longer than the time until the next loss.
	It("counts the silence of the former leader from its last message", func() {
		c := newCluster(1, voters("a", "b", "c"))
		c.run(3 * time.Second)
		former := c.awaitLeader()
		c.crash(former)
		crashed := c.now
		next := c.awaitLeader()
		Expect(next.id).NotTo(Equal(former.id))
		progress := next.node.Status().Progress[former.id]
		Expect(progress.SinceContact).To(BeNumerically("<", 0), "no message in this term")
		Expect(progress.Silence).To(BeNumerically("~", c.now-crashed, 300*time.Millisecond))
		c.restart(former)
		c.run(time.Second)
		Expect(next.node.Status().Progress[former.id].Silence).To(BeNumerically("<", 500*time.Millisecond))
	})

	It("refuses malformed messages and inconsistent state", func() {
		s := newSingleNode(raft.HardState{Term: 1})
		gap := []raft.Entry{{Index: 3, Term: 1}}
		Expect(s.node.Step(s.now, raft.Message{From: "b", To: "a", Type: raft.MessageAppend, Term: 1, Entries: gap})).
			To(MatchError(raft.ErrInvalidMessage))
		Expect(s.node.Step(s.now, raft.Message{From: "b", To: "c", Term: 1})).To(MatchError(raft.ErrInvalidMessage))
		_, err := raft.New(s.now, raft.Config{ID: "a", Rand: rand.New(rand.NewSource(1))}, raft.Restored{Entries: gap})
		Expect(err).To(MatchError(raft.ErrInvalidState))
	})
})
