package balance

import (
	"cmp"
	"slices"
	"time"
)

// EndpointStatus describes one endpoint by the counters of this process.
type EndpointStatus struct {
	ID          string
	Service     string
	Zone        string
	Suspect     bool
	Slots       int
	OwnInFlight int
	// OthersInFlight is the running average of the calls of other nodes in flight, by the load reports. ReportAge is
	// the time since the last report; 0 if there was none.
	OthersInFlight float64
	ReportAge      time.Duration
	// Latency is the expected service time.
	Latency time.Duration
	// Load is the expected number of calls per slot, including the next one.
	Load float64
	// Share is the fraction of its full share of calls that the endpoint receives in its slow start; 1 afterwards.
	Share float64
	// Speed is the reported speed, where 1 is the mean of the service and also the value before the first report.
	// CapacityShare is slots times speed, as a share of the highest of the service.
	Speed         float64
	CapacityShare float64
	// EjectedFor is the remaining ejection time; 0 if the endpoint is not ejected.
	EjectedFor time.Duration
}

// Status returns the serving and suspect endpoints of all services, sorted by service and ID.
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
		OwnInFlight:    int(e.ownInFlight.Load()),
		OthersInFlight: float64(e.otherCalls.Load()) / milli,
		Latency:        time.Duration(e.expectedLatency(c, at)),
		Load:           e.load(c, at),
		Share:          e.slowStartShare(at, slowStart),
		Speed:          e.relativeSpeed(),
		CapacityShare:  e.capacityShare(),
		EjectedFor:     max(0, time.Duration(e.ejectedUntil.Load())-at),
	}
	if reportedAt := e.loadReportedAt.Load(); reportedAt != 0 {
		status.ReportAge = at - time.Duration(reportedAt)
	}
	return status
}
