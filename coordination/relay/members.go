package relay

import (
	"slices"
	"time"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
)

// memberRedialInterval is the mean time between two dials of the same member.
const memberRedialInterval = time.Second

// Every fullScanEvery-th orphan scan runs in all peers. The others run only in members, and only while a parent is known
// to be lost, since a scan costs about 1 ms at 16,000 records.
const fullScanEvery = 10

// setMembers updates the links of a member to the other members. A control process that is none has no such links.
func (p *Peer) setMembers(members []MemberInfo) {
	p.learnMembers(members)
	if p.isOutside() {
		members = nil
	}
	known := make(map[string]bool, len(members))
	for _, m := range members {
		known[m.ID] = true
		if _, ok := p.unlinkedSince[m.ID]; !ok && m.ID != p.config.ID && p.memberLink(m.ID) == nil {
			p.unlinkedSince[m.ID] = p.now
		}
	}
	for id := range p.unlinkedSince {
		if !known[id] {
			delete(p.unlinkedSince, id)
			delete(p.nextRedial, id)
		}
	}
	for _, l := range p.linksOf(roleMember) {
		if !known[l.remote.ID] {
			p.dropLink(l)
		}
	}
}

// learnMembers stores the list of members and sends it to the children if it changed.
func (p *Peer) learnMembers(members []MemberInfo) {
	if len(members) == 0 || len(members) > maxMembers || slices.Equal(members, p.members) {
		return
	}
	knewHome := p.knowsHomeMember()
	p.members = slices.Clone(members)
	p.emit(MembersChanged{Members: slices.Clone(members)})
	if !knewHome && p.knowsHomeMember() {
		// The first whole bundle usually follows soon after the first list; it should not cross a link between zones.
		p.scheduleHomeProbe()
	}
	for _, child := range p.children() {
		p.send(child, Message{Members: &Members{Members: p.members}})
	}
}

// isOutside reports whether this peer is a control process that does not belong to the group: it has no state to distribute.
// One that knows no members yet may be one of them, as the group forms.
func (p *Peer) isOutside() bool {
	return p.config.Member && len(p.members) > 0 && !p.isMember(p.config.ID)
}

func (p *Peer) knowsHomeMember() bool {
	return slices.ContainsFunc(p.members, func(m MemberInfo) bool { return m.Zone == p.config.Zone })
}

// memberLink returns the link to a member; nil if there is none.
func (p *Peer) memberLink(id string) *link {
	for _, l := range p.linksOf(roleMember) {
		if l.remote.ID == id {
			return l
		}
	}
	return nil
}

// dialMembers dials the members with a smaller ID to which there is no link.
func (p *Peer) dialMembers() {
	if p.isOutside() {
		return
	}
	for _, m := range p.members {
		if m.ID >= p.config.ID || p.memberLink(m.ID) != nil || p.now.Before(p.nextRedial[m.ID]) {
			continue
		}
		p.nextRedial[m.ID] = p.now.Add(memberRedialInterval/2 + p.random(memberRedialInterval))
		if !p.dialing(m.Address) {
			p.dial(m.Address)
		}
	}
}

func (p *Peer) dialing(address string) bool {
	for _, l := range p.linksOf(roleDialing) {
		if l.address == address {
			return true
		}
	}
	return false
}

// memberUp handles a new link between two members. It replaces an older link to the same member.
func (p *Peer) memberUp(l *link) {
	if !l.remote.Member || l.remote.ID == p.config.ID {
		p.closeLink(l)
		return
	}
	if old := p.memberLink(l.remote.ID); old != nil {
		p.closeLink(old)
	}
	l.role = roleMember
	delete(p.unlinkedSince, l.remote.ID)
	if l.outbound {
		p.poll(l)
		p.sendCrashes(l)
	}
	p.counts.changed = true
}

func (p *Peer) memberDown(l *link) {
	if p.memberLink(l.remote.ID) == nil {
		p.unlinkedSince[l.remote.ID] = l.lastReceived
	}
	p.counts.changed = true
}

// suspectOrphans publishes nodes as suspect whose parent is lost and that have not announced another one. No parent
// notices the failure of such nodes. This covers the failure of a whole rack or zone, where parents and children fail
// together, and the restart of a parent, which forgets its former children. Every peer looks for children that it had
// before its restart; the members look for the children of all other peers.
func (p *Peer) suspectOrphans() {
	s := &p.propagation
	if p.now.Before(s.nextOrphanScan) {
		return
	}
	s.nextOrphanScan = p.now.Add(orphanScanInterval)
	p.orphanScans++
	full := p.orphanScans%fullScanEvery == 0
	if !full && (!p.config.Member || s.table.ExpiringCount() == 0 && len(p.unlinkedSince) == 0) {
		return
	}
	isChild := make(map[string]bool)
	for _, child := range p.children() {
		isChild[child.remote.ID] = true
	}
	orphans := s.table.Select(func(r endpoints.Record, updated time.Time) bool {
		return !r.Expiring() && r.Parent != "" && !isChild[r.ID] && p.isOrphaned(r, updated)
	})
	for _, r := range orphans {
		p.suspect(r.ID)
	}
}

// isOrphaned reports whether the parent of a node, which is not a child of this peer, has been lost for so long that
// the node would have announced another parent if it were alive.
func (p *Peer) isOrphaned(r endpoints.Record, updated time.Time) bool {
	if r.Parent == p.config.ID {
		// The node was a child of this peer before the peer restarted.
		return p.now.Sub(updated) >= memberLossTimeout && p.now.Sub(p.started) >= memberLossTimeout
	}
	if !p.config.Member {
		return false
	}
	if since, ok := p.unlinkedSince[r.Parent]; ok {
		// The parent is a member to which there is no link.
		return p.now.Sub(since) >= memberLossTimeout && updated.Before(since)
	}
	if p.isMember(r.Parent) {
		return false
	}
	parent, ok := p.propagation.table.Get(r.Parent)
	if !ok {
		// The record of the parent was removed, or has not arrived since the start of this process.
		return p.now.Sub(updated) >= endpoints.RemoveAfter && p.now.Sub(p.started) >= endpoints.RemoveAfter
	}
	suspected, _ := p.propagation.table.UpdatedAt(r.Parent)
	return parent.Expiring() && p.now.Sub(suspected) >= orphanGracePeriod && p.now.Sub(updated) >= orphanGracePeriod
}

func (p *Peer) isMember(id string) bool {
	return slices.ContainsFunc(p.members, func(m MemberInfo) bool { return m.ID == id })
}
