package balance

import (
	"cmp"
	"slices"
	"time"
)

// EndpointStatus describes one endpoint as this process sees it, for the state dump.
type EndpointStatus struct {
	ID          string
	Service     string
	Zone        string
	Suspect     bool
	Slots       int
	OwnInFlight int
	// OthersInFlight is the averaged report on the calls of other nodes, and ReportAge the time since the last one.
	OthersInFlight float64
	ReportAge      time.Duration
	Latency        time.Duration
	// Load is the load per slot that Pick would use now.
	Load float64
	// Share is the part of its full share of calls that a new endpoint receives.
	Share float64
	// EjectedFor is the remaining ejection time.
	EjectedFor time.Duration
}

// Status returns the candidates of all services, in order of service and identifier.
func (b *Balancer) Status(now time.Time) []EndpointStatus {
	s := b.snapshot.Load()
	if s == nil {
		return nil
	}
	at := now.Sub(s.epoch)
	var list []EndpointStatus
	for _, service := range s.services {
		for _, e := range service.all.endpoints {
			list = append(list, e.status(&b.config, at, service.slowStart, false))
		}
		for _, e := range service.suspects.endpoints {
			list = append(list, e.status(&b.config, at, service.slowStart, true))
		}
	}
	slices.SortFunc(list, func(a, b EndpointStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return list
}

func (e *endpoint) status(c *Config, at, slowStart time.Duration, suspect bool) EndpointStatus {
	status := EndpointStatus{
		ID:             e.ID,
		Service:        e.Service,
		Zone:           e.Zone,
		Suspect:        suspect,
		Slots:          int(e.slots.Load()),
		OwnInFlight:    int(e.own.Load()),
		OthersInFlight: float64(e.others.Load()) / milli,
		Latency:        time.Duration(e.expectedLatency(c, at)),
		Load:           e.load(c, at),
		Share:          e.share(at, slowStart),
		EjectedFor:     max(0, time.Duration(e.ejectedUntil.Load())-at),
	}
	if reportedAt := e.reportedAt.Load(); reportedAt != 0 {
		status.ReportAge = at - time.Duration(reportedAt)
	}
	return status
}
