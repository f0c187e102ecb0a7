// Package routing finds the route of a request. A Table is immutable and safe for concurrent use.
package routing

import (
	"cmp"
	"net/textproto"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// Errors of this package.
var (
	// ErrNoRoute means that no route matches the request.
	ErrNoRoute = errors.New("routing: no route matches")
	// ErrDanglingReference reports a route that refers to a service or resource that the bundle does not define.
	ErrDanglingReference = errors.New("routing: route refers to a service or resource that the bundle does not define")
)

// Request is the part of an HTTP request that routes match on.
type Request struct {
	Host string
	// Path is the path as the caller sent it: escaped, and with its empty and dot segments.
	Path   string
	Method string
	// Header returns the first value of a header field.
	Header func(name string) string
}

// Route is a route with the resources that it refers to.
type Route struct {
	bundle.Route
	Resources []bundle.Resource
}

// Table finds routes by host and path prefix. The time of a search grows with the number of segments of the path, not
// with the number of routes.
type Table struct {
	routes  map[string]*Route    // by name
	byHost  map[string]*pathNode // tree of the routes for each host
	anyHost *pathNode            // tree of the routes without a host
}

// pathNode is a node of the tree of path segments.
type pathNode struct {
	children map[string]*pathNode
	// routes are those whose path prefix ends here, the most specific one first. subtree are those whose prefix ends in
	// the slash that follows.
	routes  []*Route
	subtree []*Route
}

// New returns the table of a bundle's routes. It fails with ErrDanglingReference if a route refers to a service or
// resource that the bundle does not define.
func New(b *bundle.Bundle) (*Table, error) {
	table := &Table{
		routes:  make(map[string]*Route, len(b.Routes)),
		byHost:  make(map[string]*pathNode),
		anyHost: &pathNode{},
	}
	services := make(map[string]bundle.Service, len(b.Services))
	for _, service := range b.Services {
		services[service.Name] = service
	}
	resources := make(map[string]bundle.Resource, len(b.Resources))
	for _, resource := range b.Resources {
		resources[resource.Name] = resource
	}
	for _, definition := range b.Routes {
		route, err := resolve(definition, services, resources)
		if err != nil {
			return nil, err
		}
		table.routes[route.Name] = route
		table.insert(route)
	}
	return table, nil
}

func resolve(
	definition bundle.Route, services map[string]bundle.Service, resources map[string]bundle.Resource,
) (*Route, error) {
	route := &Route{Route: definition}
	for _, share := range definition.Shares() {
		if _, ok := services[share.Service]; !ok {
			return nil, errors.Wrapf(ErrDanglingReference, "route %s, service %s", definition.Name, share.Service)
		}
	}
	for _, name := range definition.Resources {
		resource, ok := resources[name]
		if !ok {
			return nil, errors.Wrapf(ErrDanglingReference, "route %s, resource %s", definition.Name, name)
		}
		route.Resources = append(route.Resources, resource)
	}
	return route, nil
}

func (t *Table) insert(route *Route) {
	root := t.anyHost
	if host := strings.ToLower(route.Match.Host); host != "" {
		if t.byHost[host] == nil {
			t.byHost[host] = &pathNode{}
		}
		root = t.byHost[host]
	}
	path, subtree := strings.CutSuffix(route.Match.PathPrefix, "/")
	current := root
	for name := range pathSegments(path) {
		if current.children == nil {
			current.children = make(map[string]*pathNode)
		}
		next := current.children[name]
		if next == nil {
			next = &pathNode{}
			current.children[name] = next
		}
		current = next
	}
	list := &current.routes
	if subtree {
		list = &current.subtree
	}
	*list = append(*list, route)
	slices.SortStableFunc(*list, compareSpecificity)
}

// compareSpecificity orders more specific routes first, as the bundle validation does to detect ambiguous routes.
// Equally specific ones are ordered by name, so that every node selects the same.
func compareSpecificity(a, b *Route) int {
	return cmp.Or(a.Match.Compare(b.Match), cmp.Compare(a.Name, b.Name))
}

// Match returns the most specific route of a request: routes for its host come before routes for any host, then a
// longer path prefix before a shorter one, then more conditions before fewer. The error is ErrNoRoute.
func (t *Table) Match(request Request) (*Route, error) {
	if len(t.byHost) > 0 {
		if root := t.byHost[normalizeHost(request.Host)]; root != nil {
			if route := root.find(request); route != nil {
				return route, nil
			}
		}
	}
	if route := t.anyHost.find(request); route != nil {
		return route, nil
	}
	return nil, ErrNoRoute
}

// find returns the route with the longest path prefix that matches the request, or nil.
func (n *pathNode) find(request Request) *Route {
	var best *Route
	current := n
	for name := range pathSegments(request.Path) {
		// A further segment, also an empty one, shows that a slash follows the segments so far.
		best = cmp.Or(firstMatch(current.subtree, request), best)
		current = current.children[name]
		if current == nil {
			break
		}
		best = cmp.Or(firstMatch(current.routes, request), best)
	}
	return best
}

func firstMatch(routes []*Route, request Request) *Route {
	for _, route := range routes {
		if route.matchesConditions(request) {
			return route
		}
	}
	return nil
}

// matchesConditions reports whether the route's conditions on the method and the header fields hold.
func (r *Route) matchesConditions(request Request) bool {
	if len(r.Match.Methods) > 0 && !slices.Contains(r.Match.Methods, request.Method) {
		return false
	}
	for name, value := range r.Match.Headers {
		if request.Header == nil || request.Header(textproto.CanonicalMIMEHeaderKey(name)) != value {
			return false
		}
	}
	return true
}

// ByName returns the route with the given name.
func (t *Table) ByName(name string) (*Route, bool) {
	route, ok := t.routes[name]
	return route, ok
}

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.routes) }

// pathSegments yields the segments of a path, each of which follows a slash. They may be empty. A path that does not begin
// with a slash has none.
func pathSegments(path string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		rest, more := strings.CutPrefix(path, "/")
		for more {
			var name string
			name, rest, more = strings.Cut(rest, "/")
			if !yield(name) {
				return
			}
		}
	}
}

// normalizeHost removes the port and converts to lower case.
func normalizeHost(host string) string {
	if index := strings.LastIndexByte(host, ':'); index >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:index]
	}
	return strings.ToLower(host)
}
