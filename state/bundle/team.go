package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// KeyDigest is the digest of a team's key. Keys are compared by their digests, so that the time of a comparison tells
// nothing about a key, and shown by them.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String returns the first 8 hexadecimal digits, for logs, dumps and comparisons of bundles.
func (d KeyDigest) String() string { return "sha256:" + hex.EncodeToString(d[:4]) }

// Redacted returns a copy of the team in which each key is replaced by the text of its digest.
func (t Team) Redacted() Team {
	keys := make([]string, 0, len(t.Keys))
	for _, key := range t.Keys {
		keys = append(keys, DigestKey(key).String())
	}
	t.Keys = keys
	return t
}

// redactedTeams returns copies of teams without their keys.
func redactedTeams(teams []Team) []Team {
	redacted := make([]Team, 0, len(teams))
	for _, team := range teams {
		redacted = append(redacted, team.Redacted())
	}
	return redacted
}

// keysField matches the path of the keys of a team; what follows it in a malformed file may contain a key.
var keysField = regexp.MustCompile(`^teams\[\d+\]\.keys(\[\d+\])?`)

// redactKeys removes from a problem what a file holds in the place of keys.
func (p *Problem) redactKeys() {
	if field := keysField.FindString(p.Field); field != "" {
		p.Field, p.Value = field, "(not shown)"
	}
}

// checkTeams checks the teams, and that no key belongs to two of them. Problems show the digests of keys.
func (v *validator) checkTeams() {
	names := make(map[string]bool, len(v.bundle.Teams))
	owners := make(map[string]string)
	for i := range v.bundle.Teams {
		team := &v.bundle.Teams[i]
		loc := itemLocation("teams", v.origins.teams, i)
		v.checkName(loc.field("name"), team.Name, names[team.Name])
		names[team.Name] = true
		v.checkRange(loc.field("priority"), int64(team.Priority), 0, MaxPriority)
		v.checkNumber(loc.field("requests_per_second"), team.RequestsPerSecond, MaxCallsPerSecond)
		v.checkNumber(loc.field("burst"), team.Burst, MaxBurst)
		v.checkTeamKeys(loc.field("keys"), team, owners)
	}
}

func (v *validator) checkTeamKeys(loc location, team *Team, owners map[string]string) {
	if len(team.Keys) > MaxKeysPerTeam {
		v.addProblem(loc, strconv.Itoa(len(team.Keys)), fmt.Sprintf("0 to %d keys", MaxKeysPerTeam))
	}
	for i, key := range team.Keys {
		owner, taken := owners[key]
		switch {
		case !validKey(key):
			v.addProblem(loc.item(i), DigestKey(key).String(),
				fmt.Sprintf("a key of 1 to %d printable ASCII characters without spaces", MaxKeyLength))
		case slices.Contains(team.Keys[:i], key):
			v.addProblem(loc.item(i), DigestKey(key).String(), "each key once")
		case taken:
			v.addProblem(loc.item(i), DigestKey(key).String(), "a key that team "+owner+" does not have")
		}
		owners[key] = team.Name
	}
}

// checkNumber checks that a value lies between 0 and a bound; NaN does not.
func (v *validator) checkNumber(loc location, value, high float64) {
	if !(value >= 0 && value <= high) {
		v.addProblem(loc, strconv.FormatFloat(value, 'g', -1, 64), fmt.Sprintf("0 to %g", high))
	}
}

func validKey(key string) bool {
	return key != "" && len(key) <= MaxKeyLength && isPrintableASCII(key) && !strings.Contains(key, " ")
}
