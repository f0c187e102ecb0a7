// Package rpc carries messages between the processes of sapphiregate over gRPC, encoded as CBOR.
package rpc

import (
	"google.golang.org/grpc/mem"

	"sapphiregate.example/sapphiregate/protocol"
)

// codec encodes the Go structs of package protocol as CBOR, so that no generated code is needed.
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

// Unmarshal decodes a message. The decoder copies byte strings, so the message does not refer to the buffer, which
// grpc-go reuses.
func (codec) Unmarshal(data mem.BufferSlice, message any) error {
	return protocol.Unmarshal(data.Materialize(), message)
}
