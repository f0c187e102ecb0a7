package membership_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"sapphiregate.example/sapphiregate/coordination/membership"
)

// losses lists every set of voters that may be lost at once, as a predicate over the index of a voter.
func losses(p membership.Placement, zones []string) []func(int) bool {
	regionOf := func(i int) string { return p.RegionOf[zones[i]] }
	zoneOf := func(i int) string { return zones[i] }
	var list []func(int) bool
	for _, kind := range []struct {
		places int
		place  func(int) string
	}{
		{p.Tolerance.Instances, func(i int) string { return fmt.Sprint(i) }}, {p.Tolerance.Zones, zoneOf}, {p.Tolerance.Regions, regionOf},
	} {
		var names []string
		seen := make(map[string]bool)
		for i := range zones {
			if name := kind.place(i); !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
		for mask := range 1 << len(names) {
			lost := make(map[string]bool)
			for bit, name := range names {
				if mask>>bit&1 == 1 {
					lost[name] = true
				}
			}
			if len(lost) <= kind.places {
				list = append(list, func(i int) bool { return lost[kind.place(i)] })
			}
		}
	}
	return list
}

// survives reports whether each tolerated loss leaves a majority of the voters, and a voter of each majority.
func survives(p membership.Placement, zones []string) bool {
	majority := len(zones)/2 + 1
	for _, isLost := range losses(p, zones) {
		lost := 0
		for i := range zones {
			if isLost(i) {
				lost++
			}
		}
		if len(zones)-lost < majority || lost >= majority {
			return false
		}
	}
	return true
}

// someSurvives reports whether any placement of so many voters survives, as each zone has instances enough.
func someSurvives(p membership.Placement, zones []string, all []string, voters int) bool {
	if len(zones) == voters {
		return survives(p, zones)
	}
	for i, zone := range all {
		if someSurvives(p, append(zones[:len(zones):len(zones)], zone), all[i:], voters) {
			return true
		}
	}
	return false
}

// Guards against voters that stand where one tolerated loss takes the majority, and against a number of voters for which
// there is no better place.
func TestPlacementBearsTheToleratedLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := membership.Placement{RegionOf: make(map[string]string)}
		var all []string
		for i := range rapid.IntRange(1, 5).Draw(t, "zones") {
			zone := fmt.Sprintf("zone-%d", i)
			all = append(all, zone)
			p.RegionOf[zone] = fmt.Sprintf("region-%d", rapid.IntRange(0, 2).Draw(t, "region"))
		}
		p.Tolerance = membership.Tolerance{
			Instances: rapid.IntRange(1, 2).Draw(t, "instances"), Zones: rapid.IntRange(0, 2).Draw(t, "tolerated zones"),
			Regions: rapid.IntRange(0, 1).Draw(t, "tolerated regions"),
		}
		zones := rapid.SliceOfN(rapid.SampledFrom(all), 1, 7).Draw(t, "voters")
		if got, want := p.Shortfall(zones) == 0, survives(p, zones); got != want {
			t.Fatalf("placement %v satisfies the rule: %v, survives each loss: %v", zones, got, want)
		}
		// More than 9 voters help no deployment of this size.
		voters, err := p.Voters()
		for fewer := 2*p.Tolerance.Instances + 1; fewer <= 9 && (err != nil || fewer < voters); fewer += 2 {
			if someSurvives(p, nil, all, fewer) {
				t.Fatalf("%d voters survive, %d wanted (%v)", fewer, voters, err)
			}
		}
		if err == nil && !someSurvives(p, nil, all, voters) {
			t.Fatalf("%d voters survive nowhere", voters)
		}
	})
}
