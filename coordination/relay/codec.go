package relay

import (
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// ErrCorruptMessage reports content that does not decompress or decode.
var ErrCorruptMessage = errors.New("relay: corrupt message content")

// maxUnpackedBytes bounds the size of decompressed content. A bundle of 1,700 services with two routes each has about
// 1.5 MB.
const maxUnpackedBytes = 32 << 20

// The codecs are shared by all peers of a process; both are safe for concurrent use and hold no state between calls.
var (
	zstdEncoder = sync.OnceValue(newZstdEncoder)
	zstdDecoder = sync.OnceValue(newZstdDecoder)
	cborEncMode = sync.OnceValue(newCBOREncMode)
)

func newZstdEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err)
	}
	return e
}

func newZstdDecoder() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUnpackedBytes))
	if err != nil {
		panic(err)
	}
	return d
}

func newCBOREncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// pack encodes a value in CBOR and compresses it.
func pack(value any) ([]byte, error) {
	data, err := cborEncMode().Marshal(value)
	if err != nil {
		return nil, errors.Wrap(err, "relay: encode")
	}
	return zstdEncoder().EncodeAll(data, make([]byte, 0, len(data)/2)), nil
}

// unpack reverses pack. It returns ErrCorruptMessage for content that is damaged or too large.
func unpack(data []byte, value any) error {
	raw, err := zstdDecoder().DecodeAll(data, nil)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "relay: decompress"), ErrCorruptMessage)
	}
	if err := cbor.Unmarshal(raw, value); err != nil {
		return errors.Mark(errors.Wrap(err, "relay: decode"), ErrCorruptMessage)
	}
	return nil
}
