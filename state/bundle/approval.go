package bundle

// Approval is an operator's signed decision to put a bundle into force under a version number.
type Approval struct {
	Version   uint64 `json:"version" cbor:"1,keyasint"`
	Digest    Digest `json:"digest" cbor:"2,keyasint"`
	Operator  string `json:"operator" cbor:"3,keyasint"`
	Signature []byte `json:"signature" cbor:"4,keyasint"`
	// Replaces is the version that must be the latest one when the approval is committed; 0 means any.
	Replaces uint64 `json:"replaces,omitempty" cbor:"5,keyasint,omitempty"`
	// First makes the approval fail if any version was approved before.
	First bool `json:"first,omitempty" cbor:"6,keyasint,omitempty"`
}
