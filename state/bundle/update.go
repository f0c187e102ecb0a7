package bundle

import (
	"crypto/sha256"

	"github.com/cockroachdb/errors"
)

// wireUpdate is the encoding of an Update. A digest is as large as the rest of a small route and cannot be compressed.
// The encoding therefore omits each digest that the receiver can compute: those of the parts that are included, and
// those of the entries that refer to these parts.
type wireUpdate struct {
	Base   Digest `cbor:"1,keyasint"`
	Target Digest `cbor:"2,keyasint"`
	// Delta and Parts are only decoded: logs of earlier releases contain them instead of Set, Removed and Contents.
	Delta    *Delta      `cbor:"3,keyasint,omitempty"`
	Parts    []Part      `cbor:"4,keyasint,omitempty"`
	Set      []wireEntry `cbor:"5,keyasint,omitempty"`
	Removed  []PartID    `cbor:"6,keyasint,omitempty"`
	Contents [][]byte    `cbor:"7,keyasint,omitempty"`
}

// wireEntry is the encoding of an Entry. If the update includes the part, ContentNumber is its position in Contents,
// counted from 1; otherwise the receiver already has the part, and Digest identifies it.
type wireEntry struct {
	ID            PartID `cbor:"1,keyasint"`
	ContentNumber int    `cbor:"2,keyasint,omitempty"`
	Digest        Digest `cbor:"3,keyasint,omitzero"`
}

// MarshalCBOR encodes the update as a wireUpdate.
func (u Update) MarshalCBOR() ([]byte, error) {
	wire := wireUpdate{Base: u.Base, Target: u.Target, Removed: u.Delta.Removed}
	contentNumbers := make(map[Digest]int, len(u.Parts))
	for i, part := range u.Parts {
		contentNumbers[part.Digest] = i + 1
		wire.Contents = append(wire.Contents, part.Data)
	}
	for _, entry := range u.Delta.Set {
		encoded := wireEntry{ID: entry.ID, ContentNumber: contentNumbers[entry.Digest]}
		if encoded.ContentNumber == 0 {
			encoded.Digest = entry.Digest
		}
		wire.Set = append(wire.Set, encoded)
	}
	return canonicalMode.Marshal(wire)
}

// UnmarshalCBOR decodes what MarshalCBOR encodes. The digests of the parts are computed from their content; Store.Add
// verifies the result against the digest of the target.
func (u *Update) UnmarshalCBOR(data []byte) error {
	var wire wireUpdate
	if err := strictUpdateMode.Unmarshal(data, &wire); err != nil {
		return err
	}
	decoded := Update{Base: wire.Base, Target: wire.Target, Parts: wire.Parts}
	if wire.Delta != nil {
		decoded.Delta = *wire.Delta
	}
	decoded.Delta.Removed = append(decoded.Delta.Removed, wire.Removed...)
	contentDigests := make([]Digest, 0, len(wire.Contents))
	for _, content := range wire.Contents {
		digest := Digest(sha256.Sum256(content))
		contentDigests = append(contentDigests, digest)
		decoded.Parts = append(decoded.Parts, Part{Digest: digest, Data: content})
	}
	for _, entry := range wire.Set {
		digest := entry.Digest
		if entry.ContentNumber != 0 {
			if entry.ContentNumber < 0 || entry.ContentNumber > len(contentDigests) || !digest.IsZero() {
				return errors.Wrapf(ErrMissingPart, "entry %s", entry.ID.Name)
			}
			digest = contentDigests[entry.ContentNumber-1]
		}
		decoded.Delta.Set = append(decoded.Delta.Set, Entry{ID: entry.ID, Digest: digest})
	}
	*u = decoded
	return nil
}
