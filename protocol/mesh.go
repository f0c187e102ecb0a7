package protocol

import (
	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/coordination/relay"
)

// FollowFrame is one message of a Follow stream, in either direction. The first frame of each side has a Hello.
type FollowFrame struct {
	Hello   *relay.Hello   `cbor:"1,keyasint,omitempty"`
	Message *relay.Message `cbor:"2,keyasint,omitempty"`
}

// StepFrame carries messages of one replicated log between members.
type StepFrame struct {
	Group    uint32         `cbor:"1,keyasint,omitempty"`
	Messages []raft.Message `cbor:"2,keyasint"`
	// Address is the sender's mesh address, in the first frame of a stream. A member that has no membership yet needs it
	// to answer.
	Address string `cbor:"3,keyasint,omitempty"`
}

// StepAck ends a stream of StepFrame.
type StepAck struct{}

// PingRequest probes a node.
type PingRequest struct{}

// PingReply tells which process responds.
type PingReply struct {
	Incarnation uint64 `cbor:"1,keyasint"`
}
