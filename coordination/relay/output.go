package relay

import (
	"sapphiregate.example/sapphiregate/state/bundle"
)

// LinkID names one link of this peer. The peer chooses the numbers of the links that it dials, with OutboundLink set;
// the caller chooses those of accepted links, without it. A number is never used twice.
type LinkID uint64

// OutboundLink is the bit that is set in the numbers of dialed links.
const OutboundLink LinkID = 1 << 63

// Output is what the caller carries out, in order.
type Output interface{ output() }

// Send transmits a message. Messages of one link arrive in order or the link ends.
type Send struct {
	Link    LinkID
	Message Message
}

// Dial opens a link. The caller answers with LinkUp after the exchange of Hello, or with LinkDown.
type Dial struct {
	Link    LinkID
	Address string
}

// Close ends a link after the messages sent before it. The caller does not report LinkDown for it.
type Close struct {
	Link LinkID
}

// Activate puts a bundle into force. The caller answers with Activated after its pointer swap.
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

// CrashesReceived hands on crash reports that were not known before.
type CrashesReceived struct {
	Reports []CrashReport
}

func (Send) output()             {}
func (Dial) output()             {}
func (Close) output()            {}
func (Activate) output()         {}
func (Refused) output()          {}
func (EndpointsChanged) output() {}
func (CrashesReceived) output()  {}
