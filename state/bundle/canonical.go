package bundle

import (
	"cmp"
	"net/textproto"
	"slices"
	"strings"
)

// Canonicalize sorts all lists, normalizes header and host names and sets the access in place, so that equal configurations
// have equal digests.
func Canonicalize(b *Bundle) {
	slices.SortStableFunc(b.Services, func(x, y Service) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortStableFunc(b.Routes, func(x, y Route) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortStableFunc(b.Resources, func(x, y Resource) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortStableFunc(b.Teams, func(x, y Team) int { return cmp.Compare(x.Name, y.Name) })
	b.Access = b.settledAccess()
	for i := range b.Routes {
		canonicalizeRoute(&b.Routes[i])
	}
	for i := range b.Teams {
		if b.Teams[i].Keys == nil {
			b.Teams[i].Keys = []string{}
		}
	}
	for i := range b.Resources {
		b.Resources[i].Headers = canonicalHeaders(b.Resources[i].Headers)
	}
}

func canonicalizeRoute(r *Route) {
	r.Match.Host = strings.ToLower(r.Match.Host)
	r.Match.Methods = sortedOrNil(r.Match.Methods)
	r.Match.Headers = canonicalHeaders(r.Match.Headers)
	r.Resources = sortedOrNil(r.Resources)
}

// sortedOrNil returns a sorted copy of the list, or nil if it is empty.
func sortedOrNil(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	return slices.Sorted(slices.Values(list))
}

// canonicalHeaders returns the headers under canonical names, or nil if there are none. It visits the names in sorted
// order, so that the result is also deterministic for an invalid bundle that has one header in two spellings.
func canonicalHeaders(headers map[string]string) map[string]string {
	if len(headers) == 0 {
		return nil
	}
	result := make(map[string]string, len(headers))
	for _, name := range sortedKeys(headers) {
		result[textproto.CanonicalMIMEHeaderKey(name)] = headers[name]
	}
	return result
}
