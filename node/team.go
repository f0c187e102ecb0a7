package node

import (
	"math"
	"net/http"
	"strings"
	"time"

	"sapphiregate.example/sapphiregate/internal/clock"
	"sapphiregate.example/sapphiregate/protocol"
	"sapphiregate.example/sapphiregate/state/bundle"
)

// headerKey is the header field with the key of the caller's team, after keyScheme and a space.
const (
	headerKey = "Authorization"
	keyScheme = "Bearer"
)

// KeyLimits bounds how old the latest confirmation of a node's configuration may be when it decides about a key.
type KeyLimits struct {
	// AddedWithin is the time after which an added key is in force on all nodes. A node with an older confirmation does not
	// know whether an unknown key was added since: it refuses the request as not run. 0 sets no limit.
	AddedWithin time.Duration
	// RevokedWithin is the time after which a removed key must no longer be accepted. 0 sets no limit. A node with an older
	// confirmation admits nobody to routes that are not public: a key that it knows may have been removed since, and so may
	// the access of all callers.
	RevokedWithin time.Duration
}

// checkTeam returns why a caller is refused whose key is that of a team; team is nil if its request has no known key. To admit
// a caller rests on what may have been removed since the configuration was confirmed, to refuse one on what may have been added.
func (n *Node) checkTeam(team *bundle.Team, public bool, current *snapshot) protocol.Reason {
	limits := n.options.KeyLimits
	if !public && limits.RevokedWithin > 0 && n.confirmedAge() > limits.RevokedWithin {
		return protocol.ReasonUnconfirmed
	}
	switch {
	case team != nil || public || !current.access.NeedsKey():
		return protocol.ReasonNone
	case limits.AddedWithin > 0 && n.confirmedAge() > limits.AddedWithin:
		return protocol.ReasonUnconfirmed
	}
	return protocol.ReasonUnknownKey
}

// teamOf returns the team whose key the values of headerKey hold; nil if there is none. Several values name no team, since
// the processes on the way could choose different ones.
func (s *snapshot) teamOf(values []string) *bundle.Team {
	if !s.access.NeedsKey() || len(values) != 1 {
		return nil
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, keyScheme) {
		return nil
	}
	return s.teams[bundle.DigestKey(strings.TrimSpace(key))]
}

// teamNamed returns a team by its name; nil if there is none.
func (s *snapshot) teamNamed(name string) *bundle.Team {
	for _, team := range s.teams {
		if team.Name == name {
			return team
		}
	}
	return nil
}

// confirmedAge returns an upper bound of the time since the version in force was the latest.
func (n *Node) confirmedAge() time.Duration {
	at := n.confirmedAt.Load()
	if at == nil {
		return math.MaxInt64
	}
	return clock.Now().Sub(*at)
}

// publishConfirmation stores when the version in force was last confirmed, for the goroutines that serve callers. It runs on
// the control goroutine.
func (n *Node) publishConfirmation(time.Time) {
	if at, ok := n.peer.ConfirmedAt(); ok {
		n.confirmedAt.Store(&at)
	}
}

// teamsByKey returns the teams of a bundle by the digests of their keys.
func teamsByKey(b *bundle.Bundle) map[bundle.KeyDigest]*bundle.Team {
	teams := make(map[bundle.KeyDigest]*bundle.Team, len(b.Teams))
	for i := range b.Teams {
		for _, key := range b.Teams[i].Keys {
			teams[bundle.DigestKey(key)] = &b.Teams[i]
		}
	}
	return teams
}

// internalFields lists the header fields that callers cannot set for an upstream: those that the executor sets from the
// metadata, and the key of the caller's team.
func (c *ingressCall) internalFields() []string {
	dialect := &c.node.options.Dialect
	fields := []string{
		dialect.Deadline, dialect.Depth, dialect.Retry, dialect.RequestID, dialect.ExpectUpstream, dialect.Team,
	}
	if c.snapshot.access.NeedsKey() {
		fields = append(fields, headerKey)
	}
	return fields
}

// removeInternalFields removes the fields of internalFields from a header or trailer.
func (c *ingressCall) removeInternalFields(header http.Header) {
	for _, name := range c.internalFields() {
		header.Del(name)
	}
}
