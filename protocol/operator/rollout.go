package operator

import (
	"slices"

	"sapphiregate.example/sapphiregate/state/registry"
)

// MaxFreshAgeMs is the age in milliseconds above which the counts of proxies are too old to prove that a version is in
// force. Several polls through the distribution tree take less time.
const MaxFreshAgeMs int64 = 10_000

// Fresh reports whether an age in milliseconds is known and at most MaxFreshAgeMs.
func Fresh(ageMs int64) bool { return ageMs != AgeUnknown && ageMs <= MaxFreshAgeMs }

// InForce returns the number of proxies of the zone that have the version or a later one in force. Since Versions lists
// only the newest versions, LowestVersion tells whether all proxies have at least an older one.
func (z ZoneStatus) InForce(version uint64) int {
	if z.LowestVersion >= version {
		return z.Proxies
	}
	count := 0
	for _, entry := range z.Versions {
		if entry.Version >= version {
			count += entry.Proxies
		}
	}
	return count
}

// ZoneRollout returns the state of the latest version's rollout in a zone.
func ZoneRollout(latest uint64, stopped bool, z ZoneStatus) RolloutState {
	switch {
	case latest == 0:
		return RolloutNone
	case stopped:
		return RolloutStopped
	case !Fresh(z.AgeMs):
		return RolloutUnknown
	case z.InForce(latest) == z.Proxies:
		return RolloutInForce
	default:
		return RolloutInProgress
	}
}

// MeshRollout returns the state of the latest version's rollout over all zones, by the Rollout of each zone.
func MeshRollout(latest uint64, stopped bool, zones []ZoneStatus) RolloutState {
	if latest == 0 {
		return RolloutNone
	}
	if stopped {
		return RolloutStopped
	}
	proxies := 0
	combined := RolloutInForce
	for _, zone := range zones {
		proxies += zone.Proxies
		if zone.Rollout == RolloutInProgress || (zone.Rollout == RolloutUnknown && combined == RolloutInForce) {
			combined = zone.Rollout
		}
	}
	if proxies == 0 {
		return RolloutUnknown
	}
	return combined
}

// NewestRecords returns at most limit records of a registry's history, newest first.
func NewestRecords(records []registry.HistoryRecord, limit int) []registry.HistoryRecord {
	list := slices.Clone(records[max(0, len(records)-limit):])
	slices.Reverse(list)
	return list
}
