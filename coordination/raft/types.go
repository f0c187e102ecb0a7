// Package raft implements a replicated log by the Raft consensus algorithm. A Node is a state machine without I/O: its
// inputs are messages and time, and Ready returns what to persist, to send and to apply. The package implements
// pre-vote, check-quorum, learners, single-step membership change, leadership transfer, snapshots and an upper bound on
// the age of a member's state.
//
// The caller drives a Node from one goroutine in this order: call Ready; send EarlyMessages; persist Snapshot, then
// HardState and Entries; send Messages; apply Snapshot or Committed; call Advance.
package raft

import (
	"math/rand"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of this package. Callers test for them with errors.Is.
var (
	// ErrNotLeader reports a request that only a leader can serve.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrTransferring reports a proposal during a leadership transfer.
	ErrTransferring = errors.New("raft: leadership transfer in progress")
	// ErrOverloaded reports a proposal while more than MaxUncommittedBytes would wait to be committed.
	ErrOverloaded = errors.New("raft: too many uncommitted bytes")
	// ErrTooLarge reports a proposal above MaxEntryBytes.
	ErrTooLarge = errors.New("raft: entry too large")
	// ErrMembershipPending reports a membership change that must wait: another change is not committed yet, or the
	// leader has not committed an entry of its own term.
	ErrMembershipPending = errors.New("raft: membership change must wait")
	// ErrNotCaughtUp reports the promotion of a learner that lacks committed entries.
	ErrNotCaughtUp = errors.New("raft: learner is not caught up")
	// ErrUnknownMember reports a member that is not part of the membership.
	ErrUnknownMember = errors.New("raft: unknown member")
	// ErrInvalidChange reports a membership change that cannot be made to the present membership.
	ErrInvalidChange = errors.New("raft: invalid membership change")
	// ErrQuorumAtRisk reports a membership change, or a release, after which the group might lack a quorum.
	ErrQuorumAtRisk = errors.New("raft: the group may lack a quorum")
	// ErrInvalidMessage reports a malformed message.
	ErrInvalidMessage = errors.New("raft: invalid message")
	// ErrInvalidState reports restored state that is inconsistent.
	ErrInvalidState = errors.New("raft: inconsistent restored state")
	// ErrInvalidSnapshot reports a snapshot that does not match the applied log.
	ErrInvalidSnapshot = errors.New("raft: snapshot does not match the log")
)

// MaxEntryBytes is the largest size of one entry's data, in bytes.
const MaxEntryBytes = 16 << 20

// MemberID identifies a member. It is the random identity of the member's data folder.
type MemberID string

// EntryKind says how an entry is interpreted.
type EntryKind uint8

// The kinds of entries. The application interprets only commands.
const (
	EntryCommand EntryKind = iota + 1
	// EntryMembership holds the encoded Membership that is in effect from this entry on.
	EntryMembership
	// EntryNoop is the first entry of each leader's term.
	EntryNoop
)

// Entry is one record of the replicated log.
type Entry struct {
	_     struct{} `cbor:",toarray"`
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// size estimates the encoded size in bytes; the constant covers the fields other than Data.
func (e Entry) size() int { return len(e.Data) + 16 }

// HardState is the part of a member's state that must be durable before messages that depend on it are sent.
type HardState struct {
	Term   uint64   `cbor:"1,keyasint,omitempty"`
	Vote   MemberID `cbor:"2,keyasint,omitempty"`
	Commit uint64   `cbor:"3,keyasint,omitempty"`
}

// Member is one participant of the group.
type Member struct {
	ID      MemberID `cbor:"1,keyasint"`
	Address string   `cbor:"2,keyasint,omitempty"`
	Zone    string   `cbor:"3,keyasint,omitempty"`
	Learner bool     `cbor:"4,keyasint,omitempty"`
}

// Membership lists the members, sorted by ID.
type Membership struct {
	Members []Member `cbor:"1,keyasint,omitempty"`
}

// Find returns the member with this ID.
func (m Membership) Find(id MemberID) (Member, bool) {
	i := slices.IndexFunc(m.Members, func(member Member) bool { return member.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

// IsVoter reports whether this member votes.
func (m Membership) IsVoter(id MemberID) bool {
	member, ok := m.Find(id)
	return ok && !member.Learner
}

// Voters returns the IDs of the voting members.
func (m Membership) Voters() []MemberID {
	var voters []MemberID
	for _, member := range m.Members {
		if !member.Learner {
			voters = append(voters, member.ID)
		}
	}
	return voters
}

// Snapshot replaces the log up to and including Index. Data is the application's state.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint"`
}

// MessageType is the type of a message between members.
type MessageType uint8

// The message types. Unused fields of Message are zero.
const (
	// MessagePreVote asks whether a vote in Term would be granted. Index and LogTerm describe the last entry.
	MessagePreVote MessageType = iota + 1
	// MessagePreVoteReply grants the pre-vote, or rejects it if Reject is set. If granted, Term is that of the request.
	MessagePreVoteReply
	// MessageVote asks for a vote. Force is set after a leadership transfer: the receiver then votes although it has a
	// leader.
	MessageVote
	// MessageVoteReply grants the vote, or refuses it if Reject is set.
	MessageVoteReply
	// MessageAppend carries entries that follow the entry at Index with term LogTerm.
	MessageAppend
	// MessageAppendReply confirms all entries up to Index as durable. If Reject is set, the receiver's log does not match
	// at Index; Hint and LogTerm are then the index and term of an earlier entry at which it may match.
	MessageAppendReply
	// MessageCommit announces Commit for the log up to Index, if the term at Index is LogTerm. It has no reply.
	MessageCommit
	// MessageHeartbeat keeps the leadership and carries Commit, limited to the entries that the receiver has confirmed.
	MessageHeartbeat
	// MessageHeartbeatReply repeats Round and may carry a Poll. Index is the last entry, durable or not.
	MessageHeartbeatReply
	// MessageSnapshot carries a whole snapshot.
	MessageSnapshot
	// MessagePoll asks the leader for the age of its state. Poll is the number of the request.
	MessagePoll
	// MessagePollReply replies to Poll: the log up to Index holds everything that was committed more than Age ago.
	MessagePollReply
	// MessageTimeoutNow asks the receiver to start an election at once.
	MessageTimeoutNow
	// MessageLeave asks the leader whether the sender, which is leaving, may end. Poll is the number of the request.
	MessageLeave
	// MessageLeaveReply replies to Poll: the receiver may end. If Reject is set, the committed membership does not
	// list it.
	MessageLeaveReply
)

// ExpectsReply reports whether the receiver replies to messages of this type unless it is in another term.
func (t MessageType) ExpectsReply() bool {
	switch t {
	case MessagePreVote, MessageVote, MessageAppend, MessageHeartbeat, MessageSnapshot, MessagePoll:
		return true
	default:
		return false
	}
}

// Message is one message between members. The comments of the message types say what the fields mean.
type Message struct {
	From     MemberID      `cbor:"1,keyasint"`
	To       MemberID      `cbor:"2,keyasint"`
	Type     MessageType   `cbor:"3,keyasint"`
	Term     uint64        `cbor:"4,keyasint"`
	Index    uint64        `cbor:"5,keyasint,omitempty"`
	LogTerm  uint64        `cbor:"6,keyasint,omitempty"`
	Commit   uint64        `cbor:"7,keyasint,omitempty"`
	Entries  []Entry       `cbor:"8,keyasint,omitempty"`
	Snapshot *Snapshot     `cbor:"9,keyasint,omitempty"`
	Reject   bool          `cbor:"10,keyasint,omitempty"`
	Hint     uint64        `cbor:"11,keyasint,omitempty"`
	Round    uint64        `cbor:"12,keyasint,omitempty"`
	Poll     uint64        `cbor:"13,keyasint,omitempty"`
	Age      time.Duration `cbor:"14,keyasint,omitempty"`
	Force    bool          `cbor:"15,keyasint,omitempty"`
	// Leaving is set in all messages of a member that is leaving.
	Leaving bool `cbor:"16,keyasint,omitempty"`
}

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

// The kinds of membership changes.
const (
	// ChangeAddLearner adds a member that replicates and does not vote.
	ChangeAddLearner ChangeKind = iota + 1
	// ChangePromote turns a learner that is caught up into a voter.
	ChangePromote
	// ChangeRemove removes a member. A leader that removes itself steps down once the change is committed.
	ChangeRemove
	// ChangeUpdate replaces the address and zone of a member.
	ChangeUpdate
)

// String returns the name of the kind.
func (k ChangeKind) String() string {
	return [...]string{"none", "add learner", "promote", "remove", "update"}[min(k, ChangeUpdate)]
}

// MembershipChange is one single-step change. Promote and remove use only Member.ID.
type MembershipChange struct {
	Kind   ChangeKind `cbor:"1,keyasint"`
	Member Member     `cbor:"2,keyasint"`
}

// Config holds the settings of a member.
type Config struct {
	ID MemberID
	// ElectionTimeout is the time without a leader after which a member starts an election, and the time without a
	// quorum after which a leader steps down. Default: 1 s.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between heartbeat rounds. Default: 150 ms.
	HeartbeatInterval time.Duration
	// PollInterval is the time between the polls by which a follower asks the leader for the age of its state. Default:
	// 250 ms.
	PollInterval time.Duration
	// MaxAppendBytes limits the entries of one append message and of one batch to apply. One entry is always sent.
	// Default: 256 KiB.
	MaxAppendBytes int
	// MaxInflightAppends limits the append messages to one follower that it has not replied to. Default: 64.
	MaxInflightAppends int
	// MaxUncommittedBytes limits the proposals that wait to be committed. Default: 64 MiB.
	MaxUncommittedBytes int
	// TrailingEntries is the number of entries that Compact keeps in memory, so that a follower that is slightly behind
	// needs no snapshot. Default: 1024.
	TrailingEntries int
	// Rand randomises timeouts and poll numbers. It must be seeded differently for each start of each member.
	Rand *rand.Rand
}

// Restored is the durable state that a member starts from.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
	// Membership is the first membership of a new group. It is used if neither the snapshot nor the log holds one. It is
	// empty on a member that joins an existing group.
	Membership Membership
}

// Ready is one batch of work for the caller. At most one Ready is outstanding.
type Ready struct {
	HardState HardState
	// MustSync is set if HardState, Entries or Snapshot must be durable before Messages are sent. Otherwise nothing needs
	// to be written: after a restart the member learns an advanced commit index again from the leader.
	MustSync bool
	Entries  []Entry
	Snapshot *Snapshot
	// Committed lists entries to apply, in order: one batch of about MaxAppendBytes. It is empty when Snapshot is set.
	Committed []Entry
	// EarlyMessages may be sent before HardState, Entries and Snapshot are durable.
	EarlyMessages []Message
	// Messages may be sent only after HardState, Entries and Snapshot are durable.
	Messages []Message
}

// Role is the role of a member in its term.
type Role uint8

// The roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// ProgressState says how the leader replicates to a member.
type ProgressState uint8

// The replication states.
const (
	// ProgressProbe sends one append at a time until the logs are known to match.
	ProgressProbe ProgressState = iota
	// ProgressReplicate sends appends without waiting for replies.
	ProgressReplicate
	// ProgressSnapshot waits for the reply to a snapshot.
	ProgressSnapshot
)

// String returns the name of the state.
func (s ProgressState) String() string { return [...]string{"probe", "replicate", "snapshot"}[s] }

// MemberProgress is the leader's view of one member.
type MemberProgress struct {
	// Match is the last index that the member has confirmed as durable. Next is the next index to send.
	Match, Next uint64
	State       ProgressState
	// Inflight is the number of append messages without a reply.
	Inflight int
	// SinceContact is the time since the last message of this member; negative if there was none in this term.
	SinceContact time.Duration
	// InContact is set if the member has sent a message in this term within the election timeout.
	InContact bool
	// Silence is the time since the last message of this member. If there was none in this term, it is the time since the
	// leader started to replicate to it or, for the former leader, since its last message as the leader.
	Silence time.Duration
	// Leaving is set if the member has said that it is about to end, LeavingFor is the time since then, and Released is set
	// if the leader has let it.
	Leaving, Released bool
	LeavingFor        time.Duration
}

// Status describes a member.
type Status struct {
	ID, Leader                         MemberID
	Role                               Role
	Term, Commit, Applied              uint64
	FirstIndex, LastIndex, StableIndex uint64
	SnapshotIndex                      uint64
	Membership                         Membership
	// MembershipPending is set while the last membership change is not committed.
	MembershipPending bool
	// QuorumLost is set after this member stepped down as leader because it had no contact with a quorum, until there is
	// a leader again.
	QuorumLost bool
	// LeaderFor is the time since this member became the leader. It is set on leaders only.
	LeaderFor time.Duration
	// FormerSilence is a lower bound of the time from the last message of any former leader that a member of a quorum
	// replied to until this member was elected. It is set on leaders only.
	FormerSilence time.Duration
	// Leaving is set after Leave. Released is set once this member may end, and Removed once it may end because the
	// committed membership does not list it.
	Leaving, Released, Removed bool
	// Transferring is the target of a leadership transfer in progress.
	Transferring MemberID
	// Progress is set on leaders only.
	Progress map[MemberID]MemberProgress
}
