package bundle

import (
	"github.com/cockroachdb/errors"
)

// Update is the change from the bundle Base to the bundle Target: the delta between their manifests and the parts that
// Base does not contain. With a zero Base the update contains the whole target.
type Update struct {
	Base   Digest `cbor:"1,keyasint"`
	Target Digest `cbor:"2,keyasint"`
	Delta  Delta  `cbor:"3,keyasint"`
	Parts  []Part `cbor:"4,keyasint,omitempty"`
}

// Store holds the parts and manifests of a few bundles. It is not safe for concurrent use.
type Store struct {
	parts     map[Digest]*storedPart
	manifests map[Digest]Manifest
}

// storedPart is a part and the number of manifest entries that refer to it. The reference count lets the store drop a
// bundle in time proportional to the size of that bundle.
type storedPart struct {
	data []byte
	uses int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{parts: make(map[Digest]*storedPart), manifests: make(map[Digest]Manifest)}
}

// Add applies an update. It is idempotent. If the update cannot be applied, Add leaves the store unchanged and returns
// ErrCorruptPart, ErrDigestMismatch or, also for an unknown base, ErrMissingPart. Parts that the target does not list
// are ignored.
func (s *Store) Add(update Update) error {
	if s.Holds(update.Target) {
		return nil
	}
	base, err := s.base(update.Base)
	if err != nil {
		return err
	}
	manifest, err := base.Apply(update.Delta, update.Target)
	if err != nil {
		return err
	}
	added := make(map[Digest][]byte, len(update.Parts))
	for _, part := range update.Parts {
		if err := part.Verify(); err != nil {
			return err
		}
		added[part.Digest] = part.Data
	}
	for _, entry := range manifest.Entries {
		if _, ok := added[entry.Digest]; ok {
			continue
		}
		if _, ok := s.parts[entry.Digest]; !ok {
			return errors.Wrapf(ErrMissingPart, "%s", entry.ID.Name)
		}
	}
	for _, entry := range manifest.Entries {
		part, ok := s.parts[entry.Digest]
		if !ok {
			part = &storedPart{data: added[entry.Digest]}
			s.parts[entry.Digest] = part
		}
		part.uses++
	}
	s.manifests[update.Target] = manifest
	return nil
}

func (s *Store) base(digest Digest) (Manifest, error) {
	if digest.IsZero() {
		return Manifest{}, nil
	}
	manifest, ok := s.manifests[digest]
	if !ok {
		return Manifest{}, errors.Wrapf(ErrMissingPart, "base bundle %s", digest.Short())
	}
	return manifest, nil
}

// Holds reports whether the store has the bundle with this digest, with all its parts.
func (s *Store) Holds(digest Digest) bool {
	_, ok := s.manifests[digest]
	return ok
}

// HoldsPart reports whether a stored bundle contains the part with this digest.
func (s *Store) HoldsPart(digest Digest) bool {
	_, ok := s.parts[digest]
	return ok
}

// Manifest returns the manifest of a stored bundle.
func (s *Store) Manifest(digest Digest) (Manifest, bool) {
	manifest, ok := s.manifests[digest]
	return manifest, ok
}

// Bundle assembles a stored bundle. It returns ErrMissingPart if the store does not have it.
func (s *Store) Bundle(digest Digest) (*Bundle, error) {
	manifest, ok := s.manifests[digest]
	if !ok {
		return nil, errors.Wrapf(ErrMissingPart, "bundle %s", digest.Short())
	}
	return Assemble(manifest, s.part)
}

func (s *Store) part(digest Digest) ([]byte, bool) {
	part, ok := s.parts[digest]
	if !ok {
		return nil, false
	}
	return part.data, true
}

// Update returns the update from base to target. If the store does not have base, the update contains the whole
// target. It returns ErrMissingPart if the store does not have target.
func (s *Store) Update(base, target Digest) (Update, error) {
	to, ok := s.manifests[target]
	if !ok {
		return Update{}, errors.Wrapf(ErrMissingPart, "bundle %s", target.Short())
	}
	from, ok := s.manifests[base]
	if !ok {
		base = Digest{}
	}
	update := Update{Base: base, Target: target, Delta: Diff(from, to)}
	available := make(map[Digest]bool, len(from.Entries))
	for _, entry := range from.Entries {
		available[entry.Digest] = true
	}
	for _, entry := range update.Delta.Set {
		if available[entry.Digest] {
			continue
		}
		available[entry.Digest] = true
		update.Parts = append(update.Parts, Part{Digest: entry.Digest, Data: s.parts[entry.Digest].data})
	}
	return update, nil
}

// Retain drops all bundles except the given ones, and the parts that only dropped bundles contain.
func (s *Store) Retain(digests ...Digest) {
	kept := make(map[Digest]bool, len(digests))
	for _, digest := range digests {
		kept[digest] = true
	}
	for digest, manifest := range s.manifests {
		if kept[digest] {
			continue
		}
		delete(s.manifests, digest)
		s.release(manifest)
	}
}

func (s *Store) release(manifest Manifest) {
	for _, entry := range manifest.Entries {
		part := s.parts[entry.Digest]
		part.uses--
		if part.uses == 0 {
			delete(s.parts, entry.Digest)
		}
	}
}
