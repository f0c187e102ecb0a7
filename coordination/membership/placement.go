package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// MaxVoters bounds the voters of a group: each of them delays commits and costs traffic between zones.
const MaxVoters = 19

// ErrNoPlacement reports tolerated losses that the zones of a deployment do not allow, wherever the voters stand.
var ErrNoPlacement = errors.New("membership: no placement of the voters bears the tolerated losses")

// Tolerance says what may be lost at once: so many instances, or all instances of so many availability zones, or all
// instances of so many regions.
type Tolerance struct{ Instances, Zones, Regions int }

// Placement is the rule where the voters of a group stand: whatever may be lost at once leaves a majority of them. Any two
// majorities share a voter, so that each committed entry is then also on a disk that is left.
type Placement struct {
	Tolerance Tolerance
	// RegionOf maps each availability zone of the deployment to its region. A zone that it lacks is a region of its own.
	RegionOf map[string]string
}

// Shortfall returns by how many voters the placement in the given zones, one for each voter, fails the rule; 0 if it holds.
// It is a sum over the kinds of losses, so that it falls with each step towards a placement that satisfies the rule.
func (p Placement) Shortfall(zones []string) int {
	regions := make([]string, 0, len(zones))
	for _, zone := range zones {
		regions = append(regions, p.regionOf(zone))
	}
	minority := (len(zones) - 1) / 2
	beyond := func(lost int) int { return max(0, lost-minority) }
	return beyond(min(p.Tolerance.Instances, len(zones))) + beyond(inLargest(p.Tolerance.Zones, zones)) +
		beyond(inLargest(p.Tolerance.Regions, regions))
}

func (p Placement) regionOf(zone string) string {
	if region, ok := p.RegionOf[zone]; ok {
		return region
	}
	return "zone " + zone
}

// inLargest returns the number of voters in those places, as many as given, that have the most.
func inLargest(places int, placeOfEach []string) int {
	counts := slices.Sorted(maps.Values(countEach(placeOfEach)))
	sum := 0
	for _, count := range counts[max(0, len(counts)-places):] {
		sum += count
	}
	return sum
}

func countEach(list []string) map[string]int {
	counts := make(map[string]int)
	for _, element := range list {
		counts[element]++
	}
	return counts
}

// Voters returns the least odd number of voters for which a placement satisfies the rule, if each zone has instances enough.
// If there is none, it returns the number that bears the loss of instances, and ErrNoPlacement. Zones that are not known
// count as enough.
func (p Placement) Voters() (int, error) {
	t := p.Tolerance
	least := 2*max(t.Instances, 1) + 1
	if len(p.RegionOf) == 0 {
		return max(least, 2*max(t.Zones, t.Regions)+1), nil
	}
	for voters := least; voters <= MaxVoters; voters += 2 {
		if p.Shortfall(p.spread(voters)) == 0 {
			return voters, nil
		}
	}
	return least, errors.Wrapf(ErrNoPlacement, "tolerated: %d zones of %d, %d regions of %d", t.Zones, len(p.RegionOf),
		t.Regions, len(countEach(slices.Collect(maps.Values(p.RegionOf)))))
}

// spread places voters in the zones one by one, each where there are the fewest: in the region first if the loss of regions
// is tolerated.
func (p Placement) spread(voters int) []string {
	all := slices.Sorted(maps.Keys(p.RegionOf))
	inZone, inRegion := make(map[string]int), make(map[string]int)
	var zones []string
	for range voters {
		zone := slices.MinFunc(all, func(a, b string) int {
			byZone := cmp.Compare(inZone[a], inZone[b])
			if p.Tolerance.Regions == 0 {
				return byZone
			}
			return cmp.Or(cmp.Compare(inRegion[p.RegionOf[a]], inRegion[p.RegionOf[b]]), byZone)
		})
		inZone[zone]++
		inRegion[p.RegionOf[zone]]++
		zones = append(zones, zone)
	}
	return zones
}
