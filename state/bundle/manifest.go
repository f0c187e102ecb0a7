package bundle

import (
	"crypto/sha256"
	"slices"

	"github.com/cockroachdb/errors"
)

// Entry names one part of a bundle and its content.
type Entry struct {
	ID     PartID `cbor:"1,keyasint"`
	Digest Digest `cbor:"2,keyasint"`
}

// Manifest lists all parts of a bundle, sorted by identifier.
type Manifest struct {
	Entries []Entry `cbor:"1,keyasint"`
}

// Digest returns the bundle digest: the SHA-256 of the canonical encoding of the sorted entries.
func (m Manifest) Digest() Digest {
	if m.Entries == nil {
		// A nil list would encode as null and give an empty manifest a second digest.
		m.Entries = []Entry{}
	}
	data, err := canonicalMode.Marshal(m)
	if err != nil {
		// The type holds only strings, integers and byte arrays, which always encode.
		panic(err)
	}
	return sha256.Sum256(data)
}

// Delta is the change from one manifest to another: Set holds the entries that are added or replaced, Removed the
// identifiers of those that are dropped.
type Delta struct {
	Set     []Entry  `cbor:"1,keyasint,omitempty"`
	Removed []PartID `cbor:"2,keyasint,omitempty"`
}

// Diff returns the delta between two manifests.
func Diff(from, to Manifest) Delta {
	previous := make(map[PartID]Digest, len(from.Entries))
	for _, entry := range from.Entries {
		previous[entry.ID] = entry.Digest
	}
	var delta Delta
	for _, entry := range to.Entries {
		if digest, ok := previous[entry.ID]; !ok || digest != entry.Digest {
			delta.Set = append(delta.Set, entry)
		}
		delete(previous, entry.ID)
	}
	for id := range previous {
		delta.Removed = append(delta.Removed, id)
	}
	slices.SortFunc(delta.Removed, PartID.Compare)
	return delta
}

// Apply returns the manifest after the delta. It returns ErrDigestMismatch if the digest of the result is not the
// expected one, so that a delta that is applied to the wrong base is detected.
func (m Manifest) Apply(delta Delta, want Digest) (Manifest, error) {
	entries := make(map[PartID]Digest, len(m.Entries)+len(delta.Set))
	for _, entry := range m.Entries {
		entries[entry.ID] = entry.Digest
	}
	for _, id := range delta.Removed {
		delete(entries, id)
	}
	for _, entry := range delta.Set {
		entries[entry.ID] = entry.Digest
	}
	next := Manifest{Entries: make([]Entry, 0, len(entries))}
	for id, digest := range entries {
		next.Entries = append(next.Entries, Entry{ID: id, Digest: digest})
	}
	next.sort()
	if next.Digest() != want {
		return Manifest{}, errors.Wrapf(ErrDigestMismatch, "want %s", want.Short())
	}
	return next, nil
}
