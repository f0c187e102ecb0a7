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

// delayOffset keeps the weight of zones without a measurable delay finite.
const delayOffset = 100 * time.Microsecond

// snapshot is the immutable set of candidates of all services.
type snapshot struct {
	epoch    time.Time
	services map[string]*service
}

// service holds the candidates of one service.
type service struct {
	averages  *averages
	slowStart time.Duration
	// byID holds the endpoints whose counters a later snapshot keeps.
	byID map[string]*endpoint
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

// newSnapshot builds the snapshot of a whole table.
func newSnapshot(now time.Time, c Config, old *snapshot, table []Endpoint, settings map[string]bundle.Service) *snapshot {
	s := &snapshot{epoch: now, services: make(map[string]*service)}
	if old != nil {
		s.epoch = old.epoch
	}
	s.replace(c, old, table, settings)
	return s
}

// withServices returns a snapshot in which the endpoints of some services are replaced. The cost does not grow with the
// endpoints of the others.
func (s *snapshot) withServices(c Config, names []string, table []Endpoint, settings map[string]bundle.Service) *snapshot {
	next := &snapshot{epoch: s.epoch, services: maps.Clone(s.services)}
	for _, name := range names {
		delete(next.services, name)
	}
	next.replace(c, s, table, settings)
	return next
}

// replace adds the services of a table that the snapshot does not hold yet.
func (s *snapshot) replace(c Config, old *snapshot, table []Endpoint, settings map[string]bundle.Service) {
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
		service.arrange(c)
		s.services[name] = service
	}
}

func (s *service) add(c Config, epoch time.Time, old *snapshot, record Endpoint, setting bundle.Service) {
	e, ok := old.endpoint(record)
	if !ok || !e.sameTarget(record) {
		e = newEndpoint(epoch, record, s.averages)
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

// endpoint returns what an earlier snapshot knows of an endpoint.
func (s *snapshot) endpoint(record Endpoint) (*endpoint, bool) {
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
