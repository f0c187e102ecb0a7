// Package protocol defines the messages that the processes of sapphiregate exchange, the HTTP header fields of callers
// and upstreams, and the CBOR codec for messages and for entries of the replicated logs.
package protocol

import (
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// Errors of this layer.
var (
	// ErrMalformed reports a message that cannot be encoded or decoded.
	ErrMalformed = errors.New("protocol: malformed message")
	// ErrTooLarge reports a message or body that exceeds its size limit.
	ErrTooLarge = errors.New("protocol: message exceeds its size limit")
)

// Limits of decoded messages, so that a corrupt length cannot make a process allocate without limit.
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

// decoder ignores unknown fields, so that processes of adjacent releases understand each other.
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

// Marshal encodes a message. The encoding is deterministic. The error is ErrMalformed.
func Marshal(message any) ([]byte, error) {
	data, err := encoder.Marshal(message)
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "encode %T: %v", message, err)
	}
	return data, nil
}

// Unmarshal decodes a message. The error is ErrMalformed.
func Unmarshal(data []byte, message any) error {
	if err := decoder.Unmarshal(data, message); err != nil {
		return errors.Wrapf(ErrMalformed, "decode %T: %v", message, err)
	}
	return nil
}
