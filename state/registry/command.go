// Package registry is the replicated state machine of staged bundles, approvals, stops and history. It is
// deterministic: the same commands in the same order give the same state on every member.
package registry

import (
	"crypto/ed25519"
	"crypto/sha256"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// Command is one entry of the replicated log. Exactly one of Stage, Approve and Stop is set, or Stage and Approve
// together, which stage and approve a bundle in one step or leave everything as it is.
type Command struct {
	Stage   *Stage           `cbor:"1,keyasint,omitempty"`
	Approve *bundle.Approval `cbor:"2,keyasint,omitempty"`
	Stop    *Stop            `cbor:"3,keyasint,omitempty"`
	// RequestID identifies the command across resends. A command that is equal to an earlier one, including its
	// identifier, gets the earlier result. Commands with an empty identifier are only compared by content.
	RequestID string `cbor:"4,keyasint,omitempty"`
}

// Stage brings a bundle's parts into the registry under a version that is not yet approved.
type Stage struct {
	Version  uint64        `cbor:"1,keyasint"`
	Digest   bundle.Digest `cbor:"2,keyasint"`
	Operator string        `cbor:"3,keyasint"`
	// Update is a bundle.Update encoded by EncodeUpdate, either complete or relative to a bundle that is held.
	Update []byte `cbor:"4,keyasint"`
}

// Stop withdraws a staged version or halts the rollout of the latest approved one.
type Stop struct {
	Version   uint64 `json:"version" cbor:"1,keyasint"`
	Operator  string `json:"operator" cbor:"2,keyasint"`
	Signature []byte `json:"signature" cbor:"3,keyasint"`
}

// purposeStop separates signatures of stops from signatures of other messages.
const purposeStop = "sapphiregate stop 1"

// SignStop returns the stop with the operator's signature. A stop is signed because it changes what every node holds.
func SignStop(key ed25519.PrivateKey, s Stop) Stop {
	s.Signature = bundle.SignMessage(key, purposeStop, s.signedBytes())
	return s
}

// signedBytes returns the encoding that the signature covers.
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

// key identifies the command across resends. The update of a stage is left out: the digest names its content, and the
// leader can shrink a resent update differently.
func (c Command) key() (bundle.Digest, error) {
	if c.Stage != nil {
		stage := *c.Stage
		stage.Update = nil
		c.Stage = &stage
	}
	data, err := EncodeCommand(c)
	return sha256.Sum256(data), err
}
