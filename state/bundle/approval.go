package bundle

// Approval is an operator's signed decision that a bundle comes into force under a version.
type Approval struct {
	Version   uint64 `json:"version" cbor:"1,keyasint"`
	Digest    Digest `json:"digest" cbor:"2,keyasint"`
	Operator  string `json:"operator" cbor:"3,keyasint"`
	Signature []byte `json:"signature" cbor:"4,keyasint"`
	// Replaces is the version that must be the latest when the approval commits; 0 sets no condition.
	Replaces uint64 `json:"replaces,omitempty" cbor:"5,keyasint,omitempty"`
	// First requires that no version is approved yet.
	First bool `json:"first,omitempty" cbor:"6,keyasint,omitempty"`
}
