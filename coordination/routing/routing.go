// Package routing finds the route of a request in a bundle. A Table is immutable and safe for concurrent use.
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
	// ErrDanglingReference reports a route whose service or resource the bundle does not hold.
	ErrDanglingReference = errors.New("routing: route refers to something that the bundle does not hold")
)

// Request is the part of an HTTP request that routes match on.
type Request struct {
	Host   string
	Path   string
	Method string
	// Header returns the first value of a header field.
	Header func(name string) string
}

// Route is a route with what it refers to resolved.
type Route struct {
	bundle.Route
	Resources []bundle.Resource
}

// Table finds routes by host and path prefix in time that grows with the path's depth, not with the number of routes.
type Table struct {
	routes  map[string]*Route
	byHost  map[string]*segment
	anyHost *segment
}

// segment is a node of the tree of path segments.
type segment struct {
	children map[string]*segment
	// routes end at this segment, those with more conditions first.
	routes []*Route
}

// New builds a table. It fails on the first route that refers to something missing.
func New(b *bundle.Bundle) (*Table, error) {
	table := &Table{
		routes:  make(map[string]*Route, len(b.Routes)),
		byHost:  make(map[string]*segment),
		anyHost: &segment{},
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
			t.byHost[host] = &segment{}
		}
		root = t.byHost[host]
	}
	current := root
	for name := range segments(route.Match.PathPrefix) {
		if current.children == nil {
			current.children = make(map[string]*segment)
		}
		next := current.children[name]
		if next == nil {
			next = &segment{}
			current.children[name] = next
		}
		current = next
	}
	current.routes = append(current.routes, route)
	slices.SortStableFunc(current.routes, compareSpecificity)
}

// compareSpecificity is the order that bundle validation judges ambiguity by; names break ties, so that every node
// chooses alike.
func compareSpecificity(a, b *Route) int {
	return cmp.Or(a.Match.Compare(b.Match), cmp.Compare(a.Name, b.Name))
}

// Match returns the route of a request: an exact host before any host, then the longest path prefix, then the
// largest number of conditions.
func (t *Table) Match(request Request) (*Route, error) {
	if len(t.byHost) > 0 {
		if root := t.byHost[hostName(request.Host)]; root != nil {
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

func (s *segment) find(request Request) *Route {
	found := s.choose(request)
	current := s
	for name := range segments(request.Path) {
		current = current.children[name]
		if current == nil {
			break
		}
		if route := current.choose(request); route != nil {
			found = route
		}
	}
	return found
}

func (s *segment) choose(request Request) *Route {
	for _, route := range s.routes {
		if route.accepts(request) {
			return route
		}
	}
	return nil
}

func (r *Route) accepts(request Request) bool {
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

// ByName returns the route with a name.
func (t *Table) ByName(name string) (*Route, bool) {
	route, ok := t.routes[name]
	return route, ok
}

// Len is the number of routes.
func (t *Table) Len() int { return len(t.routes) }

// segments yields the non-empty segments of a path.
func segments(path string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for path != "" {
			name, rest, _ := strings.Cut(path, "/")
			path = rest
			if name != "" && !yield(name) {
				return
			}
		}
	}
}

// hostName strips the port and folds the case.
func hostName(host string) string {
	if index := strings.LastIndexByte(host, ':'); index >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:index]
	}
	return strings.ToLower(host)
}
