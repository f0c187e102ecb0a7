package raft

import "time"

// Node is one member of the group. It is not safe for concurrent use.
type Node struct{}

// New starts a member from its durable state.
func New(now time.Time, c Config, r Restored) (*Node, error) { panic("not implemented") }

// Tick advances time. It is called about every 20 ms.
func (n *Node) Tick(now time.Time) {}

// Step processes a message from another member.
func (n *Node) Step(now time.Time, m Message) error { return nil }

// Propose appends commands on the leader and returns the index of the first one and their term.
func (n *Node) Propose(now time.Time, data ...[]byte) (first uint64, term uint64, err error) {
	return 0, 0, ErrNotLeader
}

// ProposeMembership appends a single-step membership change on the leader.
func (n *Node) ProposeMembership(now time.Time, change MembershipChange) (index, term uint64, err error) {
	return 0, 0, ErrNotLeader
}

// TransferLeadership hands the leadership to another voter.
func (n *Node) TransferLeadership(now time.Time, to MemberID) error { return ErrNotLeader }

// HasReady reports whether Ready would return work.
func (n *Node) HasReady() bool { return false }

// Ready returns the next batch of work.
func (n *Node) Ready() Ready { return Ready{} }

// Advance reports that a batch was persisted, sent and applied.
func (n *Node) Advance(r Ready) {}

// NewSnapshot completes an application snapshot at an applied index with its term and membership.
func (n *Node) NewSnapshot(index uint64, data []byte) (Snapshot, error) { return Snapshot{}, nil }

// Compact drops log entries that a durable snapshot covers.
func (n *Node) Compact(snapshot Snapshot) error { return nil }

// Status describes the member.
func (n *Node) Status() Status { return Status{} }

// ConfirmedAge returns an upper bound on the time since a quorum confirmed the applied state as current.
func (n *Node) ConfirmedAge(now time.Time) (time.Duration, bool) { return 0, false }

// DecodeMembership decodes the data of an EntryMembership entry.
func DecodeMembership(data []byte) (Membership, error) { return Membership{}, nil }
