// Package rpc carries messages between sapphiregate's processes with grpc-go and a CBOR codec.
package rpc

import (
	"google.golang.org/grpc/mem"

	"sapphiregate.example/sapphiregate/protocol"
)

// codec encodes the plain Go structs of package protocol, so that no generated code is needed.
type codec struct{}

// Name is the content subtype of the wire format.
func (codec) Name() string { return "cbor" }

// Marshal encodes a message into one buffer.
func (codec) Marshal(message any) (mem.BufferSlice, error) {
	data, err := protocol.Marshal(message)
	if err != nil {
		return nil, err
	}
	return mem.BufferSlice{mem.SliceBuffer(data)}, nil
}

// Unmarshal decodes a message. The decoder copies byte strings, so that nothing refers to the freed buffer.
func (codec) Unmarshal(data mem.BufferSlice, message any) error {
	return protocol.Unmarshal(data.Materialize(), message)
}
