package node

import (
	"net/http"
	"strings"

	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// headerKey is the header field with the key of the caller's team, after keyScheme and a space.
const (
	headerKey = "Authorization"
	keyScheme = "Bearer"
)

// identifyTeam finds the caller's team by the key of its request. Bundles without teams need no keys.
func (c *ingressCall) identifyTeam(header http.Header) protocol.Reason {
	if c.snapshot.teams == nil {
		return protocol.ReasonNone
	}
	values := header[headerKey]
	if len(values) == 0 && c.route.Public {
		return protocol.ReasonNone
	}
	if len(values) == 1 {
		scheme, key, _ := strings.Cut(values[0], " ")
		if team := c.snapshot.teams[bundle.DigestKey(strings.TrimSpace(key))]; team != nil && strings.EqualFold(scheme, keyScheme) {
			c.team = team
			return protocol.ReasonNone
		}
	}
	if c.route.Public {
		return protocol.ReasonNone
	}
	return protocol.ReasonUnknownKey
}

// teamsByKey returns the teams of a bundle by the digests of their keys; nil if the bundle has no team.
func teamsByKey(b *bundle.Bundle) map[bundle.KeyDigest]*bundle.Team {
	if len(b.Teams) == 0 {
		return nil
	}
	teams := make(map[bundle.KeyDigest]*bundle.Team, len(b.Teams))
	for i := range b.Teams {
		for _, key := range b.Teams[i].Keys {
			teams[bundle.DigestKey(key)] = &b.Teams[i]
		}
	}
	return teams
}
