package experiment

import (
	"bytes"
	"compress/flate"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// changeBytes returns the compressed size of the smallest message that moves a holder of the previous bundle to the
// signed one, with the approval.
func changeBytes(previous *bundle.Bundle, s Signed) (int64, error) {
	store := bundle.NewStore()
	var base bundle.Digest
	for _, b := range []*bundle.Bundle{previous, s.Bundle} {
		parts, manifest, err := bundle.Split(b)
		if err != nil {
			return 0, err
		}
		full := bundle.Update{Target: manifest.Digest(), Delta: bundle.Diff(bundle.Manifest{}, manifest), Parts: parts}
		if err := store.Add(full); err != nil {
			return 0, err
		}
		if b == previous {
			base = full.Target
		}
	}
	update, err := store.Update(base, s.Approval.Digest)
	if err != nil {
		return 0, err
	}
	return compressedSize(update, s.Approval)
}

func compressedSize(values ...any) (int64, error) {
	var out bytes.Buffer
	compressor, err := flate.NewWriter(&out, flate.BestCompression)
	if err != nil {
		return 0, errors.Wrap(err, "experiment: compress change")
	}
	for _, value := range values {
		data, err := cbor.Marshal(value)
		if err != nil {
			return 0, errors.Wrap(err, "experiment: encode change")
		}
		if _, err := compressor.Write(data); err != nil {
			return 0, errors.Wrap(err, "experiment: compress change")
		}
	}
	if err := compressor.Close(); err != nil {
		return 0, errors.Wrap(err, "experiment: compress change")
	}
	return int64(out.Len()), nil
}
