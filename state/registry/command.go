// Package registry is the replicated state machine of staged bundles, approvals, stops and history. It is
// deterministic: the same commands in the same order give the same state on every member.
package registry

import (
	"crypto/ed25519"

	"sapphiregate.example/sapphiregate/state/bundle"
)

// Command is one entry of the replicated log. Exactly one of Stage, Approve and Stop is set.
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

// SignStop returns the stop with the operator's signature.
func SignStop(key ed25519.PrivateKey, s Stop) Stop { return s }

// EncodeUpdate returns the compressed canonical encoding of an update.
func EncodeUpdate(u bundle.Update) ([]byte, error) { return nil, nil }

// DecodeUpdate decodes the output of EncodeUpdate. The decompressed size is bounded.
func DecodeUpdate(data []byte) (bundle.Update, error) { return bundle.Update{}, nil }

// EncodeCommand returns the canonical encoding of a command for the replicated log.
func EncodeCommand(c Command) ([]byte, error) { return nil, nil }

// DecodeCommand decodes the output of EncodeCommand.
func DecodeCommand(data []byte) (Command, error) { return Command{}, nil }
