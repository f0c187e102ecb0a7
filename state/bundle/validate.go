package bundle

import (
	"fmt"
	"net/textproto"
	"slices"
	"strconv"
	"strings"

	"sapphiregate.example/sapphiregate/internal/strictjson"
)

// methods lists the request methods that a route can match.
var methods = []string{"DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"}

// reservedHeaders cannot be set by a resource: they are hop-by-hop, frame the message or belong to the protocol.
var reservedHeaders = []string{
	"Connection", "Content-Length", "Host", "Idempotency-Key", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// reservedPrefix starts the names of the protocol's own headers.
const reservedPrefix = "Sapphire-"

// maxSuggestions bounds the names that a problem lists as allowed.
const maxSuggestions = 8

// origin is the place of an item in the files.
type origin struct {
	file  string
	index int
}

// origins holds the places of the items of a bundle, parallel to its lists. Nil lists mean that the bundle was not
// loaded from files.
type origins struct {
	services, routes, resources []origin
}

// place is the file and the field path of an item.
type place struct {
	file, path string
}

func placeOf(list string, from []origin, i int) place {
	if from == nil {
		return place{path: fmt.Sprintf("%s[%d]", list, i)}
	}
	return place{file: from[i].file, path: fmt.Sprintf("%s[%d]", list, from[i].index)}
}

func (p place) field(name string) place { return place{file: p.file, path: p.path + "." + name} }

func (p place) item(i int) place { return place{file: p.file, path: fmt.Sprintf("%s[%d]", p.path, i)} }

// validator collects the problems of one bundle.
type validator struct {
	bundle    *Bundle
	from      origins
	problems  Problems
	services  map[string]bool
	resources map[string]*Resource
	// serviceNames and resourceNames suggest declared names in problems.
	serviceNames, resourceNames string
	// callerLimits is set once a resource of kind caller-limits was seen.
	callerLimits bool
}

// Validate returns all faults of a bundle.
func Validate(b *Bundle) Problems { return validate(b, origins{}) }

func validate(b *Bundle, from origins) Problems {
	v := &validator{bundle: b, from: from, services: make(map[string]bool), resources: make(map[string]*Resource)}
	v.counts()
	for i := range b.Services {
		v.service(placeOf("services", from.services, i), &b.Services[i])
	}
	for i := range b.Resources {
		v.resource(placeOf("resources", from.resources, i), &b.Resources[i])
	}
	v.serviceNames = suggest(sortedKeys(v.services))
	v.resourceNames = suggest(sortedKeys(v.resources))
	names := make(map[string]bool)
	for i := range b.Routes {
		v.route(placeOf("routes", from.routes, i), &b.Routes[i], names)
	}
	v.ambiguous()
	return v.problems
}

func (v *validator) add(at place, value, allowed string) {
	v.problems = append(v.problems, Problem{File: at.file, Field: at.path, Value: value, Allowed: allowed})
}

func (v *validator) counts() {
	v.between(place{path: "services"}, int64(len(v.bundle.Services)), 0, MaxServices)
	v.between(place{path: "routes"}, int64(len(v.bundle.Routes)), 0, MaxRoutes)
	v.between(place{path: "resources"}, int64(len(v.bundle.Resources)), 0, MaxResources)
}

func (v *validator) between(at place, value, low, high int64) {
	if value < low || value > high {
		v.add(at, strconv.FormatInt(value, 10), fmt.Sprintf("%d to %d", low, high))
	}
}

func (v *validator) name(at place, name string, taken bool) {
	if !validName(name) {
		v.add(at, strictjson.Quote(name),
			fmt.Sprintf("1 to %d of a-z, 0-9 and -, starting with a letter", MaxNameLength))
		return
	}
	if taken {
		v.add(at, strictjson.Quote(name), "a name that no other entry of the list has")
	}
}

func (v *validator) service(at place, s *Service) {
	v.name(at.field("name"), s.Name, v.services[s.Name])
	v.services[s.Name] = true
	v.between(at.field("max_concurrency"), int64(s.MaxConcurrency), 0, MaxConcurrency)
	v.between(at.field("queue_limit"), int64(s.QueueLimit), 0, MaxQueueLimit)
	v.between(at.field("slow_start_ms"), int64(s.SlowStartMs), 0, MaxSlowStartMs)
	v.between(at.field("max_connections"), int64(s.MaxConnections), 0, MaxConnections)
	if s.HealthPath != "" && !validPath(s.HealthPath) {
		v.add(at.field("health_path"), strictjson.Quote(s.HealthPath), "a path such as /health")
	}
	if s.Protocol != "" && s.Protocol != ProtocolHTTP1 {
		v.add(at.field("protocol"), strictjson.Quote(string(s.Protocol)), oneOf(ProtocolHTTP1)+", or no value")
	}
	if s.TLS {
		v.add(at.field("tls"), "true", "false: upstreams are reached from their own instance only")
	}
}

func (v *validator) resource(at place, r *Resource) {
	v.name(at.field("name"), r.Name, v.resources[r.Name] != nil)
	v.resources[r.Name] = r
	switch r.Kind {
	case ResourceHeaders:
		v.headerResource(at, r)
	case ResourceCallLimit:
		v.limitResource(at, r)
	case ResourceCallerLimits:
		v.callerLimitsResource(at, r)
	default:
		v.add(at.field("kind"), strictjson.Quote(string(r.Kind)),
			oneOf(ResourceHeaders, ResourceCallLimit, ResourceCallerLimits))
	}
	if r.Kind != ResourceCallerLimits && r.CallerLimits != nil {
		v.add(at.field("caller_limits"), "an object", "no caller_limits in a resource of kind "+string(r.Kind))
	}
}

func (v *validator) callerLimitsResource(at place, r *Resource) {
	if len(r.Headers) != 0 || r.CallLimit != nil {
		v.add(at, "headers or call_limit", "only caller_limits in a resource of kind caller-limits")
	}
	if v.callerLimits {
		v.add(at, strictjson.Quote(r.Name), "one resource of kind caller-limits")
	}
	v.callerLimits = true
	if r.CallerLimits == nil {
		v.add(at.field("caller_limits"), "nothing", "an object")
		return
	}
	limits := at.field("caller_limits")
	v.between(limits.field("max_header_bytes"), int64(r.CallerLimits.MaxHeaderBytes), 0, MaxHeaderBytes)
	v.between(limits.field("max_body_bytes"), r.CallerLimits.MaxBodyBytes, 0, MaxBodyBytes)
	v.between(limits.field("header_timeout_ms"), int64(r.CallerLimits.HeaderTimeoutMs), 0, MaxDeadlineMs)
	v.between(limits.field("idle_timeout_ms"), int64(r.CallerLimits.IdleTimeoutMs), 0, MaxDeadlineMs)
}

// split checks the parts of a route that is spread over services. A weight of 0 sends nothing to its service.
func (v *validator) split(at place, r *Route) {
	if r.Service != "" {
		v.add(at.field("service"), strictjson.Quote(r.Service), "no service beside split")
	}
	if len(r.Split) > MaxShares {
		v.add(at.field("split"), strconv.Itoa(len(r.Split)), fmt.Sprintf("1 to %d services", MaxShares))
		return
	}
	total := 0
	for i, share := range r.Split {
		item := at.field("split").item(i)
		if !v.services[share.Service] {
			v.add(item.field("service"), strictjson.Quote(share.Service), "a declared service"+v.serviceNames)
		}
		v.between(item.field("weight"), int64(share.Weight), 0, MaxWeight)
		total += share.Weight
	}
	if total <= 0 {
		v.add(at.field("split"), strconv.Itoa(total), "weights with a sum above 0")
	}
}

func (v *validator) headerResource(at place, r *Resource) {
	if r.CallLimit != nil {
		v.add(at.field("call_limit"), "an object", "no call_limit in a resource of kind headers")
	}
	if len(r.Headers) == 0 {
		v.add(at.field("headers"), "no header", "at least one header")
	}
	v.headers(at.field("headers"), r.Headers)
	for _, name := range sortedKeys(r.Headers) {
		if reserved(name) {
			v.add(at.field("headers").field(name), strictjson.Quote(name),
				"a header that is neither hop-by-hop nor reserved for the protocol")
		}
	}
}

func (v *validator) limitResource(at place, r *Resource) {
	if len(r.Headers) != 0 {
		v.add(at.field("headers"), "an object", "no headers in a resource of kind call-limit")
	}
	if r.CallLimit == nil {
		v.add(at.field("call_limit"), "nothing", "an object with calls_per_second and burst")
		return
	}
	limit := at.field("call_limit")
	v.between(limit.field("calls_per_second"), int64(r.CallLimit.CallsPerSecond), 1, MaxCallsPerSecond)
	v.between(limit.field("burst"), int64(r.CallLimit.Burst), 1, MaxBurst)
}

func (v *validator) route(at place, r *Route, names map[string]bool) {
	v.name(at.field("name"), r.Name, names[r.Name])
	names[r.Name] = true
	v.match(at.field("match"), r.Match)
	switch {
	case len(r.Split) > 0:
		v.split(at, r)
	case !v.services[r.Service]:
		v.add(at.field("service"), strictjson.Quote(r.Service), "a declared service"+v.serviceNames)
	}
	if !slices.Contains([]Class{ClassIrreversible, ClassLookup, ClassReport}, r.Class) {
		v.add(at.field("class"), strictjson.Quote(string(r.Class)),
			oneOf(ClassIrreversible, ClassLookup, ClassReport))
	}
	if !slices.Contains([]ZonePolicy{"", ZonePreferLocal, ZoneAny}, r.Zone) {
		v.add(at.field("zone"), strictjson.Quote(string(r.Zone)), oneOf(ZonePreferLocal, ZoneAny)+", or no value")
	}
	v.between(at.field("deadline_ms"), int64(r.DeadlineMs), 1, MaxDeadlineMs)
	v.between(at.field("retry").field("max_attempts"), int64(r.Retry.MaxAttempts), 0, MaxAttempts)
	v.between(at.field("retry").field("budget_percent"), int64(r.Retry.BudgetPercent), 0, MaxBudgetPercent)
	v.between(at.field("max_body_bytes"), r.MaxBodyBytes, 0, MaxBodyBytes)
	v.between(at.field("target_ms"), int64(r.TargetMs), 0, MaxDeadlineMs)
	v.between(at.field("priority"), int64(r.Priority), 0, MaxPriority)
	if r.Keyless && r.Class != ClassIrreversible {
		v.add(at.field("keyless"), "true", "only on a route of class irreversible")
	}
	v.routeResources(at.field("resources"), r.Resources)
}

// routeResources checks that the resources exist and that at most one of them sets each header or limits calls.
func (v *validator) routeResources(at place, names []string) {
	if len(names) > MaxResourcesPerRoute {
		v.add(at, strconv.Itoa(len(names)), fmt.Sprintf("0 to %d resources", MaxResourcesPerRoute))
	}
	setBy := make(map[string]string)
	limitedBy := ""
	for i, name := range names {
		quoted := strictjson.Quote(name)
		resource := v.resources[name]
		switch {
		case resource == nil:
			v.add(at.item(i), quoted, "a declared resource"+v.resourceNames)
		case slices.Contains(names[:i], name):
			v.add(at.item(i), quoted, "each resource once")
		case resource.Kind == ResourceCallLimit && limitedBy != "":
			v.add(at.item(i), quoted, "one call limit per route, and "+limitedBy+" is one")
		case resource.Kind == ResourceCallLimit:
			limitedBy = name
		case resource.Kind == ResourceCallerLimits:
			v.add(at.item(i), quoted, "a resource that is not of kind caller-limits, which holds for all routes")
		default:
			v.headerConflicts(at.item(i), resource, setBy)
		}
	}
}

func (v *validator) headerConflicts(at place, r *Resource, setBy map[string]string) {
	for _, header := range sortedKeys(r.Headers) {
		key := textproto.CanonicalMIMEHeaderKey(header)
		if other, ok := setBy[key]; ok && other != r.Name {
			v.add(at, strictjson.Quote(r.Name), "a resource that does not set "+key+", which "+other+" sets")
		}
		setBy[key] = r.Name
	}
}

func (v *validator) match(at place, m Match) {
	if m.Host != "" && !validHost(m.Host) {
		v.add(at.field("host"), strictjson.Quote(m.Host), "a host name without port, or no value")
	}
	if !validPath(m.PathPrefix) {
		v.add(at.field("path_prefix"), strictjson.Quote(m.PathPrefix),
			fmt.Sprintf("/ or a path of at most %d characters such as /a/b, without a / at its end, empty or dot "+
				"segments, %%, ? or #", MaxPathLength))
	}
	for i, method := range m.Methods {
		switch {
		case !slices.Contains(methods, method):
			v.add(at.field("methods").item(i), strictjson.Quote(method), "one of "+strings.Join(methods, ", "))
		case slices.Contains(m.Methods[:i], method):
			v.add(at.field("methods").item(i), strictjson.Quote(method), "each method once")
		}
	}
	v.headers(at.field("headers"), m.Headers)
}

func (v *validator) headers(at place, headers map[string]string) {
	if len(headers) > MaxHeaders {
		v.add(at, strconv.Itoa(len(headers)), fmt.Sprintf("0 to %d headers", MaxHeaders))
	}
	seen := make(map[string]bool)
	for _, name := range sortedKeys(headers) {
		key := textproto.CanonicalMIMEHeaderKey(name)
		if !validHeaderName(name) {
			v.add(at, strictjson.Quote(name),
				fmt.Sprintf("a header name of 1 to %d letters, digits and -", MaxHeaderNameLength))
		}
		if seen[key] {
			v.add(at.field(name), strictjson.Quote(name), "each header once, whatever its case")
		}
		seen[key] = true
		if !validHeaderValue(headers[name]) {
			v.add(at.field(name), strictjson.Quote(headers[name]),
				fmt.Sprintf("at most %d printable ASCII characters", MaxHeaderValueLength))
		}
	}
}

// ambiguous finds pairs of routes of which neither is more specific although one request can match both.
func (v *validator) ambiguous() {
	type path struct{ host, prefix string }
	groups := make(map[path][]int)
	matches := make([]Match, 0, len(v.bundle.Routes))
	for i, route := range v.bundle.Routes {
		key := path{host: strings.ToLower(route.Match.Host), prefix: route.Match.PathPrefix}
		first := groups[key]
		match := route.Match
		match.Headers = canonicalHeaders(match.Headers)
		matches = append(matches, match)
		at := placeOf("routes", v.from.routes, i).field("match")
		if len(first) == MaxRoutesPerPath {
			v.add(at, strictjson.Quote(route.Match.PathPrefix),
				fmt.Sprintf("at most %d routes with one host and path prefix", MaxRoutesPerPath))
			continue
		}
		for _, j := range first {
			if match.Compare(matches[j]) == 0 && match.Overlaps(matches[j]) {
				v.add(at, "the match of route "+strictjson.Quote(route.Name),
					"a match that no request shares with the equally specific route "+
						strictjson.Quote(v.bundle.Routes[j].Name))
			}
		}
		groups[key] = append(first, i)
	}
}

func validName(name string) bool {
	if len(name) == 0 || len(name) > MaxNameLength || name[0] < 'a' || name[0] > 'z' {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-'
	})
}

func validHost(host string) bool {
	if len(host) > MaxHostLength {
		return false
	}
	for label := range strings.SplitSeq(host, ".") {
		if !validHeaderName(label) || len(label) > MaxNameLength || label[0] == '-' || label[len(label)-1] == '-' {
			return false
		}
	}
	return true
}

func validPath(path string) bool {
	if path == "/" {
		return true
	}
	if !strings.HasPrefix(path, "/") || len(path) > MaxPathLength || strings.ContainsAny(path, "%?#\\") {
		return false
	}
	for segment := range strings.SplitSeq(path[1:], "/") {
		if segment == "" || segment == "." || segment == ".." || !printable(segment) || strings.Contains(segment, " ") {
			return false
		}
	}
	return true
}

func validHeaderName(name string) bool {
	if name == "" || len(name) > MaxHeaderNameLength {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-'
	})
}

func validHeaderValue(value string) bool {
	return len(value) <= MaxHeaderValueLength && printable(value) && value == strings.TrimSpace(value)
}

func printable(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return r < 0x20 || r > 0x7e })
}

func reserved(header string) bool {
	key := textproto.CanonicalMIMEHeaderKey(header)
	return strings.HasPrefix(key, reservedPrefix) || slices.Contains(reservedHeaders, key)
}

// oneOf formats the values that a field accepts.
func oneOf[T ~string](values ...T) string {
	quoted := make([]string, 0, len(values))
	for _, value := range values {
		quoted = append(quoted, strconv.Quote(string(value)))
	}
	return "one of " + strings.Join(quoted, ", ")
}

// suggest formats the first declared names for a problem.
func suggest(names []string) string {
	if len(names) == 0 {
		return " (there is none)"
	}
	if len(names) > maxSuggestions {
		return " (" + strings.Join(names[:maxSuggestions], ", ") + ", ...)"
	}
	return " (" + strings.Join(names, ", ") + ")"
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
