package relay

import (
	"slices"
	"strings"
	"time"
)

// maxZones bounds the zones that one member reports to another: four times the design scale of 16.
const maxZones = 64

// ZoneCounts describes the nodes of one availability zone, as far as a member knows.
type ZoneCounts struct {
	Zone   string    `cbor:"1,keyasint"`
	Counts Aggregate `cbor:"2,keyasint"`
	// Age is the time since the figures were received. The nodes of a zone are counted with a further delay of about
	// one poll for each level of the tree.
	Age time.Duration `cbor:"-"`
}

// Zones splits the counts of all nodes by zone.
func (p *Peer) Zones() []ZoneCounts {
	sum := make(map[string]ZoneCounts)
	p.addOwnZones(sum)
	for _, member := range p.linksOf(roleMember) {
		for _, zone := range member.counts.Zones {
			zone.Age = p.now.Sub(member.lastReceived)
			addZone(sum, zone)
		}
	}
	return sortedZones(sum)
}

// ownZones splits the counts of this member's followers by zone. A follower's subtree is in its own zone.
func (p *Peer) ownZones() []ZoneCounts {
	sum := make(map[string]ZoneCounts)
	p.addOwnZones(sum)
	return sortedZones(sum)
}

func (p *Peer) addOwnZones(sum map[string]ZoneCounts) {
	for _, child := range p.children() {
		addZone(sum, ZoneCounts{Zone: child.remote.Zone, Counts: child.counts, Age: p.now.Sub(child.lastReceived)})
	}
}

func addZone(sum map[string]ZoneCounts, zone ZoneCounts) {
	held := sum[zone.Zone]
	sum[zone.Zone] = ZoneCounts{
		Zone: zone.Zone, Counts: held.Counts.add(zone.Counts), Age: max(held.Age, zone.Age),
	}
}

func sortedZones(sum map[string]ZoneCounts) []ZoneCounts {
	var zones []ZoneCounts
	for _, zone := range sum {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b ZoneCounts) int { return strings.Compare(a.Zone, b.Zone) })
	return zones
}
