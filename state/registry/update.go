package registry

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// Bounds of decompressed data: without them, a small message could exhaust the memory of every member.
const (
	// MaxUpdateBytes bounds a decompressed update. A bundle at the design scale (1,700 services, some thousand routes)
	// takes about 1 MB.
	MaxUpdateBytes = 8 << 20
	// maxSnapshotBytes bounds a decompressed snapshot, which holds the retained and staged bundles and the history.
	maxSnapshotBytes = (retainedApproved+MaxStaged)*MaxUpdateBytes + 64<<20
)

var (
	encoding = must(cbor.CoreDetEncOptions().EncMode())
	decoding = must(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
	}.DecMode())

	// With a concurrency of 1, EncodeAll and DecodeAll run on the calling goroutine.
	updateCompressor = must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedBetterCompression), zstd.WithLowerEncoderMem(true)))
	// Snapshots are taken on the control goroutine and must not block it for long.
	snapshotCompressor = must(zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedFastest)))
	updateDecompressor = must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(MaxUpdateBytes)))
	snapshotDecompressor = must(zstd.NewReader(nil, zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderMaxMemory(maxSnapshotBytes)))
)

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// EncodeUpdate returns the compressed canonical encoding of an update.
func EncodeUpdate(u bundle.Update) ([]byte, error) {
	data, err := encoding.Marshal(u)
	if err != nil {
		return nil, errors.Wrap(err, "registry: encode update")
	}
	if len(data) > MaxUpdateBytes {
		return nil, errors.Newf("registry: update of %d bytes exceeds %d", len(data), MaxUpdateBytes)
	}
	return updateCompressor.EncodeAll(data, nil), nil
}

// DecodeUpdate decodes the output of EncodeUpdate. The decompressed size is bounded.
func DecodeUpdate(data []byte) (bundle.Update, error) {
	var u bundle.Update
	plain, err := updateDecompressor.DecodeAll(data, nil)
	if err != nil {
		return u, errors.Wrapf(ErrMalformed, "decompress update: %v", err)
	}
	if err := decoding.Unmarshal(plain, &u); err != nil {
		return bundle.Update{}, errors.Wrapf(ErrMalformed, "decode update: %v", err)
	}
	return u, nil
}

// Shrink returns the stage with a smaller update, which is relative to the latest approved bundle and leaves out the
// parts that the registry has. The leader calls it before it proposes a stage. If the base is dropped before the stage
// is applied, the result is CodeMissingParts, and the original stage must be sent again.
func (r *Registry) Shrink(s Stage) (Stage, error) {
	update, err := DecodeUpdate(s.Update)
	if err != nil {
		return Stage{}, err
	}
	reduced, err := r.shrinkUpdate(update)
	if err != nil {
		return Stage{}, err
	}
	s.Update, err = EncodeUpdate(reduced)
	return s, err
}

func (r *Registry) shrinkUpdate(update bundle.Update) (bundle.Update, error) {
	if r.store.Holds(update.Target) {
		return bundle.Update{Base: update.Target, Target: update.Target}, nil
	}
	updateBase, ok := r.store.Manifest(update.Base)
	if !ok && !update.Base.IsZero() {
		return bundle.Update{}, errors.Wrapf(ErrMissingParts, "base bundle %s", update.Base.Short())
	}
	target, err := updateBase.Apply(update.Delta, update.Target)
	if err != nil {
		return bundle.Update{}, errors.Wrapf(ErrInvalid, "%v", err)
	}
	reduced := bundle.Update{Target: update.Target}
	var base bundle.Manifest
	if r.latest != nil {
		reduced.Base = r.latest.Digest
		base, _ = r.store.Manifest(reduced.Base)
	}
	reduced.Delta = bundle.Diff(base, target)
	for _, part := range update.Parts {
		if !r.store.HoldsPart(part.Digest) {
			reduced.Parts = append(reduced.Parts, part)
		}
	}
	return reduced, nil
}
