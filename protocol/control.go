package protocol

import (
	"github.com/cespare/xxhash/v2"

	"sapphiregate.example/sapphiregate/coordination/raft"
)

// Target selects the replicated state machine that a command is for.
type Target uint8

const (
	TargetRegistry Target = iota + 1
	TargetLedger
	// TargetMembership is the membership of one raft group; the command is a raft.MembershipChange.
	TargetMembership
)

// ProposeRequest asks a control member to commit a command.
type ProposeRequest struct {
	Target Target `cbor:"1,keyasint"`
	// Key is the idempotency key of a command for the ledger; it selects the ledger group.
	Key     string `cbor:"2,keyasint,omitempty"`
	Command []byte `cbor:"3,keyasint"`
	// Group is the raft group of a membership change.
	Group uint32 `cbor:"4,keyasint,omitempty"`
}

// ProposeStatus is the result of a proposal.
type ProposeStatus uint8

const (
	// ProposeApplied means that the command was committed and applied; ProposeReply.Result is its result.
	ProposeApplied ProposeStatus = iota + 1
	// ProposeNotLeader means that the member is not the leader; nothing was proposed.
	ProposeNotLeader
	// ProposeUncertain means that the command may still be committed. Commands are idempotent and can be sent again.
	ProposeUncertain
	// ProposeRefused means that the request is malformed or its command is not allowed; nothing was proposed.
	ProposeRefused
	// ProposeForming means that the group does not have all its voters yet; nothing was proposed. The request can be sent
	// again.
	ProposeForming
)

// ProposeReply is the reply to a ProposeRequest.
type ProposeReply struct {
	Status ProposeStatus `cbor:"1,keyasint"`
	Result []byte        `cbor:"2,keyasint,omitempty"`
	// Leader is the mesh address of the leader; empty if this member does not know it.
	Leader string `cbor:"3,keyasint,omitempty"`
	// Detail describes why the command was not applied.
	Detail string `cbor:"4,keyasint,omitempty"`
	// LedgerGroups is the number of ledger groups. Callers cache the leader of each.
	LedgerGroups int `cbor:"5,keyasint,omitempty"`
}

// IdentifyRequest asks a control member for its identity. A control process that belongs to no group, or that may have
// been removed from it, sets its own identity in the request; the leader then adds it.
type IdentifyRequest struct {
	ID      string `cbor:"1,keyasint,omitempty"`
	Address string `cbor:"2,keyasint,omitempty"`
	Zone    string `cbor:"3,keyasint,omitempty"`
	// IsMember is set if the sender's log lists it as a member: it asks whether it still is one, and not to join.
	IsMember bool `cbor:"4,keyasint,omitempty"`
	// Members is set by a leader that does not ask, but tells a process outside the group the members' mesh addresses.
	Members []string `cbor:"5,keyasint,omitempty"`
}

// GroupIdentity describes a member's replica of one raft group.
type GroupIdentity struct {
	// ID is the random identifier of the replica's data folder.
	ID string `cbor:"1,keyasint"`
	// Formed is set if the replica belongs to a group; a replica with an empty log does not.
	Formed bool `cbor:"2,keyasint,omitempty"`
	// InitialMembership is the group's first membership. It is set as long as the replica's latest snapshot is the one
	// that the group began with.
	InitialMembership *raft.Membership `cbor:"3,keyasint,omitempty"`
}

// IdentifyReply describes a control member.
type IdentifyReply struct {
	// Groups holds the identity of each replica, by group number. The ID of the registry's replica, which is the first,
	// identifies the member.
	Groups []GroupIdentity `cbor:"1,keyasint"`
	// Admin is the address of the member's operator API.
	Admin string `cbor:"3,keyasint,omitempty"`
	Zone  string `cbor:"4,keyasint,omitempty"`
	// IsLeader is set if this member is the leader of the registry's group and a quorum has confirmed this recently.
	IsLeader bool `cbor:"5,keyasint,omitempty"`
	// Members lists the mesh addresses of the members of the registry's group that this one knows, the leader first.
	Members []string `cbor:"6,keyasint,omitempty"`
	// IsMember is set if the process that sent the request is one of Members.
	IsMember bool `cbor:"7,keyasint,omitempty"`
	// Membership is that of the registry's group. It is set if IsLeader is.
	Membership *raft.Membership `cbor:"8,keyasint,omitempty"`
}

// LedgerIndex returns the ledger group, from 0 to groups-1, that holds the idempotency key of an irreversible call.
func LedgerIndex(key string, groups int) int { return int(xxhash.Sum64String(key) % uint64(groups)) }
