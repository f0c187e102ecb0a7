// Package relay distributes configuration bundles, endpoint records and crash reports among nodes and control members.
//
// The peers form a tree. The control members are its roots and are linked with each other; each node follows one parent,
// a member or another node. Approvals, bundles and the list of members go from parents to children, counts of nodes go
// from children to parents, and endpoint records and crash reports go in both directions. A node polls its parent, which
// shows the parent that the node is alive and tells the node how recently a quorum confirmed the latest version.
//
// The same Peer runs in nodes and members. It is a state machine: the caller passes in the time and messages and carries
// out the outputs. It uses no I/O, clock, goroutine or global randomness, and must be driven by one goroutine.
package relay

import (
	"cmp"
	"math/rand"
	"time"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/release"
)

// Verifier checks an approval's signature. bundle.Keyring implements it.
type Verifier interface {
	Verify(a bundle.Approval) error
}

// Config configures a Peer. Limits, rates and durations that are 0 take their defaults.
type Config struct {
	ID      string
	Zone    string
	Address string
	// Incarnation is greater after every start of the process. It is never 0.
	Incarnation uint64
	// Member is set in control members.
	Member bool
	// JoinAddresses lists addresses of nodes and members that a node may join. They are tried after the nodes and members
	// of its zone that it knows.
	JoinAddresses []string
	Keys          Verifier
	// Validate checks an assembled bundle before it is activated. Nil accepts every bundle.
	Validate func(*bundle.Bundle) error
	Rand     *rand.Rand
	// FanOut bounds the number of children of a node.
	FanOut int
	// ZoneFollowers bounds the number of children of a member that are in its own zone.
	ZoneFollowers int
	// RemoteFollowers bounds the number of children of a member in each other zone. Each of them costs one copy of the
	// content on a link between zones, so one such child serves the other nodes of its zone.
	RemoteFollowers int
	// JoinsPerSecond and JoinBurst bound the rate of joins that a member accepts.
	JoinsPerSecond float64
	JoinBurst      int
	// JoinJitter bounds the random delay of the first join after a start, and of joins at a member after the loss of a
	// parent.
	JoinJitter time.Duration
	// AttemptHeadStart is the time after which a node in search of a parent tries a further address while an attempt is
	// still in progress.
	AttemptHeadStart time.Duration
	// PollInterval is the mean time between two polls of the parent.
	PollInterval time.Duration
	// StaleAfter is the age of the last confirmation at which a child of a member looks for another parent. It must be
	// longer than PollInterval and the time in which a quorum confirms the member's state.
	StaleAfter time.Duration
	// MaxProbeInterval bounds the mean time between two rounds in which a node with a stale parent looks for another one.
	MaxProbeInterval time.Duration
	// HomeProbeInterval bounds the mean time between two attempts of a node to find a parent in its own zone if its parent
	// is in another one, or to find a member there if Config.PreferMembers is set and its parent is a node. Members that
	// refuse a node are asked less often.
	HomeProbeInterval time.Duration
	// PreferMembers makes nodes follow members rather than each other as long as the members accept children. It suits
	// deployments that are small enough for the members to serve all nodes: no node then depends on another one.
	PreferMembers bool
	// MaxRecords bounds the number of records of the endpoint table.
	MaxRecords int
}

// Defaults of Config.
const (
	DefaultFanOut          = 16
	DefaultZoneFollowers   = 32
	DefaultRemoteFollowers = 1
	DefaultJoinsPerSecond  = 16
	DefaultJoinBurst       = 16
	// DefaultJoinJitter spreads the joins of 16,000 nodes that start at once so far that the members can serve them.
	DefaultJoinJitter = 2 * time.Second
	// DefaultAttemptHeadStart lets a busy member of another region answer before further members are asked.
	DefaultAttemptHeadStart = 500 * time.Millisecond
	// DefaultPollInterval keeps the polls of 16,000 nodes within their limit of 5 KB/s.
	DefaultPollInterval = endpoints.PollInterval
	// DefaultMaxProbeInterval keeps probes rare while there is no quorum: no other parent has a newer confirmation then.
	DefaultMaxProbeInterval = time.Minute
	// DefaultHomeProbeInterval keeps the nodes of a zone that lost its members from all probing the zone at once.
	DefaultHomeProbeInterval = 30 * time.Second
	// DefaultStaleAfter is a few polls, so that one lost poll makes no node change its parent.
	DefaultStaleAfter = 4 * time.Second
)

// Shares of the time within which a version must be in force on every node.
const (
	// pollShare and staleShare let a node leave a member that is cut off from the others early enough to join another one
	// and receive the version from it.
	pollShare  = 0.2
	staleShare = 0.6
	// probeShare makes nodes look for a member with a quorum several times within that time.
	probeShare = 0.3
	// homeProbeShare lets nodes that joined another zone before the members were known return to their own zone soon,
	// since following another zone causes continuous traffic between zones.
	homeProbeShare = 1
	// headStartShare lets a search pass all addresses that the node knows, even if none of the first answers.
	headStartShare = 0.05
)

// ApplyWithin sets the intervals of a node that must put each version into force within the given time, also if the
// member that it follows has just been cut off.
func (c *Config) ApplyWithin(limit time.Duration) {
	share := func(share float64) time.Duration { return time.Duration(share * float64(limit)) }
	c.PollInterval = share(pollShare)
	c.StaleAfter = share(staleShare)
	c.MaxProbeInterval = share(probeShare)
	c.HomeProbeInterval = share(homeProbeShare)
	c.AttemptHeadStart = share(headStartShare)
}

// Order is a peer's position in the total order of all peers. A node only follows peers of lower order, so the links
// between parents and children form no cycle. Members are of lower order than nodes; otherwise the lower incarnation,
// then the lower ID decides.
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

// Source is a member's view of the registry.
type Source struct {
	// Latest is the latest approval; nil before the first.
	Latest *bundle.Approval
	// Stopped is set when the latest approved version was stopped.
	Stopped bool
	// Bundles lists the bundles that are staged or approved. The store holds all of them.
	Bundles []bundle.Digest
	// Rollouts lists the latest rollout of a release of each service.
	Rollouts []release.Rollout
}

// CrashReport describes a crash of an upstream. Upstream, Incarnation and Sequence together identify it.
type CrashReport struct {
	Upstream    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
	// Payload is opaque to this package.
	Payload []byte `cbor:"4,keyasint,omitempty"`
	// AgeMs is the time since the crash. Every peer adds the time for which it kept the report before sending it.
	AgeMs int64 `cbor:"6,keyasint,omitempty"`
}

// MemberInfo describes a control member.
type MemberInfo struct {
	ID      string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
}
