// Package experiment measures real node and control code on loopback: it runs scenarios of load and faults against a
// Deployment, compares ground truth with what callers were told, and reports the result.
package experiment

import (
	"context"
	"crypto/ed25519"
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/shape"
)

// MemberSpec describes a control member.
type MemberSpec struct {
	ID      string
	Zone    string
	Learner bool
	// IP is the loopback address that the process listens on. Each process has its own, because on a shared address an
	// outgoing connection could take the port of a process that is down.
	IP string
}

// NodeSpec describes a node and the service of the upstream beside it. Service is empty for a node without upstream.
type NodeSpec struct {
	ID      string
	Zone    string
	Service string
	// IP is the loopback address that the process listens on, as in MemberSpec.
	IP string
}

// Signed is a bundle with its approval. A Deployment signs the approval with the operator's key from the Spec if the
// signature is empty.
type Signed struct {
	Approval bundle.Approval
	Bundle   *bundle.Bundle
}

// Applied is one pointer swap on a node. Bundle is the content that the node's traffic reads from then on.
type Applied struct {
	Node    string
	Version uint64
	Digest  bundle.Digest
	Bundle  *bundle.Bundle
	At      time.Time
}

// Verdict is a member's answer to an approval.
type Verdict struct {
	// Accepted reports that this version and digest are approved, now or by an earlier attempt.
	Accepted bool
	// Winner is the digest that holds the version if another bundle was approved under it.
	Winner bundle.Digest
	// Reason explains a refusal.
	Reason string
}

// Spec is what a Factory builds a Deployment from.
type Spec struct {
	Profile  Profile
	Seed     int64
	Baseline bool
	// Network shapes all traffic. Processes listen with Network.Listen and dial with Network.Dialer, where the
	// endpoint's process is the member's or node's identifier.
	Network   *shape.Network
	Members   []MemberSpec
	Nodes     []NodeSpec
	Operators map[string]ed25519.PrivateKey
	// Initial is approved and in force on every node when Start returns.
	Initial Signed
	// OnApplied receives every pointer swap, also of Initial. It is safe for concurrent use and returns quickly.
	OnApplied func(Applied)
	// DataFolder is an empty folder for the members' data; it is removed after the run.
	DataFolder string
}

// Factory builds a Deployment that is not started yet.
type Factory func(spec Spec) (Deployment, error)

// NodeAddress is where a node serves callers and its administration.
type NodeAddress struct {
	// HTTP is the host:port for callers.
	HTTP string
	// Admin is the host:port for /v1/upstream.
	Admin string
}

// Deployment is a set of running control members and nodes. It is safe for concurrent use. Addresses stay the same
// across restarts.
type Deployment interface {
	// Start starts all processes and returns when Initial is in force on every node.
	Start(ctx context.Context) error
	// Close ends all processes.
	Close() error

	// Address returns the addresses of a node, also while it is down.
	Address(node string) NodeAddress
	// Members returns the identifiers of the current members; replaced members are left out.
	Members() []string
	// Leader returns the member that leads, or false if none is known.
	Leader() (string, bool)

	// StopNode stops a node gracefully: requests in flight complete first.
	StopNode(ctx context.Context, node string) error
	// KillNode ends a node at once and without notice.
	KillNode(node string) error
	// StartNode starts a stopped or killed node with empty memory. It does not wait for readiness.
	StartNode(ctx context.Context, node string) error

	// StopMember stops a member gracefully.
	StopMember(ctx context.Context, member string) error
	// KillMember ends a member at once; writes that were not synced may be lost.
	KillMember(member string) error
	// StartMember starts a stopped or killed member on its data folder.
	StartMember(ctx context.Context, member string) error
	// WipeMember erases the data folder of a member that is down.
	WipeMember(member string) error
	// ReplaceMember replaces a member by a new one in the same zone, on the same IP, and returns the new identifier.
	ReplaceMember(ctx context.Context, member string) (string, error)

	// CutZone and CutProcess partition a zone or process silently in both directions; the Heal methods end it.
	CutZone(zone string)
	HealZone(zone string)
	CutProcess(process string)
	HealProcess(process string)
	// SlowZone adds to every link into and out of the zone; a zero link ends it.
	SlowZone(zone string, add shape.Link)

	// Stage sends a bundle's parts through a member ahead of its approval; a refusal is a verdict. An error means that
	// the answer was lost or that the member had no quorum.
	Stage(ctx context.Context, member string, s Signed) (Verdict, error)
	// Approve submits the approval of a staged bundle through a member. An error means that the answer was lost or that
	// the member had no quorum; the approval may still be accepted.
	Approve(ctx context.Context, member string, s Signed) (Verdict, error)
	// InForce returns what a node has in force, or false if it is down or holds nothing.
	InForce(node string) (Applied, bool)
	// ControlBytes returns the configuration traffic sent so far, in total and across zones.
	ControlBytes() (total, crossZone int64)
}
