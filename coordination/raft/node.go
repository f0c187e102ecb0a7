package raft

import (
	"math/rand"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/invariant"
)

// Defaults of Config.
const (
	defaultElectionTimeout     = time.Second
	defaultHeartbeatInterval   = 150 * time.Millisecond
	defaultPollInterval        = 250 * time.Millisecond
	defaultMaxAppendBytes      = 256 << 10
	defaultMaxInflightAppends  = 64
	defaultMaxUncommittedBytes = 64 << 20
	defaultTrailingEntries     = 1024
)

// Node is one member of the group. It is not safe for concurrent use.
type Node struct {
	config Config
	rng    *rand.Rand
	now    time.Time

	term, commit, applied uint64
	vote                  MemberID
	// persistedTerm and persistedVote are the durable term and vote. Messages that depend on newer ones wait for the
	// write.
	persistedTerm uint64
	persistedVote MemberID

	log      memoryLog
	snapshot Snapshot
	// pendingSnapshot is a received snapshot that is not durable yet.
	pendingSnapshot *Snapshot
	// memberships holds the membership at the last snapshot and those of later entries, in order of their index.
	memberships []membershipRecord

	role   Role
	leader MemberID
	// leaderContact is the time of the last message from lastLeader, which is the present leader or the one before.
	leaderContact    time.Time
	lastLeader       MemberID
	electionDeadline time.Time
	votes            map[MemberID]bool
	quorumLost       bool
	startedAt        time.Time
	// lastLed is the last time at which this member was the leader.
	lastLed time.Time
	// votersSilence is the shortest silence of leaders that a member reported with its vote in the present election.
	votersSilence time.Duration

	// leaving is set once this member is about to end, released once it may, and removed once it may because the group has
	// removed it. nextLeave is when it asks again, leaveRequest the number of its request.
	leaving, released, removed bool
	nextLeave                  time.Time
	leaveRequest               uint64

	leaderState leaderState
	freshness   freshness

	// earlyMessages and messages become Ready.EarlyMessages and Ready.Messages.
	earlyMessages, messages []Message
	// readyPending is set from Ready until Advance.
	readyPending bool
}

// leaderState is the state of a leader.
type leaderState struct {
	progress         map[MemberID]*progress
	electedAt        time.Time
	formerSilence    time.Duration
	termStart        uint64 // index of the first entry of this term
	uncommittedBytes int
	nextHeartbeat    time.Time
	round            uint64  // number of the last heartbeat round
	rounds           []round // rounds to which a quorum has not replied yet
	// stateConfirmed is set once a quorum has confirmed the state as current in this term. deferredPolls holds the number
	// of each member's last poll until then.
	stateConfirmed bool
	deferredPolls  map[MemberID]uint64
	// transferee is the target of a leadership transfer in progress, which is given up at transferDeadline.
	transferee       MemberID
	transferDeadline time.Time
	// replicationPending is set if entries or a commit index may have to be sent to members.
	replicationPending bool
}

// withDefaults replaces unset values.
func (c Config) withDefaults() Config {
	setDefault(&c.ElectionTimeout, defaultElectionTimeout)
	setDefault(&c.HeartbeatInterval, defaultHeartbeatInterval)
	setDefault(&c.PollInterval, defaultPollInterval)
	setDefault(&c.MaxAppendBytes, defaultMaxAppendBytes)
	setDefault(&c.MaxInflightAppends, defaultMaxInflightAppends)
	setDefault(&c.MaxUncommittedBytes, defaultMaxUncommittedBytes)
	setDefault(&c.TrailingEntries, defaultTrailingEntries)
	return c
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

func (c Config) validate() error {
	if c.ID == "" || c.Rand == nil {
		return errors.New("raft: ID and Rand must be set")
	}
	if c.HeartbeatInterval < 0 || c.ElectionTimeout <= 2*c.HeartbeatInterval {
		return errors.Newf("raft: election timeout %v must exceed two heartbeat intervals of %v",
			c.ElectionTimeout, c.HeartbeatInterval)
	}
	return nil
}

// New starts a member from its durable state. The application must have restored Restored.Snapshot; Ready returns the
// entries after it once they are known to be committed. The error is ErrInvalidState, or says which setting is wrong.
func New(now time.Time, c Config, r Restored) (*Node, error) {
	c = c.withDefaults()
	if err := c.validate(); err != nil {
		return nil, err
	}
	if err := r.validate(); err != nil {
		return nil, err
	}
	n := &Node{
		config: c, rng: c.Rand, now: now, startedAt: now,
		term: r.HardState.Term, vote: r.HardState.Vote,
		commit:   max(r.HardState.Commit, r.Snapshot.Index),
		applied:  r.Snapshot.Index,
		snapshot: r.Snapshot,
	}
	// The member may have crashed after it wrote a snapshot and before it wrote the term in which the snapshot arrived.
	// It has not voted in that term, since a vote is written together with its term.
	if r.Snapshot.Term > n.term {
		n.term, n.vote = r.Snapshot.Term, ""
	}
	n.persistedTerm, n.persistedVote = n.term, n.vote
	n.log.reset(r.Snapshot)
	n.log.append(r.Entries...)
	n.log.stable = n.log.last()
	if err := n.restoreMemberships(r); err != nil {
		return nil, err
	}
	// Poll numbers start at random, so that a late reply to a poll sent before a restart matches no poll sent after it.
	n.freshness.lastPoll = n.rng.Uint64() >> 1
	n.setInitialElectionDeadline()
	return n, nil
}

func (r Restored) validate() error {
	previous := Entry{Index: r.Snapshot.Index, Term: r.Snapshot.Term}
	for _, entry := range r.Entries {
		if entry.Index != previous.Index+1 || entry.Term < previous.Term {
			return errors.Wrapf(ErrInvalidState, "entry %d of term %d follows entry %d of term %d",
				entry.Index, entry.Term, previous.Index, previous.Term)
		}
		previous = entry
	}
	if r.HardState.Commit > previous.Index {
		return errors.Wrapf(ErrInvalidState, "commit index %d is after the last entry %d", r.HardState.Commit, previous.Index)
	}
	if len(r.Entries) > 0 && previous.Term > r.HardState.Term && previous.Term > r.Snapshot.Term {
		return errors.Wrapf(ErrInvalidState, "entry of term %d is newer than the term %d of the hard state", previous.Term, r.HardState.Term)
	}
	return nil
}

// setNow advances the member's time. An earlier time has no effect.
func (n *Node) setNow(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
	if n.role == RoleLeader {
		n.lastLed = n.now
	}
}

// Tick advances the member's time and runs its timers. It must be called about every 20 ms.
func (n *Node) Tick(now time.Time) {
	n.setNow(now)
	if n.mayEnd() {
		return
	}
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	n.tickLeave()
	if !n.now.Before(n.electionDeadline) {
		n.leader = ""
		n.startPreVote()
	}
	n.tickPoll()
}

func (n *Node) tickLeader() {
	if !n.hasQuorumContact() {
		n.becomeFollower(n.term, "")
		n.quorumLost = true
		return
	}
	if n.leaderState.transferee != "" && !n.now.Before(n.leaderState.transferDeadline) {
		n.leaderState.transferee = ""
	}
	if !n.now.Before(n.leaderState.nextHeartbeat) {
		n.startRound()
	}
}

// Step processes a message from another member. The error is ErrInvalidMessage.
func (n *Node) Step(now time.Time, m Message) error {
	n.setNow(now)
	if err := n.validateMessage(m); err != nil {
		return err
	}
	if n.mayEnd() {
		return nil
	}
	if m.Term > n.term && !n.stepNewerTerm(m) {
		return nil
	}
	if m.Term < n.term {
		n.stepOlderTerm(m)
		return nil
	}
	return n.stepSameTerm(m)
}

func (n *Node) validateMessage(m Message) error {
	if m.To != n.config.ID || m.From == "" || m.From == n.config.ID {
		return errors.Wrapf(ErrInvalidMessage, "message from %q to %q received by %q", m.From, m.To, n.config.ID)
	}
	if m.Type == MessageSnapshot && m.Snapshot == nil {
		return errors.Wrap(ErrInvalidMessage, "snapshot message without a snapshot")
	}
	previous := Entry{Index: m.Index, Term: m.LogTerm}
	for _, entry := range m.Entries {
		if entry.Index != previous.Index+1 || entry.Term < previous.Term || entry.Term > m.Term {
			return errors.Wrapf(ErrInvalidMessage, "entry %d of term %d follows entry %d of term %d",
				entry.Index, entry.Term, previous.Index, previous.Term)
		}
		if entry.Kind == EntryMembership {
			if _, err := DecodeMembership(entry.Data); err != nil {
				return errors.Wrapf(ErrInvalidMessage, "entry %d: %v", entry.Index, err)
			}
		}
		previous = entry
	}
	return nil
}

// stepNewerTerm adopts the newer term of a message, unless the message does not require it. It returns whether the
// message must still be processed.
func (n *Node) stepNewerTerm(m Message) bool {
	switch m.Type {
	case MessagePreVote:
		n.handlePreVote(m)
		return false
	case MessagePreVoteReply:
		if !m.Reject {
			n.handlePreVoteReply(m)
			return false
		}
	case MessageVote:
		// Otherwise a member that was removed or partitioned could depose a leader that has a quorum.
		if n.hasLeaderContact() && !m.Force {
			return false
		}
	case MessageLeave:
		// A member that was removed must not depose the leader.
		return false
	}
	leader := MemberID("")
	if m.fromLeader() {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
	return true
}

// fromLeader reports whether only a leader of the message's term sends such a message.
func (m Message) fromLeader() bool {
	switch m.Type {
	case MessageAppend, MessageCommit, MessageHeartbeat, MessageSnapshot, MessagePollReply, MessageTimeoutNow,
		MessageLeaveReply:
		return true
	}
	return false
}

// stepOlderTerm replies to messages of an older term whose sender must learn of the newer one. Without the reply to a
// leader, a member with a newer term could never rejoin the group: it would lose each pre-vote, and it ignores the
// leader's messages.
func (n *Node) stepOlderTerm(m Message) {
	switch m.Type {
	case MessagePreVote:
		n.send(Message{To: m.From, Type: MessagePreVoteReply, Reject: true})
	case MessageAppend, MessageHeartbeat, MessageSnapshot, MessageLeave:
		n.send(Message{To: m.From, Type: MessageAppendReply, Reject: true})
	}
}

func (n *Node) stepSameTerm(m Message) error {
	if m.fromLeader() && !n.followLeader(m.From) {
		return errors.Wrapf(ErrInvalidMessage, "second leader %q in term %d", m.From, m.Term)
	}
	switch m.Type {
	case MessagePreVote:
		n.handlePreVote(m)
	case MessagePreVoteReply:
		n.handlePreVoteReply(m)
	case MessageVote:
		n.handleVote(m)
	case MessageVoteReply:
		n.handleVoteReply(m)
	case MessageAppend:
		n.handleAppend(m)
	case MessageAppendReply:
		n.handleAppendReply(m)
	case MessageCommit:
		n.handleCommit(m)
	case MessageHeartbeat:
		n.handleHeartbeat(m)
	case MessageHeartbeatReply:
		n.handleHeartbeatReply(m)
	case MessageSnapshot:
		n.handleSnapshot(m)
	case MessagePoll:
		n.replyToPoll(m)
	case MessagePollReply:
		n.handlePollReply(m)
	case MessageTimeoutNow:
		n.handleTimeoutNow()
	case MessageLeave:
		n.handleLeave(m)
	case MessageLeaveReply:
		n.handleLeaveReply(m)
	default:
		return errors.Wrapf(ErrInvalidMessage, "unknown message type %d", m.Type)
	}
	return nil
}

// followLeader records a message from the leader of this term. It returns false if the term has another leader.
func (n *Node) followLeader(id MemberID) bool {
	unique := n.leader == "" || n.leader == id
	if !n.check(unique, "two leaders in one term", map[string]any{"leader": n.leader, "other": id}) {
		return false
	}
	if n.role != RoleFollower || n.leader == "" {
		n.becomeFollower(n.term, id)
	}
	n.leaderContact = n.now
	n.resetElectionDeadline()
	return true
}

// check reports a violated invariant unless ok is set, and returns ok.
func (n *Node) check(ok bool, message string, values map[string]any) bool {
	if ok {
		return true
	}
	values["member"], values["term"], values["commit"] = n.config.ID, n.term, n.commit
	return invariant.Check(false, invariant.Internal, "raft: "+message, values)
}

// send queues a message. Votes and append replies tell others what this member has stored, so they wait for the write.
func (n *Node) send(m Message) {
	m.From = n.config.ID
	m.Leaving = n.leaving
	if m.Term == 0 {
		m.Term = n.term
	}
	switch m.Type {
	case MessageVote, MessageVoteReply, MessageAppendReply:
		n.messages = append(n.messages, m)
	default:
		n.earlyMessages = append(n.earlyMessages, m)
	}
}

// broadcast sends a message to each other member that the filter selects.
func (n *Node) broadcast(selected func(Member) bool, m Message) {
	for _, member := range n.membership().Members {
		if member.ID != n.config.ID && selected(member) {
			m.To = member.ID
			n.send(m)
		}
	}
}

func isVoter(member Member) bool { return !member.Learner }

// quorumValue returns the greatest value that a quorum of the voters has reached.
func (n *Node) quorumValue(value func(MemberID) uint64) uint64 {
	var values []uint64
	for _, id := range n.membership().Voters() {
		values = append(values, value(id))
	}
	return quorumOf(values)
}

// Status describes the member.
func (n *Node) Status() Status {
	s := Status{
		ID: n.config.ID, Leader: n.leader, Role: n.role,
		Term: n.term, Commit: n.commit, Applied: n.applied,
		FirstIndex: n.log.first(), LastIndex: n.log.last(), StableIndex: n.log.stable,
		SnapshotIndex:     n.snapshot.Index,
		Membership:        n.membership(),
		MembershipPending: n.membershipPending(),
		QuorumLost:        n.quorumLost,
		Transferring:      n.leaderState.transferee,
		Leaving:           n.leaving,
		Released:          n.mayEnd(),
		Removed:           n.removed,
	}
	if n.role != RoleLeader {
		return s
	}
	s.LeaderFor = n.now.Sub(n.leaderState.electedAt)
	s.FormerSilence = n.leaderState.formerSilence
	s.Progress = make(map[MemberID]MemberProgress)
	for id, p := range n.leaderState.progress {
		s.Progress[id] = p.status(n.now, n.config.ElectionTimeout)
	}
	return s
}
