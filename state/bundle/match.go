package bundle

import (
	"cmp"
	"slices"
	"strings"
)

// Compare orders matches by precedence; the more specific match comes first. A match with a host precedes one without,
// then the longer path prefix, then a match with methods, then the one with more headers. Validate guarantees that no
// request matches two routes of equal precedence.
func (m Match) Compare(other Match) int {
	return cmp.Or(
		compareSet(m.Host != "", other.Host != ""),
		cmp.Compare(len(other.PathPrefix), len(m.PathPrefix)),
		compareSet(len(m.Methods) > 0, len(other.Methods) > 0),
		cmp.Compare(len(other.Headers), len(m.Headers)),
	)
}

// compareSet orders a condition that is set before one that is not.
func compareSet(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// Overlaps reports whether a single request can satisfy both matches. Header names must be in canonical form.
func (m Match) Overlaps(other Match) bool {
	if m.Host != "" && other.Host != "" && !strings.EqualFold(m.Host, other.Host) {
		return false
	}
	if !hasPathPrefix(m.PathPrefix, other.PathPrefix) && !hasPathPrefix(other.PathPrefix, m.PathPrefix) {
		return false
	}
	return methodsOverlap(m.Methods, other.Methods) && headersOverlap(m.Headers, other.Headers)
}

// Matches reports whether a request satisfies the match. The host is given without its port; header returns the first
// value of a header.
func (m Match) Matches(host, method, path string, header func(name string) string) bool {
	if m.Host != "" && !strings.EqualFold(m.Host, host) {
		return false
	}
	if !hasPathPrefix(path, m.PathPrefix) {
		return false
	}
	if len(m.Methods) > 0 && !slices.Contains(m.Methods, method) {
		return false
	}
	for name, value := range m.Headers {
		if header(name) != value {
			return false
		}
	}
	return true
}

// hasPathPrefix reports whether a path begins with the whole segments of the prefix, so that the prefix /rank does not
// match /ranking. A prefix that ends in a slash does not match the path without that slash.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

func methodsOverlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(method string) bool { return slices.Contains(b, method) })
}

// headersOverlap reports whether no header is required to have two different values.
func headersOverlap(a, b map[string]string) bool {
	for name, value := range a {
		if other, ok := b[name]; ok && other != value {
			return false
		}
	}
	return true
}
