package bundle

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"iter"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Errors of this package. Callers test for them with errors.Is.
var (
	// ErrCorruptPart reports a part whose content does not match its digest.
	ErrCorruptPart = errors.New("bundle: part does not match its digest")
	// ErrMissingPart reports a manifest that names a part that the store does not have.
	ErrMissingPart = errors.New("bundle: part is missing")
	// ErrUnknownKind reports a part of a kind that this release does not know.
	ErrUnknownKind = errors.New("bundle: unknown part kind")
	// ErrDigestMismatch reports a manifest that does not have the expected bundle digest.
	ErrDigestMismatch = errors.New("bundle: manifest does not match the bundle digest")
	// ErrNotCanonical reports a part that is not the canonical encoding of its value, or whose name differs from the
	// name in the manifest.
	ErrNotCanonical = errors.New("bundle: part is not in canonical form")
)

// Digest is the SHA-256 of a canonical encoding.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first 12 hexadecimal digits, for logs and tables.
func (d Digest) Short() string { return d.String()[:12] }

// IsZero reports whether the digest is unset.
func (d Digest) IsZero() bool { return d == Digest{} }

// MarshalText encodes the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes a hexadecimal digest.
func (d *Digest) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(d) {
		return errors.Newf("bundle: %q is not a digest of %d hexadecimal digits", text, 2*len(d))
	}
	copy(d[:], raw)
	return nil
}

// Kind is the kind of a part.
type Kind uint8

// The kinds of parts.
const (
	KindService Kind = iota + 1
	KindRoute
	KindResource
	KindTeam
	// KindAccess is the kind of the part that states the access of a bundle without teams that needs keys.
	KindAccess
)

// PartID identifies a part within a bundle.
type PartID struct {
	Kind Kind   `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"`
}

// Compare orders part identifiers by kind, then name.
func (p PartID) Compare(other PartID) int {
	return cmp.Or(cmp.Compare(p.Kind, other.Kind), cmp.Compare(p.Name, other.Name))
}

// Part is the canonical encoding of one service, route, resource or team, or of the access, addressed by its digest.
type Part struct {
	Digest Digest `cbor:"1,keyasint"`
	Data   []byte `cbor:"2,keyasint"`
}

// Verify returns ErrCorruptPart unless the content has the part's digest.
func (p Part) Verify() error {
	if sha256.Sum256(p.Data) != p.Digest {
		return errors.Wrapf(ErrCorruptPart, "%s", p.Digest.Short())
	}
	return nil
}

var canonicalMode = mustEncMode(cbor.CoreDetEncOptions())

// maxPartDepth bounds the nesting levels of an encoded part; a route has three: the part, its match and the headers.
const maxPartDepth = 4

// maxUpdateDepth bounds the nesting levels of an encoded update: the update, its delta, a list, an entry and the
// entry's identifier.
const maxUpdateDepth = 5

// strictPartMode and strictUpdateMode reject duplicate map keys, unknown fields, tags and indefinite lengths. Each of
// these would allow several encodings of one value, and so several digests.
var (
	strictPartMode   = newStrictMode(maxPartDepth)
	strictUpdateMode = newStrictMode(maxUpdateDepth)
)

func newStrictMode(depth int) cbor.DecMode {
	return mustDecMode(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   depth,
	})
}

func mustEncMode(options cbor.EncOptions) cbor.EncMode {
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode(options cbor.DecOptions) cbor.DecMode {
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func encodePart(value any) (Part, error) {
	data, err := canonicalMode.Marshal(value)
	if err != nil {
		return Part{}, errors.Wrap(err, "bundle: encode part")
	}
	return Part{Digest: sha256.Sum256(data), Data: data}, nil
}

// eachPart returns a sequence of the parts of a bundle: their identifiers and what they encode.
func (b *Bundle) eachPart() iter.Seq2[PartID, any] {
	return func(yield func(PartID, any) bool) {
		for i := range b.Services {
			if !yield(PartID{Kind: KindService, Name: b.Services[i].Name}, &b.Services[i]) {
				return
			}
		}
		for i := range b.Routes {
			if !yield(PartID{Kind: KindRoute, Name: b.Routes[i].Name}, &b.Routes[i]) {
				return
			}
		}
		for i := range b.Resources {
			if !yield(PartID{Kind: KindResource, Name: b.Resources[i].Name}, &b.Resources[i]) {
				return
			}
		}
		for i := range b.Teams {
			if !yield(PartID{Kind: KindTeam, Name: b.Teams[i].Name}, &b.Teams[i]) {
				return
			}
		}
		if access := b.encodedAccess(); access != "" {
			yield(PartID{Kind: KindAccess, Name: accessPartName}, &accessPart{Name: accessPartName, Access: access})
		}
	}
}

// PartIDs lists the identifiers of the parts of a bundle; those of one in canonical form are sorted.
func (b *Bundle) PartIDs() []PartID {
	var ids []PartID
	for id := range b.eachPart() {
		ids = append(ids, id)
	}
	return ids
}

// Split encodes a bundle as parts, and returns them with the manifest that lists them.
func Split(b *Bundle) ([]Part, Manifest, error) {
	var parts []Part
	var manifest Manifest
	for id, value := range b.eachPart() {
		part, err := encodePart(value)
		if err != nil {
			return nil, Manifest{}, err
		}
		parts = append(parts, part)
		manifest.Entries = append(manifest.Entries, Entry{ID: id, Digest: part.Digest})
	}
	manifest.sort()
	return parts, manifest, nil
}

// FullUpdate returns the update that adds a bundle to an empty store.
func FullUpdate(b *Bundle) (Update, error) {
	parts, manifest, err := Split(b)
	if err != nil {
		return Update{}, err
	}
	return Update{Target: manifest.Digest(), Delta: Diff(Manifest{}, manifest), Parts: distinctParts(parts)}, nil
}

// distinctParts removes parts with equal digests.
func distinctParts(parts []Part) []Part {
	seen := make(map[Digest]bool, len(parts))
	var list []Part
	for _, part := range parts {
		if !seen[part.Digest] {
			seen[part.Digest] = true
			list = append(list, part)
		}
	}
	return list
}

// Assemble builds the bundle that a manifest lists. It returns ErrMissingPart if lookup lacks a part.
func Assemble(manifest Manifest, lookup func(Digest) ([]byte, bool)) (*Bundle, error) {
	b := &Bundle{}
	for _, entry := range manifest.Entries {
		data, ok := lookup(entry.Digest)
		if !ok {
			return nil, errors.Wrapf(ErrMissingPart, "%s", entry.ID.Name)
		}
		if err := b.decodePart(entry.ID, data); err != nil {
			return nil, err
		}
	}
	if err := b.finishAccess(); err != nil {
		return nil, err
	}
	return b, nil
}

// decodePart appends the value of a part to the list of its kind, or sets the access.
func (b *Bundle) decodePart(id PartID, data []byte) error {
	switch id.Kind {
	case KindService:
		return appendDecoded(&b.Services, id, data, func(s *Service) string { return s.Name })
	case KindRoute:
		return appendDecoded(&b.Routes, id, data, func(r *Route) string { return r.Name })
	case KindResource:
		return appendDecoded(&b.Resources, id, data, func(r *Resource) string { return r.Name })
	case KindTeam:
		return appendDecoded(&b.Teams, id, data, func(t *Team) string { return t.Name })
	case KindAccess:
		return b.decodeAccess(id, data)
	default:
		return errors.Wrapf(ErrUnknownKind, "%d", id.Kind)
	}
}

func appendDecoded[T any](list *[]T, id PartID, data []byte, name func(*T) string) error {
	var value T
	if err := strictPartMode.Unmarshal(data, &value); err != nil {
		return errors.Wrap(err, "bundle: decode part")
	}
	if name(&value) != id.Name {
		return errors.Wrapf(ErrNotCanonical, "part is named %q, its manifest lists it as %q", name(&value), id.Name)
	}
	reencoded, err := canonicalMode.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "bundle: encode part")
	}
	if !bytes.Equal(reencoded, data) {
		return errors.Wrapf(ErrNotCanonical, "%s", id.Name)
	}
	*list = append(*list, value)
	return nil
}

// sort puts the entries in the order in which the digest covers them.
func (m *Manifest) sort() {
	slices.SortFunc(m.Entries, func(a, b Entry) int { return a.ID.Compare(b.ID) })
}
