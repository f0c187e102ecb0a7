// Package bundle holds the configuration model that operators declare: services, routes and resources,
// their canonical encoding, their digests and the differences between versions.
package bundle

// Class tells how a route's calls are treated when capacity is short and when an answer is lost.
type Class string

// The classes, in the order in which admission serves them.
const (
	ClassIrreversible Class = "irreversible"
	ClassLookup       Class = "lookup"
	ClassReport       Class = "report"
)

// ZonePolicy tells which availability zones a route's calls may be sent to.
type ZonePolicy string

const (
	// ZonePreferLocal sends calls to the local zone while it has capacity.
	ZonePreferLocal ZonePolicy = "prefer-local"
	// ZoneAny spreads calls over all zones.
	ZoneAny ZonePolicy = "any"
)

// ResourceKind names what a resource configures.
type ResourceKind string

const (
	// ResourceHeaders adds headers to requests that go to the upstream.
	ResourceHeaders ResourceKind = "headers"
	// ResourceCallLimit bounds the calls per second that one node accepts for a route.
	ResourceCallLimit ResourceKind = "call-limit"
	// ResourceCallerLimits bounds what callers may send, on all routes. No route names it, and there is one at most.
	ResourceCallerLimits ResourceKind = "caller-limits"
)

// Bundle is one complete configuration. Each slice is sorted by name.
type Bundle struct {
	Services  []Service  `json:"services" cbor:"1,keyasint"`
	Routes    []Route    `json:"routes" cbor:"2,keyasint"`
	Resources []Resource `json:"resources" cbor:"3,keyasint"`
}

// Service is a set of upstreams that announce themselves under one name.
type Service struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// MaxConcurrency bounds the calls in flight on one upstream; 0 takes the slots that the upstream announces.
	MaxConcurrency int `json:"max_concurrency,omitempty" cbor:"2,keyasint,omitempty"`
	// QueueLimit bounds the calls that wait for a slot of one upstream; 0 takes the default.
	QueueLimit int `json:"queue_limit,omitempty" cbor:"3,keyasint,omitempty"`
	// SlowStartMs is the time over which a new upstream's share of calls grows to its full value.
	SlowStartMs int `json:"slow_start_ms,omitempty" cbor:"4,keyasint,omitempty"`
	// HealthPath is requested on upstreams of the service that announce no path of their own.
	HealthPath string `json:"health_path,omitempty" cbor:"5,keyasint,omitempty"`
	// MaxConnections bounds the connections to one upstream; 0 takes the number that the upstream announces.
	MaxConnections int `json:"max_connections,omitempty" cbor:"6,keyasint,omitempty"`
	// Protocol is the protocol that the upstreams speak; empty means ProtocolHTTP1, the only one.
	Protocol Protocol `json:"protocol,omitempty" cbor:"7,keyasint,omitempty"`
	// TLS must be false: upstreams are reached from their own instance only.
	TLS bool `json:"tls,omitempty" cbor:"8,keyasint,omitempty"`
}

// Protocol names the protocol between a node and its upstream.
type Protocol string

// ProtocolHTTP1 is HTTP/1.1.
const ProtocolHTTP1 Protocol = "h1"

// Match selects the requests of a route. All conditions that are set must hold.
type Match struct {
	Host       string            `json:"host,omitempty" cbor:"1,keyasint,omitempty"`
	PathPrefix string            `json:"path_prefix" cbor:"2,keyasint"`
	Methods    []string          `json:"methods,omitempty" cbor:"3,keyasint,omitempty"`
	Headers    map[string]string `json:"headers,omitempty" cbor:"4,keyasint,omitempty"`
}

// Retry is a route's retry policy.
type Retry struct {
	// MaxAttempts counts the first attempt; 0 takes the default, 1 switches retries off.
	MaxAttempts int `json:"max_attempts,omitempty" cbor:"1,keyasint,omitempty"`
	// BudgetPercent bounds retries as a share of the route's calls; 0 takes the default.
	BudgetPercent int `json:"budget_percent,omitempty" cbor:"2,keyasint,omitempty"`
}

// Share is one part of a split route.
type Share struct {
	Service string `json:"service" cbor:"1,keyasint"`
	Weight  int    `json:"weight" cbor:"2,keyasint"`
}

// Route sends matching requests to a service, or spreads them over several.
type Route struct {
	Name  string `json:"name" cbor:"1,keyasint"`
	Match Match  `json:"match" cbor:"2,keyasint"`
	// Service receives all requests. It is empty if Split is set.
	Service string `json:"service,omitempty" cbor:"3,keyasint"`
	Class   Class  `json:"class" cbor:"4,keyasint"`
	// DeadlineMs bounds the time of a request; a caller may allow less.
	DeadlineMs   int        `json:"deadline_ms" cbor:"5,keyasint"`
	Retry        Retry      `json:"retry,omitzero" cbor:"6,keyasint"`
	Zone         ZonePolicy `json:"zone,omitempty" cbor:"7,keyasint,omitempty"`
	MaxBodyBytes int64      `json:"max_body_bytes,omitempty" cbor:"8,keyasint,omitempty"`
	// Resources names the resources that the route depends on.
	Resources []string `json:"resources,omitempty" cbor:"9,keyasint,omitempty"`
	// Split spreads the requests over services in proportion to their weights.
	Split []Share `json:"split,omitempty" cbor:"10,keyasint,omitempty"`
	// TargetMs is the time within which an answer has its full value; 0 sets none.
	TargetMs int `json:"target_ms,omitempty" cbor:"11,keyasint,omitempty"`
	// Priority ranks the route's calls in the queue of an upstream; 1 is served first. 0 takes the rank of the class.
	Priority int `json:"priority,omitempty" cbor:"12,keyasint,omitempty"`
	// Keyless marks an irreversible route whose requests carry no key that a resend would repeat. Such a request runs at
	// most once because it is sent to another upstream only after the one before proved that it has not run it.
	Keyless bool `json:"keyless,omitempty" cbor:"13,keyasint,omitempty"`
}

// Shares returns the services of a route with their weights.
func (r *Route) Shares() []Share {
	if len(r.Split) > 0 {
		return r.Split
	}
	return []Share{{Service: r.Service, Weight: 1}}
}

// CallLimit is the content of a resource of kind ResourceCallLimit.
type CallLimit struct {
	CallsPerSecond int `json:"calls_per_second" cbor:"1,keyasint"`
	Burst          int `json:"burst" cbor:"2,keyasint"`
}

// CallerLimits is the content of a resource of kind ResourceCallerLimits. Fields that are 0 take the node's settings.
type CallerLimits struct {
	MaxHeaderBytes  int   `json:"max_header_bytes,omitempty" cbor:"1,keyasint,omitempty"`
	MaxBodyBytes    int64 `json:"max_body_bytes,omitempty" cbor:"2,keyasint,omitempty"`
	HeaderTimeoutMs int   `json:"header_timeout_ms,omitempty" cbor:"3,keyasint,omitempty"`
	IdleTimeoutMs   int   `json:"idle_timeout_ms,omitempty" cbor:"4,keyasint,omitempty"`
}

// Resource is configuration that several routes share.
type Resource struct {
	Name      string            `json:"name" cbor:"1,keyasint"`
	Kind      ResourceKind      `json:"kind" cbor:"2,keyasint"`
	Headers   map[string]string `json:"headers,omitempty" cbor:"3,keyasint,omitempty"`
	CallLimit *CallLimit        `json:"call_limit,omitempty" cbor:"4,keyasint,omitempty"`
	// CallerLimits is set for ResourceCallerLimits.
	CallerLimits *CallerLimits `json:"caller_limits,omitempty" cbor:"5,keyasint,omitempty"`
}
