package balance

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// delayOffset is added to the delay of a zone, so that the weight of a zone without a measurable delay is finite.
const delayOffset = 100 * time.Microsecond

// snapshot is an immutable set of the endpoints of all services. Only the counters of the endpoints change.
type snapshot struct {
	epoch    time.Time
	services map[string]*service
}

// service holds the endpoints of one service that may receive calls.
type service struct {
	averages  *averages
	slowStart time.Duration
	byID      map[string]*endpoint // serving and suspect ones
	// all holds the serving endpoints of all zones, suspects the suspect ones.
	all, suspects *group
	// local is the zone of this process; nil if it has no serving endpoint. zones are all zones with serving endpoints,
	// the nearest first, and remote those other than local.
	local  *group
	zones  []*group
	remote []*group
	// remoteWeights holds the cumulative weights of remote. A zone weighs more with more endpoints and with less delay.
	remoteWeights []float64
	// split is set while a release of the service is rolled out or was rolled back.
	split *releaseSplit
}

// group is a list of endpoints from which a policy selects one.
type group struct {
	zone      string        // empty if the group is not one zone
	delay     time.Duration // one way, to the zone
	endpoints []*endpoint
	cursor    atomic.Uint64 // position of round robin
}

// newSnapshot returns the snapshot of a whole table. old is the snapshot before it, or nil.
func newSnapshot(now time.Time, c Config, old *snapshot, table []Endpoint, settings map[string]bundle.Service) *snapshot {
	s := &snapshot{epoch: now, services: make(map[string]*service)}
	if old != nil {
		s.epoch = old.epoch
	}
	s.addServices(c, old, table, settings)
	return s
}

// withServices returns a copy of the snapshot in which the endpoints of the named services are replaced. Its cost does
// not grow with the number of endpoints of other services.
func (s *snapshot) withServices(c Config, names []string, table []Endpoint, settings map[string]bundle.Service) *snapshot {
	next := &snapshot{epoch: s.epoch, services: maps.Clone(s.services)}
	for _, name := range names {
		delete(next.services, name)
	}
	next.addServices(c, s, table, settings)
	return next
}

// addServices adds the services of a table to the snapshot, which holds none of them yet. Endpoints that are also in
// the old snapshot keep their counters.
func (s *snapshot) addServices(c Config, old *snapshot, table []Endpoint, settings map[string]bundle.Service) {
	added := make(map[string]*service)
	for _, record := range table {
		if record.State != Serving && record.State != Suspect {
			continue
		}
		target := added[record.Service]
		if target == nil {
			target = newService(c, old, record.Service, settings[record.Service])
			added[record.Service] = target
		}
		target.add(c, s.epoch, old, record, settings[record.Service])
	}
	for name, service := range added {
		service.groupByZone(c)
		if rule, ok := c.releaseRules[name]; ok {
			service.splitByRelease(c, rule)
		}
		s.services[name] = service
	}
}

func (s *service) add(c Config, epoch time.Time, old *snapshot, record Endpoint, setting bundle.Service) {
	e, ok := old.find(record)
	if !ok || !e.sameTarget(record) {
		former := e
		e = newEndpoint(epoch, record, s.averages)
		if ok && former.Address == record.Address {
			// The node has restarted beside an upstream that may run on; the speed holds until it has measured anew.
			e.speed.Store(former.speed.Load())
		}
	}
	slots := max(1, record.Slots)
	if setting.MaxConcurrency > 0 {
		slots = min(slots, setting.MaxConcurrency)
	}
	e.slots.Store(int64(slots))
	e.delay.Store(int64(c.ZoneDelay(record.Zone)))
	s.byID[record.ID] = e
	if record.State == Suspect {
		s.suspects.endpoints = append(s.suspects.endpoints, e)
		return
	}
	s.all.endpoints = append(s.all.endpoints, e)
}

// find returns the endpoint with the service and ID of a record. The snapshot may be nil.
func (s *snapshot) find(record Endpoint) (*endpoint, bool) {
	if s == nil || s.services[record.Service] == nil {
		return nil, false
	}
	e, ok := s.services[record.Service].byID[record.ID]
	return e, ok
}

func newService(c Config, old *snapshot, name string, setting bundle.Service) *service {
	created := &service{
		averages: &averages{}, slowStart: c.SlowStart, byID: make(map[string]*endpoint), all: &group{}, suspects: &group{},
	}
	if old != nil && old.services[name] != nil {
		created.averages = old.services[name].averages
	}
	if setting.SlowStartMs > 0 {
		created.slowStart = time.Duration(setting.SlowStartMs) * time.Millisecond
	}
	return created
}

// groupByZone groups the serving endpoints by zone. Within a group they are sorted by a hash of the ID, so that
// endpoints of one rack, which often fail together, are not neighbours: firstAcceptable takes the neighbour of an
// ejected one.
func (s *service) groupByZone(c Config) {
	hashes := make(map[*endpoint]uint64, len(s.all.endpoints))
	for _, e := range s.all.endpoints {
		hashes[e] = hashID(e.ID)
	}
	slices.SortFunc(s.all.endpoints, func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(hashes[a], hashes[b]), cmp.Compare(a.ID, b.ID))
	})
	zones := make(map[string]*group)
	for _, e := range s.all.endpoints {
		zone, ok := zones[e.Zone]
		if !ok {
			zone = &group{zone: e.Zone, delay: time.Duration(e.delay.Load())}
			zones[e.Zone] = zone
			s.zones = append(s.zones, zone)
		}
		zone.endpoints = append(zone.endpoints, e)
	}
	slices.SortFunc(s.zones, func(a, b *group) int {
		return cmp.Or(cmp.Compare(a.delay, b.delay), cmp.Compare(a.zone, b.zone))
	})
	s.splitZones(c)
}

// splitZones sets the local and the remote zones.
func (s *service) splitZones(c Config) {
	sum := 0.0
	for _, zone := range s.zones {
		if zone.zone == c.Zone {
			s.local = zone
			continue
		}
		sum += float64(len(zone.endpoints)) / float64(zone.delay+delayOffset)
		s.remote = append(s.remote, zone)
		s.remoteWeights = append(s.remoteWeights, sum)
	}
}

func hashID(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}
