package relay

import (
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// Status is a peer's view of the distribution.
type Status struct {
	ID     string
	Zone   string
	Member bool
	// Approved is the latest approval that the peer knows; nil before the first.
	Approved *bundle.Approval
	Stopped  bool
	// InForce is the version in force in this node; 0 if there is none.
	InForce uint64
	// Confirmed is false if the peer has not received any confirmation by a quorum. Age is an upper bound of the time
	// since a quorum confirmed that ConfirmedVersion was the latest version.
	Confirmed        bool
	ConfirmedVersion uint64
	Age              time.Duration
	// Stale is set when the confirmation is so old that the peer looks for another parent.
	Stale bool
	// Parent is the ID of the parent; empty while there is none. Depth is the number of links to the member at the root.
	Parent            string
	ParentIncarnation uint64
	ParentZone        string
	Depth             int
	Children          []string
	// Subtree counts the nodes below this peer and the peer itself. Total adds the subtrees of the other members.
	Subtree Aggregate
	Total   Aggregate
	// Refused is the reason for which the approved bundle was refused; empty if it was not.
	Refused string
	Stats   Stats
}

// Stats counts events since the start of the process.
type Stats struct {
	JoinsAccepted, JoinsRedirected, JoinsDelayed uint64
	ParentChanges                                uint64
	Suspected, Refuted                           uint64
	// Superseded counts records of this node with a greater incarnation: another process runs under the same ID, or the
	// incarnation was lowered at the last start. The node's own announcements then have no effect.
	Superseded                               uint64
	Comparisons                              uint64
	PartsSent, PartsReceived, PartsDuplicate uint64
	Fetches                                  uint64
	CorruptMessages                          uint64
}
