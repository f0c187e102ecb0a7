package relay

import (
	"time"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/state/release"
)

// LinkID identifies one link of this peer. The peer chooses the IDs of the links that it dials, with OutboundLink set;
// the caller chooses those of accepted links, without it. No ID is used twice.
type LinkID uint64

// OutboundLink is the bit that is set in the IDs of dialed links.
const OutboundLink LinkID = 1 << 63

// Output is an action that the caller carries out. Outputs are carried out in order.
type Output interface{ output() }

// Send sends a message. The messages of one link must arrive in order; if one is lost, the link must end.
type Send struct {
	Link    LinkID
	Message Message
}

// Dial opens a link. The caller calls LinkUp after the exchange of Hello, or LinkDown if that fails.
type Dial struct {
	Link    LinkID
	Address string
}

// Close closes a link after the messages that were sent on it before. The caller does not call LinkDown for it.
type Close struct {
	Link LinkID
}

// Activate puts a bundle into force. The caller calls Activated once the bundle is in use.
type Activate struct {
	Approval bundle.Approval
	Bundle   *bundle.Bundle
}

// Refused reports an approved bundle that this peer does not put into force.
type Refused struct {
	Version uint64
	Reason  string
}

// EndpointsChanged reports which records of the endpoint table were added, changed or dropped.
type EndpointsChanged struct {
	IDs []string
}

// MembersChanged reports the control members, whenever this peer learns another list of them.
type MembersChanged struct {
	Members []MemberInfo
}

// ParentChanged reports that this node follows another parent, or none.
type ParentChanged struct {
	// Former and Parent are the IDs of the former and the new parent; empty if there was or is none. Zone is the zone of the
	// new parent.
	Former, Parent, Zone string
	// Confirmed, Version and Age are the latest confirmation that this node has: Version was the latest approved version at
	// some time within the last Age.
	Confirmed bool
	Version   uint64
	Age       time.Duration
}

// UpstreamLeaving reports that the upstream said to an earlier process of this node that it is about to stop.
type UpstreamLeaving struct {
	Upstream endpoints.UpstreamProcess
}

// CrashesReceived reports crash reports that arrived from other peers and were not known before.
type CrashesReceived struct {
	Reports []CrashReport
}

// RolloutsChanged reports the rollouts that were started or have changed.
type RolloutsChanged struct {
	Rollouts []release.Rollout
}

// ResultsReceived reports results of calls during rollouts to a member.
type ResultsReceived struct {
	Reports []release.Results
}

func (Send) output()             {}
func (Dial) output()             {}
func (Close) output()            {}
func (Activate) output()         {}
func (Refused) output()          {}
func (EndpointsChanged) output() {}
func (MembersChanged) output()   {}
func (ParentChanged) output()    {}
func (UpstreamLeaving) output()  {}
func (CrashesReceived) output()  {}
func (RolloutsChanged) output()  {}
func (ResultsReceived) output()  {}
