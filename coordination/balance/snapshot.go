package balance

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync/atomic"
	"time"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// delayOffset keeps the weight of zones without a measurable delay finite.
const delayOffset = 100 * time.Microsecond

// snapshot is the immutable set of candidates of all services.
type snapshot struct {
	epoch     time.Time
	endpoints map[string]*endpoint
	services  map[string]*service
}

// service holds the candidates of one service.
type service struct {
	averages  *averages
	slowStart time.Duration
	// all holds the serving endpoints of all zones, suspects the suspect ones.
	all, suspects *group
	// local is nil if the zone of this process has no serving endpoint.
	local  *group
	zones  []*group
	remote []*group
	// remoteWeights holds the running sum of the weights of remote: more endpoints and less delay weigh more.
	remoteWeights []float64
}

// group is a list of candidates.
type group struct {
	zone      string
	delay     time.Duration
	endpoints []*endpoint
	cursor    atomic.Uint64 // position of round robin
}

func newSnapshot(now time.Time, c Config, old *snapshot, table []Endpoint, settings map[string]bundle.Service) *snapshot {
	if old == nil {
		old = &snapshot{epoch: now}
	}
	s := &snapshot{
		epoch:     old.epoch,
		endpoints: make(map[string]*endpoint, len(table)),
		services:  make(map[string]*service),
	}
	for _, record := range table {
		if record.State != Serving && record.State != Suspect {
			continue
		}
		s.add(c, old, record, settings[record.Service])
	}
	for _, service := range s.services {
		service.arrange(c)
	}
	return s
}

func (s *snapshot) add(c Config, old *snapshot, record Endpoint, setting bundle.Service) {
	target := s.service(c, old, record.Service, setting)
	e, ok := old.endpoints[record.ID]
	if !ok || !e.sameTarget(record) {
		e = newEndpoint(s.epoch, record, target.averages)
	}
	slots := max(1, record.Slots)
	if setting.MaxConcurrency > 0 {
		slots = min(slots, setting.MaxConcurrency)
	}
	e.slots.Store(int64(slots))
	e.delay.Store(int64(c.ZoneDelay(record.Zone)))
	s.endpoints[record.ID] = e
	if record.State == Suspect {
		target.suspects.endpoints = append(target.suspects.endpoints, e)
		return
	}
	target.all.endpoints = append(target.all.endpoints, e)
}

func (s *snapshot) service(c Config, old *snapshot, name string, setting bundle.Service) *service {
	if found, ok := s.services[name]; ok {
		return found
	}
	created := &service{averages: &averages{}, slowStart: c.SlowStart, all: &group{}, suspects: &group{}}
	if previous, ok := old.services[name]; ok {
		created.averages = previous.averages
	}
	if setting.SlowStartMs > 0 {
		created.slowStart = time.Duration(setting.SlowStartMs) * time.Millisecond
	}
	s.services[name] = created
	return created
}

// arrange groups the serving endpoints by zone. The order within a group follows a hash of the identifier, so that
// the endpoints that follow an ejected one differ from rack to rack.
func (s *service) arrange(c Config) {
	hashes := make(map[*endpoint]uint64, len(s.all.endpoints))
	for _, e := range s.all.endpoints {
		hashes[e] = hashOf(e.ID)
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
	s.arrangeRemote(c)
}

func (s *service) arrangeRemote(c Config) {
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

func hashOf(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}
