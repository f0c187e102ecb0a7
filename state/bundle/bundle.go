// Package bundle defines the configuration that operators declare: services, routes and resources. It validates a
// bundle, encodes it canonically as parts with digests, computes updates between bundles, and checks the operators'
// signatures on approvals.
package bundle

// Class decides how a route's calls are treated when capacity is short and when a response is lost.
type Class string

// The classes, from the highest to the lowest default priority in admission.
const (
	ClassIrreversible Class = "irreversible"
	ClassLookup       Class = "lookup"
	ClassReport       Class = "report"
	// ClassDownload is for reads with long responses. They are streamed, and each byte of them weighs in the choice of
	// the availability zone.
	ClassDownload Class = "download"
	// ClassUpload is for requests with long bodies that may run at most once. They carry no idempotency key, and their
	// bodies are streamed: what was sent to one upstream cannot be sent to another.
	ClassUpload Class = "upload"
)

// Repeatable reports whether a call of the class may run more than once.
func (c Class) Repeatable() bool {
	return c == ClassLookup || c == ClassReport || c == ClassDownload
}

// RunsOnce reports whether a call of the class may run at most once.
func (c Class) RunsOnce() bool { return c == ClassIrreversible || c == ClassUpload }

// ZonePolicy decides which availability zones a route's calls may be sent to.
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
	// ResourceCallerLimits bounds the requests of callers on all routes. A bundle has at most one such resource, and no
	// route lists it.
	ResourceCallerLimits ResourceKind = "caller-limits"
)

// Bundle is one complete configuration. Each slice is sorted by name.
type Bundle struct {
	Services  []Service  `json:"services" cbor:"1,keyasint"`
	Routes    []Route    `json:"routes" cbor:"2,keyasint"`
	Resources []Resource `json:"resources" cbor:"3,keyasint"`
	Teams     []Team     `json:"teams,omitempty" cbor:"4,keyasint,omitempty"`
	// Access is unset only in a bundle that is not in canonical form yet.
	Access Access `json:"access,omitempty" cbor:"5,keyasint,omitempty"`
}

// Team is a group of callers who share a priority and a quota. Its callers identify themselves by one of its keys.
type Team struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Keys are secrets. A team without keys has no callers. No key belongs to two teams.
	Keys []string `json:"keys" cbor:"2,keyasint"`
	// Priority takes the place of the priority of the routes that the team calls; 0 leaves it.
	Priority int `json:"priority,omitempty" cbor:"3,keyasint,omitempty"`
	// RequestsPerSecond is the team's quota over all nodes together; 0 sets none. Burst is the number of requests that it
	// may send at once after a pause.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" cbor:"4,keyasint,omitempty"`
	Burst             float64 `json:"burst,omitempty" cbor:"5,keyasint,omitempty"`
}

// Service is the configuration of the upstreams that register under one name.
type Service struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// MaxConcurrency bounds the calls in flight on one upstream; 0 means the number of slots that the upstream announces.
	MaxConcurrency int `json:"max_concurrency,omitempty" cbor:"2,keyasint,omitempty"`
	// QueueLimit bounds the calls that wait for a slot of one upstream; 0 means the default.
	QueueLimit int `json:"queue_limit,omitempty" cbor:"3,keyasint,omitempty"`
	// SlowStartMs is the time, in milliseconds, over which a new upstream's share of calls grows to its full value.
	SlowStartMs int `json:"slow_start_ms,omitempty" cbor:"4,keyasint,omitempty"`
	// HealthPath is the path of the health checks on upstreams that announce no health path of their own.
	HealthPath string `json:"health_path,omitempty" cbor:"5,keyasint,omitempty"`
	// MaxConnections bounds the connections to one upstream; 0 means the number that the upstream announces.
	MaxConnections int `json:"max_connections,omitempty" cbor:"6,keyasint,omitempty"`
	// Protocol is the protocol that the upstreams speak; empty means ProtocolHTTP1, the only one.
	Protocol Protocol `json:"protocol,omitempty" cbor:"7,keyasint,omitempty"`
	// TLS must be false: an upstream is called only by the node on its own instance.
	TLS bool `json:"tls,omitempty" cbor:"8,keyasint,omitempty"`
}

// Protocol names the protocol between a node and its upstream.
type Protocol string

// ProtocolHTTP1 is HTTP/1.1.
const ProtocolHTTP1 Protocol = "h1"

// Match selects the requests of a route. A request must satisfy all conditions that are set.
type Match struct {
	Host string `json:"host,omitempty" cbor:"1,keyasint,omitempty"`
	// PathPrefix matches whole segments at the start of the path as the caller sent it. With a slash at its end it does
	// not match the path without that slash.
	PathPrefix string            `json:"path_prefix" cbor:"2,keyasint"`
	Methods    []string          `json:"methods,omitempty" cbor:"3,keyasint,omitempty"`
	Headers    map[string]string `json:"headers,omitempty" cbor:"4,keyasint,omitempty"`
}

// Retry is a route's retry policy.
type Retry struct {
	// MaxAttempts includes the first attempt; 0 means the default, 1 disables retries.
	MaxAttempts int `json:"max_attempts,omitempty" cbor:"1,keyasint,omitempty"`
	// BudgetPercent bounds retries as a percentage of the route's calls; 0 means the default.
	BudgetPercent int `json:"budget_percent,omitempty" cbor:"2,keyasint,omitempty"`
}

// Share is a service of a split route and the weight with which it receives requests.
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
	// DeadlineMs is the time limit of a request in milliseconds; a caller may set a shorter one.
	DeadlineMs   int        `json:"deadline_ms" cbor:"5,keyasint"`
	Retry        Retry      `json:"retry,omitzero" cbor:"6,keyasint"`
	Zone         ZonePolicy `json:"zone,omitempty" cbor:"7,keyasint,omitempty"`
	MaxBodyBytes int64      `json:"max_body_bytes,omitempty" cbor:"8,keyasint,omitempty"`
	// Resources names the resources that the route depends on.
	Resources []string `json:"resources,omitempty" cbor:"9,keyasint,omitempty"`
	// Split spreads the requests over services in proportion to their weights.
	Split []Share `json:"split,omitempty" cbor:"10,keyasint,omitempty"`
	// TargetMs is the latency, in milliseconds, up to which a response has its full value for the caller; 0 means no
	// target.
	TargetMs int `json:"target_ms,omitempty" cbor:"11,keyasint,omitempty"`
	// Priority ranks the route's calls in the queue of an upstream; 1 is served first. 0 means the priority of the class.
	Priority int `json:"priority,omitempty" cbor:"12,keyasint,omitempty"`
	// Keyless marks an irreversible route whose requests carry no idempotency key. Such a request runs at most once
	// because it is sent to another upstream only after the previous one confirmed that it did not run the request.
	Keyless bool `json:"keyless,omitempty" cbor:"13,keyasint,omitempty"`
	// Public marks a route whose requests need no key of a team.
	Public bool `json:"public,omitempty" cbor:"14,keyasint,omitempty"`
}

// Shares returns the services of the route with their weights; a route without Split has a single share.
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

// CallerLimits is the content of a resource of kind ResourceCallerLimits. The node's settings apply to
// fields that are 0.
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
	// CallerLimits is set if Kind is ResourceCallerLimits.
	CallerLimits *CallerLimits `json:"caller_limits,omitempty" cbor:"5,keyasint,omitempty"`
}
