package bundle

import (
	"github.com/cockroachdb/errors"
)

// Update moves a holder from one bundle to another: the manifest's change and the parts that the base lacks.
// A zero Base means that the update is complete in itself.
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

// storedPart counts the manifest entries that name a part, so that dropping a bundle costs time in the size of that
// bundle only.
type storedPart struct {
	data []byte
	uses int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{parts: make(map[Digest]*storedPart), manifests: make(map[Digest]Manifest)}
}

// Add applies an update. It is idempotent. Nothing is kept if a part is corrupt, the base is not held,
// a part is missing, or the result does not have the target's digest. Parts that the target does not name are ignored.
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

// Holds reports whether the bundle with this digest is complete in the store.
func (s *Store) Holds(digest Digest) bool {
	_, ok := s.manifests[digest]
	return ok
}

// HoldsPart reports whether any held bundle contains the part with this digest.
func (s *Store) HoldsPart(digest Digest) bool {
	_, ok := s.parts[digest]
	return ok
}

// Manifest returns the manifest of a held bundle.
func (s *Store) Manifest(digest Digest) (Manifest, bool) {
	manifest, ok := s.manifests[digest]
	return manifest, ok
}

// Bundle assembles a held bundle.
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

// Update returns the change from base to target with the parts that base lacks. An unknown base yields an update
// that is complete in itself.
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
	held := make(map[Digest]bool, len(from.Entries))
	for _, entry := range from.Entries {
		held[entry.Digest] = true
	}
	for _, entry := range update.Delta.Set {
		if held[entry.Digest] {
			continue
		}
		held[entry.Digest] = true
		update.Parts = append(update.Parts, Part{Digest: entry.Digest, Data: s.parts[entry.Digest].data})
	}
	return update, nil
}

// Retain drops all bundles but the named ones, and the parts that only the dropped ones use.
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
