// Package protocol holds the messages that sapphiregate's processes exchange, the headers that callers see,
// and the codec for both the wire and the log.
package protocol

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Errors of this layer.
var (
	// ErrMalformed reports a message that does not decode.
	ErrMalformed = errors.New("protocol: malformed message")
	// ErrTooLarge reports a message or body beyond its bound.
	ErrTooLarge = errors.New("protocol: message exceeds its bound")
)

// Bounds on decoded messages, so that a corrupt length cannot make a process allocate without limit.
const (
	maxArrayElements = 1 << 20
	maxMapPairs      = 1 << 17
	maxNestedLevels  = 16
)

var encoder = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decoder accepts unknown fields, so that processes of neighbouring releases understand each other.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNestedLevels,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Marshal encodes a message. The same value always gives the same bytes.
func Marshal(message any) ([]byte, error) {
	data, err := encoder.Marshal(message)
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "encode %T: %v", message, err)
	}
	return data, nil
}

// Unmarshal decodes a message.
func Unmarshal(data []byte, message any) error {
	if err := decoder.Unmarshal(data, message); err != nil {
		return errors.Wrapf(ErrMalformed, "decode %T: %v", message, err)
	}
	return nil
}
