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

// reservedHeaders lists headers that a resource must not set: hop-by-hop headers, headers that delimit or address the
// message, and headers that belong to the protocol.
var reservedHeaders = []string{
	"Connection", "Content-Length", "Host", "Idempotency-Key", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// reservedPrefix is the prefix of the names of the protocol's own headers.
const reservedPrefix = "Sapphire-"

// maxSuggestions bounds the declared names that a problem lists as allowed.
const maxSuggestions = 8

// origin is the file of an item and its index in that file's list.
type origin struct {
	file  string
	index int
}

// origins holds the origins of the items of a bundle, in the order of the bundle's lists, and the file that states the
// access. The lists are nil if the bundle was not loaded from files.
type origins struct {
	services, routes, resources, teams []origin
	access                             string
}

// location is the file and the field path of a value, as a Problem reports them.
type location struct {
	file, path string
}

// itemLocation returns the location of item i of a list of the bundle. If the bundle was loaded from files, the index
// in the path counts within the file of the item.
func itemLocation(list string, from []origin, i int) location {
	if from == nil {
		return location{path: fmt.Sprintf("%s[%d]", list, i)}
	}
	return location{file: from[i].file, path: fmt.Sprintf("%s[%d]", list, from[i].index)}
}

func (p location) field(name string) location {
	return location{file: p.file, path: p.path + "." + name}
}

func (p location) item(i int) location {
	return location{file: p.file, path: fmt.Sprintf("%s[%d]", p.path, i)}
}

// validator collects the problems of one bundle.
type validator struct {
	bundle    *Bundle
	origins   origins
	problems  Problems
	services  map[string]bool
	resources map[string]*Resource
	// serviceSuggestions and resourceSuggestions list the first declared names; problems show them as allowed values.
	serviceSuggestions, resourceSuggestions string
	// hasCallerLimits reports whether a resource of kind caller-limits was checked before.
	hasCallerLimits bool
}

// Validate returns all problems of a bundle.
func Validate(b *Bundle) Problems { return validate(b, origins{}) }

func validate(b *Bundle, from origins) Problems {
	v := &validator{bundle: b, origins: from, services: make(map[string]bool), resources: make(map[string]*Resource)}
	v.checkCounts()
	for i := range b.Services {
		v.checkService(itemLocation("services", from.services, i), &b.Services[i])
	}
	for i := range b.Resources {
		v.checkResource(itemLocation("resources", from.resources, i), &b.Resources[i])
	}
	v.serviceSuggestions = formatSuggestions(sortedKeys(v.services))
	v.resourceSuggestions = formatSuggestions(sortedKeys(v.resources))
	names := make(map[string]bool)
	for i := range b.Routes {
		v.checkRoute(itemLocation("routes", from.routes, i), &b.Routes[i], names)
	}
	v.checkTeams()
	v.checkAccess()
	v.checkAmbiguousMatches()
	return v.problems
}

func (v *validator) addProblem(loc location, value, allowed string) {
	v.problems = append(v.problems, Problem{File: loc.file, Field: loc.path, Value: value, Allowed: allowed})
}

func (v *validator) checkCounts() {
	v.checkRange(location{path: "services"}, int64(len(v.bundle.Services)), 0, MaxServices)
	v.checkRange(location{path: "routes"}, int64(len(v.bundle.Routes)), 0, MaxRoutes)
	v.checkRange(location{path: "resources"}, int64(len(v.bundle.Resources)), 0, MaxResources)
	v.checkRange(location{path: "teams"}, int64(len(v.bundle.Teams)), 0, MaxTeams)
}

func (v *validator) checkRange(loc location, value, low, high int64) {
	if value < low || value > high {
		v.addProblem(loc, strconv.FormatInt(value, 10), fmt.Sprintf("%d to %d", low, high))
	}
}

func (v *validator) checkName(loc location, name string, duplicate bool) {
	if !validName(name) {
		v.addProblem(loc, strictjson.Quote(name),
			fmt.Sprintf("1 to %d of a-z, 0-9 and -, starting with a letter", MaxNameLength))
		return
	}
	if duplicate {
		v.addProblem(loc, strictjson.Quote(name), "a name that no other entry of the list has")
	}
}

func (v *validator) checkService(loc location, s *Service) {
	v.checkName(loc.field("name"), s.Name, v.services[s.Name])
	v.services[s.Name] = true
	v.checkRange(loc.field("max_concurrency"), int64(s.MaxConcurrency), 0, MaxConcurrency)
	v.checkRange(loc.field("queue_limit"), int64(s.QueueLimit), 0, MaxQueueLimit)
	v.checkRange(loc.field("slow_start_ms"), int64(s.SlowStartMs), 0, MaxSlowStartMs)
	v.checkRange(loc.field("max_connections"), int64(s.MaxConnections), 0, MaxConnections)
	if s.HealthPath != "" && !validPath(s.HealthPath) {
		v.addProblem(loc.field("health_path"), strictjson.Quote(s.HealthPath), "a path such as /health")
	}
	if s.Protocol != "" && s.Protocol != ProtocolHTTP1 {
		v.addProblem(loc.field("protocol"), strictjson.Quote(string(s.Protocol)), oneOf(ProtocolHTTP1)+", or no value")
	}
	if s.TLS {
		v.addProblem(loc.field("tls"), "true", "false: an upstream is called only from its own instance")
	}
}

func (v *validator) checkResource(loc location, r *Resource) {
	v.checkName(loc.field("name"), r.Name, v.resources[r.Name] != nil)
	v.resources[r.Name] = r
	switch r.Kind {
	case ResourceHeaders:
		v.checkHeadersResource(loc, r)
	case ResourceCallLimit:
		v.checkCallLimitResource(loc, r)
	case ResourceCallerLimits:
		v.checkCallerLimitsResource(loc, r)
	default:
		v.addProblem(loc.field("kind"), strictjson.Quote(string(r.Kind)),
			oneOf(ResourceHeaders, ResourceCallLimit, ResourceCallerLimits))
	}
	if r.Kind != ResourceCallerLimits && r.CallerLimits != nil {
		v.addProblem(loc.field("caller_limits"), "an object", "no caller_limits in a resource of kind "+string(r.Kind))
	}
}

func (v *validator) checkCallerLimitsResource(loc location, r *Resource) {
	if len(r.Headers) != 0 || r.CallLimit != nil {
		v.addProblem(loc, "headers or call_limit", "only caller_limits in a resource of kind caller-limits")
	}
	if v.hasCallerLimits {
		v.addProblem(loc, strictjson.Quote(r.Name), "one resource of kind caller-limits")
	}
	v.hasCallerLimits = true
	if r.CallerLimits == nil {
		v.addProblem(loc.field("caller_limits"), "nothing", "an object")
		return
	}
	limits := loc.field("caller_limits")
	v.checkRange(limits.field("max_header_bytes"), int64(r.CallerLimits.MaxHeaderBytes), 0, MaxHeaderBytes)
	v.checkRange(limits.field("max_body_bytes"), r.CallerLimits.MaxBodyBytes, 0, MaxBodyBytes)
	v.checkRange(limits.field("header_timeout_ms"), int64(r.CallerLimits.HeaderTimeoutMs), 0, MaxDeadlineMs)
	v.checkRange(limits.field("idle_timeout_ms"), int64(r.CallerLimits.IdleTimeoutMs), 0, MaxDeadlineMs)
}

// checkSplit checks the services and weights of a split route. A service with weight 0 receives no requests.
func (v *validator) checkSplit(loc location, r *Route) {
	if r.Service != "" {
		v.addProblem(loc.field("service"), strictjson.Quote(r.Service), "no service beside split")
	}
	if len(r.Split) > MaxShares {
		v.addProblem(loc.field("split"), strconv.Itoa(len(r.Split)), fmt.Sprintf("1 to %d services", MaxShares))
		return
	}
	total := 0
	for i, share := range r.Split {
		item := loc.field("split").item(i)
		if !v.services[share.Service] {
			v.addProblem(item.field("service"), strictjson.Quote(share.Service), "a declared service"+v.serviceSuggestions)
		}
		v.checkRange(item.field("weight"), int64(share.Weight), 0, MaxWeight)
		total += share.Weight
	}
	if total <= 0 {
		v.addProblem(loc.field("split"), strconv.Itoa(total), "weights with a sum greater than 0")
	}
}

func (v *validator) checkHeadersResource(loc location, r *Resource) {
	if r.CallLimit != nil {
		v.addProblem(loc.field("call_limit"), "an object", "no call_limit in a resource of kind headers")
	}
	if len(r.Headers) == 0 {
		v.addProblem(loc.field("headers"), "no header", "at least one header")
	}
	v.checkHeaders(loc.field("headers"), r.Headers)
	for _, name := range sortedKeys(r.Headers) {
		if isReservedHeader(name) {
			v.addProblem(loc.field("headers").field(name), strictjson.Quote(name),
				"a header that is neither hop-by-hop nor reserved for the protocol")
		}
	}
}

func (v *validator) checkCallLimitResource(loc location, r *Resource) {
	if len(r.Headers) != 0 {
		v.addProblem(loc.field("headers"), "an object", "no headers in a resource of kind call-limit")
	}
	if r.CallLimit == nil {
		v.addProblem(loc.field("call_limit"), "nothing", "an object with calls_per_second and burst")
		return
	}
	limit := loc.field("call_limit")
	v.checkRange(limit.field("calls_per_second"), int64(r.CallLimit.CallsPerSecond), 1, MaxCallsPerSecond)
	v.checkRange(limit.field("burst"), int64(r.CallLimit.Burst), 1, MaxBurst)
}

func (v *validator) checkRoute(loc location, r *Route, names map[string]bool) {
	v.checkName(loc.field("name"), r.Name, names[r.Name])
	names[r.Name] = true
	v.checkMatch(loc.field("match"), r.Match)
	switch {
	case len(r.Split) > 0:
		v.checkSplit(loc, r)
	case !v.services[r.Service]:
		v.addProblem(loc.field("service"), strictjson.Quote(r.Service), "a declared service"+v.serviceSuggestions)
	}
	if !slices.Contains([]Class{ClassIrreversible, ClassLookup, ClassReport, ClassDownload, ClassUpload}, r.Class) {
		v.addProblem(loc.field("class"), strictjson.Quote(string(r.Class)),
			oneOf(ClassIrreversible, ClassLookup, ClassReport, ClassDownload, ClassUpload))
	}
	if !slices.Contains([]ZonePolicy{"", ZonePreferLocal, ZoneAny}, r.Zone) {
		v.addProblem(loc.field("zone"), strictjson.Quote(string(r.Zone)), oneOf(ZonePreferLocal, ZoneAny)+", or no value")
	}
	v.checkRange(loc.field("deadline_ms"), int64(r.DeadlineMs), 1, MaxDeadlineMs)
	v.checkRange(loc.field("retry").field("max_attempts"), int64(r.Retry.MaxAttempts), 0, MaxAttempts)
	v.checkRange(loc.field("retry").field("budget_percent"), int64(r.Retry.BudgetPercent), 0, MaxBudgetPercent)
	v.checkRange(loc.field("max_body_bytes"), r.MaxBodyBytes, 0, MaxBodyBytes)
	v.checkRange(loc.field("target_ms"), int64(r.TargetMs), 0, MaxDeadlineMs)
	v.checkRange(loc.field("priority"), int64(r.Priority), 0, MaxPriority)
	if r.Keyless && r.Class != ClassIrreversible {
		v.addProblem(loc.field("keyless"), "true", "only on a route of class irreversible")
	}
	v.checkRouteResources(loc.field("resources"), r.Resources)
}

// checkRouteResources checks that the resources of a route exist, that no two of them set the same header and that at
// most one limits calls.
func (v *validator) checkRouteResources(loc location, names []string) {
	if len(names) > MaxResourcesPerRoute {
		v.addProblem(loc, strconv.Itoa(len(names)), fmt.Sprintf("0 to %d resources", MaxResourcesPerRoute))
	}
	setBy := make(map[string]string)
	limitedBy := ""
	for i, name := range names {
		quoted := strictjson.Quote(name)
		resource := v.resources[name]
		switch {
		case resource == nil:
			v.addProblem(loc.item(i), quoted, "a declared resource"+v.resourceSuggestions)
		case slices.Contains(names[:i], name):
			v.addProblem(loc.item(i), quoted, "each resource once")
		case resource.Kind == ResourceCallLimit && limitedBy != "":
			v.addProblem(loc.item(i), quoted, "one call limit per route, and "+limitedBy+" is one")
		case resource.Kind == ResourceCallLimit:
			limitedBy = name
		case resource.Kind == ResourceCallerLimits:
			v.addProblem(loc.item(i), quoted, "a resource that is not of kind caller-limits, which applies to all routes")
		default:
			v.checkHeaderConflicts(loc.item(i), resource, setBy)
		}
	}
}

func (v *validator) checkHeaderConflicts(loc location, r *Resource, setBy map[string]string) {
	for _, header := range sortedKeys(r.Headers) {
		key := textproto.CanonicalMIMEHeaderKey(header)
		if other, ok := setBy[key]; ok && other != r.Name {
			v.addProblem(loc, strictjson.Quote(r.Name), "a resource that does not set "+key+", which "+other+" sets")
		}
		setBy[key] = r.Name
	}
}

func (v *validator) checkMatch(loc location, m Match) {
	if m.Host != "" && !validHost(m.Host) {
		v.addProblem(loc.field("host"), strictjson.Quote(m.Host), "a host name without port, or no value")
	}
	if !validPathPrefix(m.PathPrefix) {
		v.addProblem(loc.field("path_prefix"), strictjson.Quote(m.PathPrefix),
			fmt.Sprintf("/ or a path of at most %d characters such as /a/b or /a/b/, without empty or dot segments, "+
				"%%, ? or #", MaxPathLength))
	}
	for i, method := range m.Methods {
		switch {
		case !slices.Contains(methods, method):
			v.addProblem(loc.field("methods").item(i), strictjson.Quote(method), "one of "+strings.Join(methods, ", "))
		case slices.Contains(m.Methods[:i], method):
			v.addProblem(loc.field("methods").item(i), strictjson.Quote(method), "each method once")
		}
	}
	v.checkHeaders(loc.field("headers"), m.Headers)
}

func (v *validator) checkHeaders(loc location, headers map[string]string) {
	if len(headers) > MaxHeaders {
		v.addProblem(loc, strconv.Itoa(len(headers)), fmt.Sprintf("0 to %d headers", MaxHeaders))
	}
	seen := make(map[string]bool)
	for _, name := range sortedKeys(headers) {
		key := textproto.CanonicalMIMEHeaderKey(name)
		if !validHeaderName(name) {
			v.addProblem(loc, strictjson.Quote(name),
				fmt.Sprintf("a header name of 1 to %d letters, digits and -", MaxHeaderNameLength))
		}
		if seen[key] {
			v.addProblem(loc.field(name), strictjson.Quote(name), "each header once, whatever its case")
		}
		seen[key] = true
		if !validHeaderValue(headers[name]) {
			v.addProblem(loc.field(name), strictjson.Quote(headers[name]),
				fmt.Sprintf("at most %d printable ASCII characters", MaxHeaderValueLength))
		}
	}
}

// checkAmbiguousMatches reports pairs of equally specific routes that a single request can match.
func (v *validator) checkAmbiguousMatches() {
	type path struct{ host, prefix string }
	groups := make(map[path][]int)
	matches := make([]Match, 0, len(v.bundle.Routes))
	for i, route := range v.bundle.Routes {
		key := path{host: strings.ToLower(route.Match.Host), prefix: route.Match.PathPrefix}
		samePath := groups[key]
		match := route.Match
		match.Headers = canonicalHeaders(match.Headers)
		matches = append(matches, match)
		loc := itemLocation("routes", v.origins.routes, i).field("match")
		if len(samePath) == MaxRoutesPerPath {
			v.addProblem(loc, strictjson.Quote(route.Match.PathPrefix),
				fmt.Sprintf("at most %d routes with one host and path prefix", MaxRoutesPerPath))
			continue
		}
		for _, j := range samePath {
			if match.Compare(matches[j]) == 0 && match.Overlaps(matches[j]) {
				v.addProblem(loc, "the match of route "+strictjson.Quote(route.Name),
					"a match that no request shares with the equally specific route "+
						strictjson.Quote(v.bundle.Routes[j].Name))
			}
		}
		groups[key] = append(samePath, i)
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

// validPathPrefix allows a slash at the end of a valid path.
func validPathPrefix(prefix string) bool {
	path, subtree := strings.CutSuffix(prefix, "/")
	if subtree && (path == "" || path == "/") {
		return prefix == "/"
	}
	return validPath(path) && len(prefix) <= MaxPathLength
}

func validPath(path string) bool {
	if path == "/" {
		return true
	}
	if !strings.HasPrefix(path, "/") || len(path) > MaxPathLength || strings.ContainsAny(path, "%?#\\") {
		return false
	}
	for segment := range strings.SplitSeq(path[1:], "/") {
		if segment == "" || segment == "." || segment == ".." || !isPrintableASCII(segment) || strings.Contains(segment, " ") {
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
	return len(value) <= MaxHeaderValueLength && isPrintableASCII(value) && value == strings.TrimSpace(value)
}

func isPrintableASCII(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return r < 0x20 || r > 0x7e })
}

func isReservedHeader(header string) bool {
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

// formatSuggestions formats the first maxSuggestions declared names for a problem.
func formatSuggestions(names []string) string {
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
