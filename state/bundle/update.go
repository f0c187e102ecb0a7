package bundle

import (
	"crypto/sha256"

	"github.com/cockroachdb/errors"
)

// wireUpdate is the encoding of an Update. A digest takes as much room as the rest of a small route and cannot be
// compressed, so that none is sent that the receiver can compute: neither those of the parts that are sent, nor those of
// the entries that name them.
type wireUpdate struct {
	Base   Digest `cbor:"1,keyasint"`
	Target Digest `cbor:"2,keyasint"`
	// Delta and Parts are the encoding of logs that were written before Set and Contents existed.
	Delta    *Delta      `cbor:"3,keyasint,omitempty"`
	Parts    []Part      `cbor:"4,keyasint,omitempty"`
	Set      []wireEntry `cbor:"5,keyasint,omitempty"`
	Removed  []PartID    `cbor:"6,keyasint,omitempty"`
	Contents [][]byte    `cbor:"7,keyasint,omitempty"`
}

// wireEntry is an entry whose part is sent, by its place in Contents counted from 1, or held, by its digest.
type wireEntry struct {
	ID            PartID `cbor:"1,keyasint"`
	ContentNumber int    `cbor:"2,keyasint,omitempty"`
	Digest        Digest `cbor:"3,keyasint,omitzero"`
}

// MarshalCBOR encodes the update.
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

// UnmarshalCBOR decodes what MarshalCBOR encodes. The digests of the parts are computed from their content; Store.Add finds
// out whether the result is the target.
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
