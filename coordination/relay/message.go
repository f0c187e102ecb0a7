package relay

import (
	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/release"
)

// Hello identifies a peer. Both sides send it once, when the transport opens a link.
type Hello struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Zone        string `cbor:"3,keyasint"`
	Address     string `cbor:"4,keyasint"`
	Member      bool   `cbor:"5,keyasint,omitempty"`
}

// Order returns the peer's position in the order of peers.
func (h Hello) Order() Order { return Order{Member: h.Member, Incarnation: h.Incarnation, ID: h.ID} }

// Message is one message on a link. Exactly one field is set.
type Message struct {
	Join       *Join       `cbor:"1,keyasint,omitempty"`
	Accept     *Accept     `cbor:"2,keyasint,omitempty"`
	Redirect   *Redirect   `cbor:"3,keyasint,omitempty"`
	RetryAfter *RetryAfter `cbor:"4,keyasint,omitempty"`
	Poll       *Poll       `cbor:"5,keyasint,omitempty"`
	PollReply  *PollReply  `cbor:"6,keyasint,omitempty"`
	Aggregate  *Aggregate  `cbor:"7,keyasint,omitempty"`
	Approved   *Approved   `cbor:"8,keyasint,omitempty"`
	Parts      *Parts      `cbor:"9,keyasint,omitempty"`
	Fetch      *Fetch      `cbor:"10,keyasint,omitempty"`
	Endpoints  *Endpoints  `cbor:"11,keyasint,omitempty"`
	Compare    *Compare    `cbor:"12,keyasint,omitempty"`
	Crashes    *Crashes    `cbor:"13,keyasint,omitempty"`
	Members    *Members    `cbor:"14,keyasint,omitempty"`
	Leave      *Leave      `cbor:"15,keyasint,omitempty"`
	Rollouts   *Rollouts   `cbor:"16,keyasint,omitempty"`
	Results    *Results    `cbor:"17,keyasint,omitempty"`
}

// Join asks the receiver to become the sender's parent.
type Join struct {
	// AnyZone is set when the sender found no usable parent in its own zone.
	AnyZone bool `cbor:"1,keyasint,omitempty"`
	// Bundles lists the bundles of which the sender has all parts.
	Bundles []bundle.Digest `cbor:"2,keyasint,omitempty"`
	// Records is the number of records in the sender's endpoint table, TableDigest the table's digest.
	Records     int    `cbor:"3,keyasint,omitempty"`
	TableDigest uint64 `cbor:"4,keyasint,omitempty"`
}

// Accept replies to a Join: the sender is the receiver's parent from now on.
type Accept struct {
	Freshness Freshness `cbor:"1,keyasint"`
	// Approved is the latest approval that the parent knows.
	Approved *Approved `cbor:"2,keyasint,omitempty"`
	// Members lists the control members.
	Members []MemberInfo `cbor:"3,keyasint,omitempty"`
	// Leaving is the upstream that said to an earlier process of the receiver that it is about to stop; nil if none did.
	Leaving *endpoints.UpstreamProcess `cbor:"4,keyasint,omitempty"`
	// Rollouts lists the latest rollout of a release of each service.
	Rollouts []release.Rollout `cbor:"5,keyasint,omitempty"`
}

// Redirect lists peers that the receiver should try to join instead. On the link to a child it ends the link.
type Redirect struct {
	Addresses []string `cbor:"1,keyasint,omitempty"`
}

// RetryAfter refuses a Join and tells the receiver when to try again.
type RetryAfter struct {
	DelayMs int64 `cbor:"1,keyasint"`
}

// Leave tells the parent that the sender has another parent from now on.
type Leave struct{}

// Freshness says that at some time within the last AgeMs, Version was the latest approved version.
type Freshness struct {
	// Confirmed is false if the sender has not received any confirmation by a quorum.
	Confirmed bool   `cbor:"1,keyasint,omitempty"`
	Version   uint64 `cbor:"2,keyasint,omitempty"`
	AgeMs     int64  `cbor:"3,keyasint,omitempty"`
	// Depth is the number of links between the sender and the member at the root of its tree.
	Depth int `cbor:"4,keyasint,omitempty"`
}

// Poll asks the parent for its freshness. It also shows that the sender is alive.
type Poll struct {
	Sequence    uint64 `cbor:"1,keyasint"`
	TableDigest uint64 `cbor:"2,keyasint,omitempty"`
	// Counts is set when the counts of the sender's subtree have changed since they were last sent on this link.
	Counts *Aggregate `cbor:"3,keyasint,omitempty"`
}

// PollReply replies to the poll with the same sequence number.
type PollReply struct {
	Sequence  uint64    `cbor:"1,keyasint"`
	Freshness Freshness `cbor:"2,keyasint"`
}

// Aggregate counts the nodes of a subtree, including the sender if it is a node.
type Aggregate struct {
	Nodes int `cbor:"1,keyasint,omitempty"`
	// Versions counts the nodes by version in force, for the four newest versions.
	Versions []VersionCount `cbor:"2,keyasint,omitempty"`
	// Lowest is the lowest version in force; 0 if a node has none.
	Lowest uint64 `cbor:"3,keyasint,omitempty"`
	// Lagging lists up to eight nodes that do not have the approved version in force.
	Lagging []Lag `cbor:"4,keyasint,omitempty"`
	// Zones holds the counts of each zone. Only members send it, to other members.
	Zones []ZoneCounts `cbor:"5,keyasint,omitempty"`
}

// VersionCount is the number of nodes that have a version in force.
type VersionCount struct {
	Version uint64 `cbor:"1,keyasint"`
	Nodes   int    `cbor:"2,keyasint"`
}

// Lag says why a node does not have the approved version in force.
type Lag struct {
	ID      string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
	Reason  string `cbor:"3,keyasint"`
}

// Approved announces the latest approval. Every link carries it once per change.
type Approved struct {
	Approval bundle.Approval `cbor:"1,keyasint"`
	Stopped  bool            `cbor:"2,keyasint,omitempty"`
}

// Parts carries a bundle.Update in Data, encoded in CBOR and compressed by zstd.
type Parts struct {
	Base   bundle.Digest `cbor:"1,keyasint"`
	Target bundle.Digest `cbor:"2,keyasint"`
	Data   []byte        `cbor:"3,keyasint"`
}

// Fetch asks the parent for a bundle. The parent sends it whole or as a difference from one of the bundles in Have,
// whichever is smaller.
type Fetch struct {
	Target bundle.Digest   `cbor:"1,keyasint"`
	Have   []bundle.Digest `cbor:"2,keyasint,omitempty"`
}

// Endpoints carries endpoint records. Large sets are encoded in CBOR and compressed by zstd in Compressed.
type Endpoints struct {
	Records    []endpoints.Record `cbor:"1,keyasint,omitempty"`
	Compressed []byte             `cbor:"2,keyasint,omitempty"`
	// Buckets lists the buckets of the sender's table whose whole content this message carries. The receiver replies with
	// the records of these buckets that are newer in its own table.
	Buckets []uint8 `cbor:"3,keyasint,omitempty"`
}

// Compare carries the bucket digests of the sender's table, 8 bytes each in little-endian order.
type Compare struct {
	BucketDigests []byte `cbor:"1,keyasint"`
}

// Crashes carries crash reports.
type Crashes struct {
	Reports []CrashReport `cbor:"1,keyasint"`
}

// Rollouts carries the rollouts that have changed from the members down the tree.
type Rollouts struct {
	Rollouts []release.Rollout `cbor:"1,keyasint"`
}

// Results carries the results of calls during rollouts from the nodes up the tree, and among the members.
type Results struct {
	Reports []release.Results `cbor:"1,keyasint"`
}

// Members carries the list of control members from the members down the tree.
type Members struct {
	Members []MemberInfo `cbor:"1,keyasint"`
}
