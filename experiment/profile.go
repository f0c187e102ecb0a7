package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/experiment/load"
	"sapphiregate.example/sapphiregate/experiment/standin"
	"sapphiregate.example/sapphiregate/state/bundle"
	"sapphiregate.example/sapphiregate/transport/shape"
)

// ErrUnknownName reports a profile or scenario that does not exist.
var ErrUnknownName = errors.New("experiment: unknown name")

// CallerZone is the zone name of the callers in the shaped network.
const CallerZone = "callers"

// Service is one service of a profile.
type Service struct {
	Name string
	// Foreground gives the share of each class in the service's demand of lookups and irreversible calls.
	Foreground map[bundle.Class]float64
}

// Profile is one operator's deployment, from the table in section 1 of the design page.
type Profile struct {
	Name        string
	Zones       []string
	ZoneDelay   time.Duration
	CallerDelay time.Duration
	Services    []Service
	Workers     int
	Slots       int
	Connections int
	// Connect is the time an upstream takes to accept a connection.
	Connect time.Duration
	// Loss applies to the links between zones.
	Loss float64
	// Times are the mean service times by class.
	Times map[bundle.Class]time.Duration
	// Deadlines are the route deadlines by class.
	Deadlines map[bundle.Class]time.Duration
}

// classes lists the classes in the order of the report.
var classes = []bundle.Class{bundle.ClassLookup, bundle.ClassIrreversible, bundle.ClassReport}

// Profiles returns the profiles.
func Profiles() []Profile {
	lookups := map[bundle.Class]float64{bundle.ClassLookup: 1}
	mixed := map[bundle.Class]float64{bundle.ClassLookup: 0.5, bundle.ClassIrreversible: 0.5}
	return []Profile{
		{
			Name:      "kalasag",
			Zones:     []string{"luzon-a", "luzon-b", "luzon-c"},
			ZoneDelay: 4 * time.Millisecond, CallerDelay: 8 * time.Millisecond,
			Services: []Service{{"rank", lookups}, {"promotion", mixed}, {"lineage", lookups}, {"archive", lookups}},
			Workers:  3, Slots: 10, Connections: 110, Connect: time.Millisecond,
			// The means keep a run at twice the capacity below 10,000 calls/s, which one machine can carry.
			Times:     times(30, 60, 120),
			Deadlines: times(400, 3000, 2000),
		},
		{
			Name:      "kartuli",
			Zones:     []string{"ge-east-a", "ge-east-b", "ge-east-c", "ge-east-d"},
			ZoneDelay: 5 * time.Millisecond, CallerDelay: 8 * time.Millisecond,
			Services: []Service{{"public", lookups}, {"isbn", mixed}, {"prefix", lookups}, {"catalogue", lookups}},
			Workers:  4, Slots: 20, Connections: 120, Connect: time.Millisecond,
			Loss:      0.002,
			Times:     times(80, 160, 400),
			Deadlines: times(800, 4000, 4000),
		},
	}
}

func times(lookup, irreversible, report int) map[bundle.Class]time.Duration {
	return map[bundle.Class]time.Duration{
		bundle.ClassLookup:       time.Duration(lookup) * time.Millisecond,
		bundle.ClassIrreversible: time.Duration(irreversible) * time.Millisecond,
		bundle.ClassReport:       time.Duration(report) * time.Millisecond,
	}
}

// FindProfile returns the profile with this name.
func FindProfile(name string) (Profile, error) {
	for _, p := range Profiles() {
		if p.Name == name {
			return p, nil
		}
	}
	return Profile{}, errors.Wrapf(ErrUnknownName, "profile %q", name)
}

// Members returns one control member per zone. Three vote; a fourth is a learner, because an even number of voters
// tolerates no more failures than the odd number below it.
func (p Profile) Members() []MemberSpec {
	var members []MemberSpec
	for i, zone := range p.Zones {
		members = append(members, MemberSpec{ID: fmt.Sprintf("control-%d", i+1), Zone: zone, Learner: i >= 3})
	}
	return members
}

// Nodes returns a node beside each upstream, and nodes without an upstream up to the total, spread over the zones.
func (p Profile) Nodes(total int) []NodeSpec {
	var nodes []NodeSpec
	for s, service := range p.Services {
		for worker := range p.Workers {
			zone := p.Zones[(s+worker)%len(p.Zones)]
			nodes = append(nodes, NodeSpec{ID: fmt.Sprintf("node-%s-%d", service.Name, worker+1), Zone: zone, Service: service.Name})
		}
	}
	for i := len(nodes); i < total; i++ {
		nodes = append(nodes, NodeSpec{ID: fmt.Sprintf("node-extra-%04d", i), Zone: p.Zones[i%len(p.Zones)]})
	}
	return nodes
}

// Shape sets the profile's links on a network. It adds the properties of extra to the links between zones.
func (p Profile) Shape(n *shape.Network, extra shape.Link) {
	for i, a := range p.Zones {
		for _, b := range p.Zones[i+1:] {
			n.SetLink(a, b, p.zoneLink().Add(extra))
		}
		n.SetLink(a, CallerZone, shape.Link{Delay: p.CallerDelay})
	}
}

func (p Profile) zoneLink() shape.Link {
	return shape.Link{Delay: p.ZoneDelay, Jitter: p.ZoneDelay / 20, Loss: p.Loss}
}

// RouteName returns the name of the route of a class to a service.
func RouteName(service string, class bundle.Class) string { return service + "-" + string(class) }

// RoutePath returns the path of the route of a class to a service.
func RoutePath(service string, class bundle.Class) string { return "/" + service + "/" + string(class) }

// Bundle returns the profile's configuration. The revision changes one resource and is visible in no call.
func (p Profile) Bundle(revision uint64) *bundle.Bundle {
	b := &bundle.Bundle{Resources: []bundle.Resource{{
		Name: "revision", Kind: bundle.ResourceHeaders,
		Headers: map[string]string{"Experiment-Revision": fmt.Sprint(revision)},
	}}}
	for _, service := range p.Services {
		b.Services = append(b.Services, bundle.Service{Name: service.Name, SlowStartMs: 1000})
		for _, class := range classes {
			b.Routes = append(b.Routes, p.route(service.Name, class))
		}
	}
	slices.SortFunc(b.Services, func(a, b bundle.Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(b.Routes, func(a, b bundle.Route) int { return cmp.Compare(a.Name, b.Name) })
	return b
}

func (p Profile) route(service string, class bundle.Class) bundle.Route {
	route := bundle.Route{
		Name:       RouteName(service, class),
		Match:      bundle.Match{PathPrefix: RoutePath(service, class)},
		Service:    service,
		Class:      class,
		DeadlineMs: int(p.Deadlines[class] / time.Millisecond),
		Zone:       bundle.ZonePreferLocal,
		Resources:  []string{"revision"},
	}
	if class == bundle.ClassIrreversible {
		route.Match.Methods = []string{"POST"}
	}
	return route
}

// Upstream returns the options of a stand-in of the profile.
func (p Profile) Upstream(seed int64) standin.Options {
	return standin.Options{Seed: seed, Slots: p.Slots, Connections: p.Connections, Connect: p.Connect, Times: p.Times}
}

// Demand returns the arrival rates that put the given shares of the slots' capacity on every service.
func (p Profile) Demand(foreground, reports float64) load.Rates {
	rates := make(load.Rates)
	slots := float64(p.Workers * p.Slots)
	for _, service := range p.Services {
		for class, share := range service.Foreground {
			rates[load.Route{Service: service.Name, Class: class}] = foreground * share * slots / p.Times[class].Seconds()
		}
		rates[load.Route{Service: service.Name, Class: bundle.ClassReport}] = reports * slots / p.Times[bundle.ClassReport].Seconds()
	}
	return rates
}
