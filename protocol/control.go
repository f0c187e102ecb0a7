package protocol

import (
	"github.com/cespare/xxhash/v2"

	"sapphiregate.example/sapphiregate/coordination/raft"
)

// Target names the replicated state machine that a command is for.
type Target uint8

// The replicated state machines.
const (
	TargetRegistry Target = iota + 1
	TargetLedger
	// TargetMembership is the membership of one group; the command is a raft.MembershipChange.
	TargetMembership
)

// ProposeRequest asks a control member to commit a command. Key selects the ledger group.
type ProposeRequest struct {
	Target  Target `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint,omitempty"`
	Command []byte `cbor:"3,keyasint"`
	// Group selects the log of a membership change.
	Group uint32 `cbor:"4,keyasint,omitempty"`
}

// ProposeStatus tells what became of a proposal.
type ProposeStatus uint8

const (
	// ProposeApplied means that the command was committed and applied; Result is its result.
	ProposeApplied ProposeStatus = iota + 1
	// ProposeNotLeader means that the member is not the leader; nothing was proposed.
	ProposeNotLeader
	// ProposeUncertain means that the command may be committed later. Commands are idempotent: send it again.
	ProposeUncertain
	// ProposeRefused means that the request does not decode; nothing was proposed.
	ProposeRefused
)

// ProposeReply answers a ProposeRequest.
type ProposeReply struct {
	Status ProposeStatus `cbor:"1,keyasint"`
	Result []byte        `cbor:"2,keyasint,omitempty"`
	// Leader is the mesh address of the leader as far as this member knows.
	Leader string `cbor:"3,keyasint,omitempty"`
	Detail string `cbor:"4,keyasint,omitempty"`
	// LedgerGroups is the number of ledger groups, so that callers can remember the leader of each.
	LedgerGroups int `cbor:"5,keyasint,omitempty"`
}

// IdentifyRequest asks a control member who it is. A control process that belongs to no group, or is not sure whether it
// still does, says who it is itself, which asks the leader to add it.
type IdentifyRequest struct {
	ID      string `cbor:"1,keyasint,omitempty"`
	Address string `cbor:"2,keyasint,omitempty"`
	Zone    string `cbor:"3,keyasint,omitempty"`
}

// GroupIdentity describes a member's replica of one log.
type GroupIdentity struct {
	// ID is the random identity of the replica's folder.
	ID string `cbor:"1,keyasint"`
	// Formed tells that the replica belongs to a group; one with an empty log does not.
	Formed bool `cbor:"2,keyasint,omitempty"`
	// InitialMembership is the group's first membership, as long as the replica's snapshot is the one that holds it.
	InitialMembership *raft.Membership `cbor:"3,keyasint,omitempty"`
}

// IdentifyReply describes a control member.
type IdentifyReply struct {
	// Groups is indexed by group; the registry's identity names the member.
	Groups []GroupIdentity `cbor:"1,keyasint"`
	// Admin is the address of the member's operator API.
	Admin string `cbor:"3,keyasint,omitempty"`
	Zone  string `cbor:"4,keyasint,omitempty"`
	// IsLeader is set if this member leads the registry's log and a quorum confirmed it lately.
	IsLeader bool `cbor:"5,keyasint,omitempty"`
	// Members lists the mesh addresses of the registry's members as far as this one knows, the leader first.
	Members []string `cbor:"6,keyasint,omitempty"`
	// IsMember is set if the asking process is one of them.
	IsMember bool `cbor:"7,keyasint,omitempty"`
}

// LedgerIndex spreads the keys of irreversible calls over the ledger groups.
func LedgerIndex(key string, groups int) int { return int(xxhash.Sum64String(key) % uint64(groups)) }
