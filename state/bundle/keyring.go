package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"slices"

	"github.com/cockroachdb/errors"
)

// Errors of signature checks. Callers test for them with errors.Is.
var (
	// ErrUnknownOperator reports an operator without a key in the keyring.
	ErrUnknownOperator = errors.New("bundle: operator has no key in the keyring")
	// ErrBadSignature reports a signature that no key of the operator verifies.
	ErrBadSignature = errors.New("bundle: signature does not verify")
)

// purposeApproval is signed together with an approval, so that a signature of another kind of message is not accepted.
const purposeApproval = "sapphiregate approval 1"

// Keyring maps operator names to the public keys whose signatures are accepted. It is immutable.
type Keyring struct {
	keys map[string][]ed25519.PublicKey
	// trusted holds the operators whose messages are accepted without a signature.
	trusted map[string]bool
}

// WithTrustedOperators returns a copy of the keyring that also accepts unsigned messages of the named operators. It is
// for deployments in which the operator API is reachable only for callers that another system has authorized.
func (k *Keyring) WithTrustedOperators(operators ...string) *Keyring {
	next := NewKeyring(k.keys)
	next.trusted = make(map[string]bool, len(k.trusted)+len(operators))
	for operator := range k.trusted {
		next.trusted[operator] = true
	}
	for _, operator := range operators {
		next.trusted[operator] = true
	}
	return next
}

// NewKeyring returns a keyring with a copy of the given keys.
func NewKeyring(keys map[string][]ed25519.PublicKey) *Keyring {
	k := &Keyring{keys: make(map[string][]ed25519.PublicKey, len(keys))}
	for operator, list := range keys {
		for _, key := range list {
			k.keys[operator] = append(k.keys[operator], slices.Clone(key))
		}
	}
	return k
}

// Operators lists the operators that have a key, sorted by name.
func (k *Keyring) Operators() []string { return sortedKeys(k.keys) }

// Has reports whether the operator has a key or is trusted.
func (k *Keyring) Has(operator string) bool {
	_, ok := k.keys[operator]
	return ok || k.trusted[operator]
}

// Sign returns the approval with a signature over all its other fields. The conditions Replaces and First are signed so
// that nobody can remove them from an approval.
func Sign(key ed25519.PrivateKey, a Approval) Approval {
	a.Signature = SignMessage(key, purposeApproval, a.signedBytes())
	return a
}

// signedBytes returns the encoding of the approval without its signature, which is what is signed.
func (a Approval) signedBytes() []byte {
	a.Signature = nil
	data, err := canonicalMode.Marshal(a)
	if err != nil {
		// The type holds only strings, integers and byte arrays, which always encode.
		panic(err)
	}
	return data
}

// Verify returns ErrUnknownOperator if the approval's operator has no key, and ErrBadSignature if none of the
// operator's keys made the signature. An unsigned approval of a trusted operator is valid.
func (k *Keyring) Verify(a Approval) error {
	return k.VerifyMessage(a.Operator, purposeApproval, a.signedBytes(), a.Signature)
}

// SignMessage signs a message together with a purpose, so that a signature for one purpose is invalid for another.
func SignMessage(key ed25519.PrivateKey, purpose string, message []byte) []byte {
	return ed25519.Sign(key, withPurpose(purpose, message))
}

// VerifyMessage checks a signature that SignMessage made with a key of the operator. Its errors are those of Verify.
func (k *Keyring) VerifyMessage(operator, purpose string, message, signature []byte) error {
	if k.trusted[operator] && len(signature) == 0 {
		return nil
	}
	keys, ok := k.keys[operator]
	if !ok {
		return errors.Wrapf(ErrUnknownOperator, "%q", operator)
	}
	full := withPurpose(purpose, message)
	for _, key := range keys {
		if len(key) == ed25519.PublicKeySize && ed25519.Verify(key, full, signature) {
			return nil
		}
	}
	return errors.Wrapf(ErrBadSignature, "operator %q", operator)
}

// withPurpose joins purpose and message with a zero byte. The result is unambiguous because purposes contain none.
func withPurpose(purpose string, message []byte) []byte {
	return slices.Concat([]byte(purpose), []byte{0}, message)
}

// Digest returns the digest of the operators and their keys. It lets the members of a control group compare their
// keyrings, which must be equal because each member verifies signatures when it applies the log.
func (k *Keyring) Digest() Digest {
	type operatorKeys struct {
		Operator string   `cbor:"1,keyasint"`
		Keys     [][]byte `cbor:"2,keyasint"`
	}
	var list []operatorKeys
	for _, operator := range k.Operators() {
		entry := operatorKeys{Operator: operator}
		for _, key := range k.keys[operator] {
			entry.Keys = append(entry.Keys, key)
		}
		slices.SortFunc(entry.Keys, slices.Compare[[]byte])
		list = append(list, entry)
	}
	for _, operator := range sortedKeys(k.trusted) {
		list = append(list, operatorKeys{Operator: operator})
	}
	data, err := canonicalMode.Marshal(list)
	if err != nil {
		// The type holds only strings and byte slices, which always encode.
		panic(err)
	}
	return sha256.Sum256(data)
}
