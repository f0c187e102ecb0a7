// Package web carries HTTP between callers, nodes and upstreams with net/http.
package web

import (
	"net/http"
	"strings"
)

// hopByHop are the fields that concern one connection only (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeader returns the fields that pass through a proxy: all but hop-by-hop fields and those that the
// Connection field names.
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
