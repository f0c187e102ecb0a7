package relay

import (
	"cmp"
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// role is what a link is used for.
type role uint8

const (
	// roleDialing is an outbound link that is not open yet.
	roleDialing role = iota
	// rolePending is an inbound link before Join.
	rolePending
	// roleCandidate is an outbound link after Join, before the answer.
	roleCandidate
	roleParent
	roleChild
	// roleMember is a link between two control members.
	roleMember
)

// link is one open or opening link.
type link struct {
	id       LinkID
	role     role
	outbound bool
	address  string
	remote   Hello
	opened   time.Time
	heard    time.Time

	// Of the side that polls.
	nextPoll time.Time
	sequence uint64
	pollSent [8]time.Time // send times of the last polls, by sequence modulo 8
	anyZone  bool

	// Of the side that is polled.
	synced     bool
	records    int // size of the other side's table when it joined
	holds      []bundle.Digest
	counts     Aggregate
	mismatches int
	comparedAt time.Time

	sentCounts Aggregate
}

func (l *link) compareID(id LinkID) int { return cmp.Compare(l.id, id) }

// LinkUp reports that a link is open and names the other side.
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
		p.emit(Close{Link: id}) // The attempt was given up while the dial was in progress.
		return
	}
	l.remote, l.opened, l.heard = remote, p.now, p.now
	if p.config.Member {
		p.memberUp(l)
		return
	}
	p.candidateUp(l)
}

func (p *Peer) inboundUp(id LinkID, remote Hello) {
	l := &link{id: id, remote: remote, role: rolePending, opened: p.now, heard: p.now}
	p.addLink(l)
	if p.config.Member && remote.Member {
		p.memberUp(l)
	}
}

// LinkDown reports that a link has ended, or that a dial failed.
func (p *Peer) LinkDown(now time.Time, id LinkID, _ error) {
	p.advance(now)
	if l, ok := p.links[id]; ok {
		p.ended(l)
	}
}

// drop closes a link and lets the state that depends on it go.
func (p *Peer) drop(l *link) {
	p.emit(Close{Link: l.id})
	p.ended(l)
}

// ended removes a link that is closed.
func (p *Peer) ended(l *link) {
	p.removeLink(l)
	switch l.role {
	case roleParent:
		p.parentLost()
	case roleChild:
		p.watch(l)
		p.counts.changed = true
	case roleMember:
		p.memberDown(l)
	case roleDialing, roleCandidate:
		p.attemptFailed(l)
	}
}

// checkLinks gives up the links that are silent for too long.
func (p *Peer) checkLinks() {
	for _, l := range p.linksOf(rolePending, roleParent, roleChild, roleMember) {
		if p.now.Sub(l.heard) >= silenceLimit {
			p.drop(l)
		}
	}
	for _, l := range p.linksOf(roleDialing, roleCandidate) {
		if p.now.Sub(l.opened) >= attemptTimeout {
			p.drop(l)
		}
	}
}

// Step handles a message.
func (p *Peer) Step(now time.Time, id LinkID, m Message) {
	p.advance(now)
	l, ok := p.links[id]
	if !ok {
		return // The link was closed while the message was in flight.
	}
	l.heard = p.now
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

func (p *Peer) stepPending(l *link, m Message) {
	if m.Join != nil {
		p.admit(l, *m.Join)
	}
}

func (p *Peer) stepCandidate(l *link, m Message) {
	switch {
	case m.Accept != nil:
		p.accepted(l, *m.Accept)
	case m.Redirect != nil:
		p.redirected(l, m.Redirect.Addresses)
	case m.RetryAfter != nil:
		p.delayed(l, *m.RetryAfter)
	}
}

func (p *Peer) stepParent(l *link, m Message) {
	switch {
	case m.PollReply != nil:
		p.pollAnswered(l, *m.PollReply)
	case m.Approved != nil:
		p.learnApproval(*m.Approved)
	case m.Parts != nil:
		p.receiveParts(*m.Parts)
	case m.Members != nil:
		p.learnMembers(m.Members.Members)
	case m.Redirect != nil:
		p.evicted(l, m.Redirect.Addresses)
	default:
		p.stepShared(l, m)
	}
}

func (p *Peer) stepPolled(l *link, m Message) {
	switch {
	case m.Poll != nil:
		p.answerPoll(l, *m.Poll)
	case m.PollReply != nil:
		// Between members the reply only shows that the other side is alive.
	case m.Aggregate != nil:
		p.setCounts(l, *m.Aggregate)
	case m.Fetch != nil && l.role == roleChild:
		p.answerFetch(l, *m.Fetch)
	case m.Leave != nil && l.role == roleChild:
		p.drop(l)
	default:
		p.stepShared(l, m)
	}
}

func (p *Peer) stepShared(l *link, m Message) {
	switch {
	case m.Endpoints != nil:
		p.receiveRecords(l, *m.Endpoints)
	case m.Compare != nil:
		p.answerCompare(l, *m.Compare)
	case m.Crashes != nil:
		p.receiveCrashes(l, m.Crashes.Reports)
	}
}
