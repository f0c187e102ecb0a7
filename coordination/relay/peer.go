package relay

import (
	"time"

	"sapphiregate.example/sapphiregate/coordination/endpoints"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// Peer is the distribution machine of one node or control member.
type Peer struct {
	config  Config
	now     time.Time
	table   *endpoints.Table
	outputs []Output
}

// New returns a peer that has just started, with empty memory.
func New(now time.Time, c Config) *Peer {
	return &Peer{config: c, now: now, table: endpoints.NewTable(now, c.TableLimit)}
}

// Hello returns what the transport sends to the other side when it opens a link.
func (p *Peer) Hello() Hello {
	c := p.config
	return Hello{ID: c.ID, Incarnation: c.Incarnation, Zone: c.Zone, Address: c.Address, Member: c.Member}
}

// Tick lets time pass. It is called about every 50 ms.
func (p *Peer) Tick(now time.Time) { p.now = now }

// LinkUp reports that a link is open and names the other side.
func (p *Peer) LinkUp(now time.Time, link LinkID, remote Hello, outbound bool) { p.now = now }

// LinkDown reports that a link has ended, or that a dial failed.
func (p *Peer) LinkDown(now time.Time, link LinkID, reason error) { p.now = now }

// Step handles a message.
func (p *Peer) Step(now time.Time, link LinkID, m Message) { p.now = now }

// Outputs returns what is to be carried out since the last call.
func (p *Peer) Outputs() []Output {
	outputs := p.outputs
	p.outputs = nil
	return outputs
}

// Activated reports that the caller has put a version into force.
func (p *Peer) Activated(now time.Time, version uint64) { p.now = now }

// Announce publishes the node's own endpoint. The peer sets ID, incarnation, sequence, zone and parent itself.
func (p *Peer) Announce(now time.Time, r endpoints.Record) { p.now = now }

// PublishCrash spreads crash reports of the upstream beside this node.
func (p *Peer) PublishCrash(now time.Time, reports []CrashReport) { p.now = now }

// SetSource tells a member that its registry changed. The store stays owned by the caller.
func (p *Peer) SetSource(now time.Time, s Source, store *bundle.Store) { p.now = now }

// SetConfirmed tells a member how long ago a quorum confirmed its registry as current.
func (p *Peer) SetConfirmed(now time.Time, age time.Duration) { p.now = now }

// SetMembers tells a member which control members exist, itself included. It dials those with a smaller ID.
func (p *Peer) SetMembers(now time.Time, members []MemberInfo) { p.now = now }

// Table returns the endpoint table. The caller only reads it, on the goroutine that drives the peer.
func (p *Peer) Table() *endpoints.Table { return p.table }

// Status describes the peer.
func (p *Peer) Status() Status {
	return Status{ID: p.config.ID, Zone: p.config.Zone, Member: p.config.Member}
}
