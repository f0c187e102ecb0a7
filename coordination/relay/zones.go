package relay

import "time"

// ZoneCounts describes the nodes of one availability zone, as far as a member knows.
type ZoneCounts struct {
	Zone   string
	Counts Aggregate
	// Age is the time since the figures were received; the zone's own nodes are counted with a delay of about one poll
	// for each level of the tree.
	Age time.Duration
}

// Zones splits the counts of all nodes by zone.
func (p *Peer) Zones() []ZoneCounts { return nil }
