// Package registry implements the replicated state machine that holds the staged and approved bundles, the approvals,
// the stops and the history. It is deterministic: the same commands in the same order give the same state on every
// member.
package registry

import (
	"crypto/ed25519"
	"crypto/sha256"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// Command is one entry of the replicated log. Either exactly one of Stage, Approve, Stop and Rollout is set, or Stage
// and Approve together. The two together take effect in one step or not at all.
type Command struct {
	Stage   *Stage           `cbor:"1,keyasint,omitempty"`
	Approve *bundle.Approval `cbor:"2,keyasint,omitempty"`
	Stop    *Stop            `cbor:"3,keyasint,omitempty"`
	// RequestID identifies the command when it is sent again. A command that equals an earlier one, including this
	// identifier, gets the earlier result. If it is empty, the result is not kept, and a command that is sent again is
	// recognized only by its version and digest.
	RequestID string         `cbor:"4,keyasint,omitempty"`
	Rollout   *RolloutChange `cbor:"5,keyasint,omitempty"`
}

// Stage adds a bundle to the registry under a version that is not approved yet.
type Stage struct {
	Version  uint64        `cbor:"1,keyasint"`
	Digest   bundle.Digest `cbor:"2,keyasint"`
	Operator string        `cbor:"3,keyasint"`
	// Update is a bundle.Update encoded by EncodeUpdate, either complete or relative to a bundle in the registry.
	Update []byte `cbor:"4,keyasint"`
}

// Stop withdraws a staged version or stops the rollout of the latest approved one.
type Stop struct {
	Version   uint64 `json:"version" cbor:"1,keyasint"`
	Operator  string `json:"operator" cbor:"2,keyasint"`
	Signature []byte `json:"signature" cbor:"3,keyasint"`
}

// purposeStop is part of the signed data, so that the signature of another kind of message is not valid for a stop.
const purposeStop = "sapphiregate stop 1"

// SignStop returns the stop with the operator's signature. Stops are signed because they affect every node.
func SignStop(key ed25519.PrivateKey, s Stop) Stop {
	s.Signature = bundle.SignMessage(key, purposeStop, s.signedBytes())
	return s
}

// signedBytes returns the encoding of the stop without its signature, which is what the signature covers.
func (s Stop) signedBytes() []byte {
	s.Signature = nil
	data, err := encoding.Marshal(s)
	if err != nil {
		// The type holds only strings, integers and byte slices, which always encode.
		panic(err)
	}
	return data
}

// EncodeCommand returns the canonical encoding of a command for the replicated log.
func EncodeCommand(c Command) ([]byte, error) {
	data, err := encoding.Marshal(c)
	return data, errors.Wrap(err, "registry: encode command")
}

// DecodeCommand decodes the output of EncodeCommand.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if err := decoding.Unmarshal(data, &c); err != nil {
		return Command{}, errors.Wrapf(ErrMalformed, "%v", err)
	}
	return c, nil
}

// key returns the key under which the result of the command is kept. The key does not cover the update of a stage: the
// digest identifies its content, and the leader may encode the update of a copy differently. Nor does it cover what the
// leader sets.
func (c Command) key() (bundle.Digest, error) {
	if c.Stage != nil {
		stage := *c.Stage
		stage.Update = nil
		c.Stage = &stage
	}
	if c.Rollout != nil && c.Rollout.Start != nil {
		start := *c.Rollout.Start
		start.UnixMs, start.Latest = 0, nil
		c.Rollout = &RolloutChange{Start: &start}
	}
	data, err := EncodeCommand(c)
	return sha256.Sum256(data), err
}
