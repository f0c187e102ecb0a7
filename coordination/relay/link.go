package relay

import (
	"cmp"
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// role is what a link is used for.
type role uint8

const (
	// roleDialing is an outbound link that is being opened.
	roleDialing role = iota
	// rolePending is an inbound link on which no Join has been accepted yet.
	rolePending
	// roleCandidate is an outbound link on which a Join was sent and not answered yet.
	roleCandidate
	// roleParent is the link to the parent.
	roleParent
	// roleChild is the link to a child.
	roleChild
	// roleMember is a link between two control members.
	roleMember
)

// link is the state of one link to another peer.
type link struct {
	id           LinkID
	role         role
	outbound     bool
	address      string
	remote       Hello
	openedAt     time.Time
	lastReceived time.Time

	// Fields of the side that polls: a child, or the member that dialed the other one.
	nextPoll time.Time
	sequence uint64
	pollSent [8]time.Time // send times of the last polls, by sequence modulo 8
	anyZone  bool

	// Fields of the side that is polled. synced is set by the first poll; before it, no changes are sent.
	synced           bool
	joinRecords      int // size of the other side's table when it joined
	remoteBundles    []bundle.Digest
	counts           Aggregate
	digestMismatches int
	comparedAt       time.Time

	sentCounts Aggregate // counts that were last sent on this link
}

func (l *link) compareID(id LinkID) int { return cmp.Compare(l.id, id) }

// LinkUp tells the peer that a link is open and who the other side is.
func (p *Peer) LinkUp(now time.Time, id LinkID, remote Hello, outbound bool) {
	p.advance(now)
	if outbound {
		p.outboundUp(id, remote)
	} else {
		p.inboundUp(id, remote)
	}
}

func (p *Peer) outboundUp(id LinkID, remote Hello) {
	l, ok := p.links[id]
	if !ok {
		p.emit(Close{Link: id}) // The attempt timed out while the dial was in progress.
		return
	}
	l.remote, l.openedAt, l.lastReceived = remote, p.now, p.now
	if p.config.Member {
		p.memberUp(l)
		return
	}
	p.requestJoin(l)
}

func (p *Peer) inboundUp(id LinkID, remote Hello) {
	l := &link{id: id, remote: remote, role: rolePending, openedAt: p.now, lastReceived: p.now}
	p.addLink(l)
	if p.config.Member && remote.Member {
		p.memberUp(l)
	}
}

// LinkDown tells the peer that a link was closed or lost, or that a dial failed.
func (p *Peer) LinkDown(now time.Time, id LinkID, _ error) {
	p.advance(now)
	if l, ok := p.links[id]; ok {
		p.handleLinkEnd(l)
	}
}

// dropLink closes a link and handles its end.
func (p *Peer) dropLink(l *link) {
	p.emit(Close{Link: l.id})
	p.handleLinkEnd(l)
}

// handleLinkEnd removes a closed link and the state that depends on it, according to the link's role.
func (p *Peer) handleLinkEnd(l *link) {
	p.removeLink(l)
	switch l.role {
	case roleParent:
		p.handleParentLoss()
	case roleChild:
		p.addFormerChild(l)
		p.counts.changed = true
	case roleMember:
		p.memberDown(l)
	case roleDialing, roleCandidate:
		p.attemptFailed(l)
	}
}

// checkLinks drops open links without messages for linkTimeout, and attempts to join that take longer than joinTimeout.
func (p *Peer) checkLinks() {
	for _, l := range p.linksOf(rolePending, roleParent, roleChild, roleMember) {
		if p.now.Sub(l.lastReceived) >= linkTimeout {
			p.dropLink(l)
		}
	}
	for _, l := range p.linksOf(roleDialing, roleCandidate) {
		if p.now.Sub(l.openedAt) >= joinTimeout {
			p.dropLink(l)
		}
	}
}

// Step handles a message that arrived on a link.
func (p *Peer) Step(now time.Time, id LinkID, m Message) {
	p.advance(now)
	l, ok := p.links[id]
	if !ok {
		return // The link was closed while the message was in flight.
	}
	l.lastReceived = p.now
	switch l.role {
	case rolePending:
		p.stepPending(l, m)
	case roleCandidate:
		p.stepCandidate(l, m)
	case roleParent:
		p.stepParent(l, m)
	case roleChild, roleMember:
		p.stepPolled(l, m)
	}
}

// stepPending handles a message on an inbound link before its Join is accepted.
func (p *Peer) stepPending(l *link, m Message) {
	if m.Join != nil {
		p.handleJoin(l, *m.Join)
	}
}

// stepCandidate handles the reply to a Join.
func (p *Peer) stepCandidate(l *link, m Message) {
	switch {
	case m.Accept != nil:
		p.handleAccept(l, *m.Accept)
	case m.Redirect != nil:
		p.handleRedirect(l, m.Redirect.Addresses)
	case m.RetryAfter != nil:
		p.handleRetryAfter(l, *m.RetryAfter)
	}
}

// stepParent handles a message from the parent.
func (p *Peer) stepParent(l *link, m Message) {
	switch {
	case m.PollReply != nil:
		p.handlePollReply(l, *m.PollReply)
	case m.Approved != nil:
		p.receiveApproval(*m.Approved)
	case m.Parts != nil:
		p.receiveParts(*m.Parts)
	case m.Members != nil:
		p.learnMembers(m.Members.Members)
	case m.Rollouts != nil:
		p.mergeRollouts(m.Rollouts.Rollouts)
	case m.Redirect != nil:
		p.handleEviction(l, m.Redirect.Addresses)
	default:
		p.stepCommon(l, m)
	}
}

// stepPolled handles a message from a child or another member.
func (p *Peer) stepPolled(l *link, m Message) {
	switch {
	case m.Poll != nil:
		p.handlePoll(l, *m.Poll)
	case m.PollReply != nil:
		// Only members get here: among them the reply only shows that the other side is alive.
	case m.Aggregate != nil:
		p.setCounts(l, *m.Aggregate)
	case m.Results != nil:
		p.receiveResults(l, m.Results.Reports)
	case m.Fetch != nil && l.role == roleChild:
		p.handleFetch(l, *m.Fetch)
	case m.Leave != nil && l.role == roleChild:
		p.dropLink(l)
	default:
		p.stepCommon(l, m)
	}
}

// stepCommon handles the messages that parents, children and members all send.
func (p *Peer) stepCommon(l *link, m Message) {
	switch {
	case m.Endpoints != nil:
		p.receiveRecords(l, *m.Endpoints)
	case m.Compare != nil:
		p.handleCompare(l, *m.Compare)
	case m.Crashes != nil:
		p.receiveCrashes(l, m.Crashes.Reports)
	}
}
