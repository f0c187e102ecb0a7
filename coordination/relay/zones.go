package relay

import (
	"slices"
	"strings"
	"time"
)

// maxZones bounds the number of zones that one member reports to another: four times the design scale of 16.
const maxZones = 64

// ZoneCounts holds a member's counts of the nodes in one availability zone.
type ZoneCounts struct {
	Zone   string    `cbor:"1,keyasint"`
	Counts Aggregate `cbor:"2,keyasint"`
	// Age is the time since the oldest of the counts was received. Each level of the tree below adds a delay of about one
	// poll to the counts.
	Age time.Duration `cbor:"-"`
}

// Zones returns the counts of all nodes by zone.
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

// ownZones returns the counts of this member's own subtree by zone. The subtree of a child is in the child's zone.
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
	former := sum[zone.Zone]
	sum[zone.Zone] = ZoneCounts{
		Zone: zone.Zone, Counts: former.Counts.add(zone.Counts), Age: max(former.Age, zone.Age),
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
