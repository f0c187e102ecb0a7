package protocol

import (
	"sapphiregate.example/sapphiregate/coordination/raft"
	"sapphiregate.example/sapphiregate/coordination/relay"
)

// FollowFrame is one message of a Follow stream, in either direction. The first frame of each side has Hello, the
// others have Message.
type FollowFrame struct {
	Hello   *relay.Hello   `cbor:"1,keyasint,omitempty"`
	Message *relay.Message `cbor:"2,keyasint,omitempty"`
}

// StepFrame carries messages of one raft group between its members.
type StepFrame struct {
	Group    uint32         `cbor:"1,keyasint,omitempty"`
	Messages []raft.Message `cbor:"2,keyasint"`
	// Address is the sender's mesh address, in the first frame of a stream. A member that does not have the membership
	// yet needs it to reply.
	Address string `cbor:"3,keyasint,omitempty"`
}

// StepAck is the reply at the end of a stream of StepFrames.
type StepAck struct{}

// PingRequest checks that a node responds.
type PingRequest struct{}

// PingReply tells the incarnation of the process that responds.
type PingReply struct {
	Incarnation uint64 `cbor:"1,keyasint"`
}
