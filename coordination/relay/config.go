// Package relay distributes configuration, endpoint records and crash reports among nodes and control members. The
// same Peer runs in both; a member is a source. A Peer is a state machine: time and messages go in, outputs come out.
// It uses no I/O, no clock, no goroutine and no global randomness, and one goroutine drives it.
package relay

import (
	"cmp"
	"math/rand"
	"time"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// Verifier checks an approval's signature. bundle.Keyring implements it.
type Verifier interface {
	Verify(a bundle.Approval) error
}

// Config sets up a Peer.
type Config struct {
	ID      string
	Zone    string
	Address string
	// Incarnation grows with every start of the process. It is never 0.
	Incarnation uint64
	// Member is set in control members.
	Member bool
	// JoinAddresses lists addresses of nodes and members that are tried when nothing else is known.
	JoinAddresses []string
	Keys          Verifier
	// Validate checks an assembled bundle before it is activated. Nil accepts every bundle.
	Validate func(*bundle.Bundle) error
	Rand     *rand.Rand
	// FanOut bounds the children of a node.
	FanOut int
	// ZoneFollowers bounds the direct followers of a member in its own zone.
	ZoneFollowers int
	// RemoteFollowers bounds the direct followers of a member in each other zone. Each costs one copy of the content on
	// a zone link, so one follower serves the others of its zone.
	RemoteFollowers int
	// JoinsPerSecond and JoinBurst bound the joins that a member accepts.
	JoinsPerSecond float64
	JoinBurst      int
	// JoinJitter spreads the first joins after a start, and joins at a member after the loss of a parent.
	JoinJitter time.Duration
	// PollInterval is the time between polls of the parent.
	PollInterval time.Duration
	// StaleAfter is the confirmed age at which a child of a member looks for another parent. It must be longer than
	// PollInterval and the time in which a quorum confirms the member's state.
	StaleAfter time.Duration
	// MaxProbeInterval bounds the pause between two rounds in which a node with a stale parent looks for another one.
	MaxProbeInterval time.Duration
	// HomeProbeInterval is the mean time between two attempts of a node that follows another zone to return to its own.
	HomeProbeInterval time.Duration
	// PreferMembers makes nodes follow members as long as those have room, rather than each other. It suits deployments
	// that are small enough for the members to serve all nodes: no node then depends on another one.
	PreferMembers bool
	// MaxRecords bounds the endpoint table.
	MaxRecords int
}

// Defaults of Config.
const (
	DefaultFanOut          = 16
	DefaultZoneFollowers   = 32
	DefaultRemoteFollowers = 1
	DefaultJoinsPerSecond  = 16
	DefaultJoinBurst       = 16
	// DefaultJoinJitter spreads a herd of 16,000 nodes so that its joins cost the members no more than they can serve.
	DefaultJoinJitter = 2 * time.Second
	// DefaultPollInterval keeps the polls of 16,000 nodes within their 5 KB/s.
	DefaultPollInterval = endpoints.PollInterval
	// DefaultMaxProbeInterval keeps an outage of the quorum, in which no parent can help, from being filled with probes.
	DefaultMaxProbeInterval = time.Minute
	// DefaultHomeProbeInterval keeps a zone that lost its members from being asked by all its nodes at once.
	DefaultHomeProbeInterval = 30 * time.Second
	// DefaultStaleAfter is a few polls, so that one lost poll moves no node.
	DefaultStaleAfter = 4 * time.Second
)

// Order is a peer's place in the tree: a node follows members and nodes of lower order only.
type Order struct {
	Member      bool
	Incarnation uint64
	ID          string
}

// Before reports whether o is of lower order than other.
func (o Order) Before(other Order) bool {
	if o.Member != other.Member {
		return o.Member
	}
	return cmp.Or(cmp.Compare(o.Incarnation, other.Incarnation), cmp.Compare(o.ID, other.ID)) < 0
}

// Source is the state of the registry of a member.
type Source struct {
	// Latest is the latest approval; nil before the first.
	Latest *bundle.Approval
	// Stopped is set when the latest approved version was stopped.
	Stopped bool
	// Bundles lists the bundles that are staged or approved. The store holds all of them.
	Bundles []bundle.Digest
}

// CrashReport tells about a crash of an upstream. The triple of upstream, incarnation and sequence identifies it.
type CrashReport struct {
	Upstream    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
	// Payload is opaque to this package.
	Payload []byte `cbor:"4,keyasint,omitempty"`
	// AgeMs is the time since the crash; every hop adds the time it kept the report.
	AgeMs int64 `cbor:"6,keyasint,omitempty"`
}

// MemberInfo names a control member.
type MemberInfo struct {
	ID      string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
}
