// Package web sends HTTP requests to upstreams and selects the header fields that a proxy passes on.
package web

import (
	"net/http"
	"strings"
)

// hopByHop lists the header fields that apply to one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader returns the fields that a proxy passes on: all but the hop-by-hop fields and the fields that the
// Connection field names. The result shares the slices of values with the input.
func CopyHeader(from http.Header) http.Header {
	named := connectionFields(from)
	to := make(http.Header, len(from))
	for name, values := range from {
		if named[name] {
			continue
		}
		to[name] = values
	}
	for _, name := range hopByHop {
		delete(to, name)
	}
	return to
}

// connectionFields returns the names that are listed in the Connection field.
func connectionFields(header http.Header) map[string]bool {
	var named map[string]bool
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
