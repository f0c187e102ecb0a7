package bundle

import (
	"crypto/ed25519"

	"github.com/cockroachdb/errors"
)

// Errors of signature checks. Callers test for them with errors.Is.
var (
	// ErrUnknownOperator reports an operator without a key in the keyring.
	ErrUnknownOperator = errors.New("bundle: operator has no key in the keyring")
	// ErrBadSignature reports a signature that no key of the operator verifies.
	ErrBadSignature = errors.New("bundle: signature does not verify")
)

// Keyring maps operator names to the public keys whose signatures are accepted. It is immutable.
type Keyring struct {
	keys map[string][]ed25519.PublicKey
}

// NewKeyring returns a keyring with a copy of the given keys.
func NewKeyring(keys map[string][]ed25519.PublicKey) *Keyring { return &Keyring{keys: keys} }

// LoadKeyring reads a keyring file.
func LoadKeyring(file string) (*Keyring, error) { return nil, nil }

// Sign returns the approval with the signature of the key over version, digest, operator and Replaces.
func Sign(key ed25519.PrivateKey, a Approval) Approval { return a }

// Verify returns ErrUnknownOperator or ErrBadSignature unless a key of the approval's operator signed it.
func (k *Keyring) Verify(a Approval) error { return nil }

// SignMessage signs a message under a purpose, so that a signature for one purpose never verifies for another.
func SignMessage(key ed25519.PrivateKey, purpose string, message []byte) []byte { return nil }

// VerifyMessage checks a signature that SignMessage made with a key of the operator.
func (k *Keyring) VerifyMessage(operator, purpose string, message, signature []byte) error {
	return nil
}

// Digest identifies the content of the keyring. Members of one control group must have equal keyrings, because each
// member verifies signatures when it applies the log.
func (k *Keyring) Digest() Digest { return Digest{} }
