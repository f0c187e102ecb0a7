package retry

import (
	"sync/atomic"
	"time"
)

// Limits bounds the retries of all nodes together: in each Window, a service may get Share of its calls and Allowance
// calls more as retries. Zero fields take the defaults of Config.
type Limits struct {
	Share     float64
	Window    time.Duration
	Allowance float64
}

const (
	// routeShare is the part of Limits.Share that the calls of a route may use. The calls that a repeated run makes count
	// as retries at the services that are called, and use the rest.
	routeShare = 0.5
	// steadyShare is the part of Limits.Allowance that flows steadily in place of being saved up.
	steadyShare = 0.5
	percent     = 100
)

// Fleet divides Limits among the nodes, whose number changes while they run. It is safe for concurrent use.
type Fleet struct {
	limits Limits
	nodes  atomic.Int64
}

// NewFleet returns a fleet of one node.
func NewFleet(limits Limits) *Fleet {
	f := &Fleet{limits: limits}
	f.nodes.Store(1)
	return f
}

// SetNodes sets the number of nodes, including this one.
func (f *Fleet) SetNodes(count int) { f.nodes.Store(int64(max(1, count))) }

// percent returns this node's retries as a percentage of the calls of a route, or a default.
func (f *Fleet) percent(otherwise int) int {
	if f == nil || f.limits.Share == 0 {
		return otherwise
	}
	return int(routeShare * f.limits.Share * percent)
}

// burst returns the capacity of a budget in retries, at least one, or a default.
func (f *Fleet) burst(otherwise float64) float64 {
	if f == nil || f.limits.Allowance == 0 {
		return otherwise
	}
	return max(1, (1-steadyShare)*f.limits.Allowance/float64(f.nodes.Load()))
}

// perSecond returns the rate of retries that is allowed whatever the number of calls, or a default.
func (f *Fleet) perSecond(otherwise float64) float64 {
	if f == nil || f.limits.Allowance == 0 || f.limits.Window == 0 {
		return otherwise
	}
	return steadyShare * f.limits.Allowance / f.limits.Window.Seconds() / float64(f.nodes.Load())
}
