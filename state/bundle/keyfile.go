package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"sapphiregate.example/sapphiregate/internal/strictjson"
)

// ErrKeyFile reports a key or keyring file that cannot be used.
var ErrKeyFile = errors.New("bundle: unusable key file")

// maxKeyFileBytes bounds key and keyring files.
const maxKeyFileBytes = 1 << 20

// privateFileMode is the most permissive accepted mode of private key files, because other users must not read them.
const privateFileMode os.FileMode = 0o600

// PrivateKey is an operator's private key, as its file contains it.
type PrivateKey struct {
	Operator string
	Key      ed25519.PrivateKey
}

type privateKeyFile struct {
	Operator string `json:"operator"`
	Seed     string `json:"seed"`
}

type keyringFile struct {
	Operators map[string][]string `json:"operators"`
}

// GenerateKey returns a new private key for an operator.
func GenerateKey(operator string, random io.Reader) (PrivateKey, error) {
	if !validName(operator) {
		return PrivateKey{}, errors.Wrapf(ErrKeyFile, "operator %q: allowed: 1 to %d of a-z, 0-9 and -, starting "+
			"with a letter", operator, MaxNameLength)
	}
	_, key, err := ed25519.GenerateKey(random)
	return PrivateKey{Operator: operator, Key: key}, errors.Wrap(err, "bundle: generate key")
}

// Save writes the private key file. It returns an error if the file exists.
func (p PrivateKey) Save(file string) error {
	content := privateKeyFile{Operator: p.Operator, Seed: base64.StdEncoding.EncodeToString(p.Key.Seed())}
	data, err := json.MarshalIndent(content, "", "  ")
	if err != nil {
		return errors.Wrap(err, "bundle: encode key")
	}
	return writeNew(file, append(data, '\n'), privateFileMode)
}

// SavePublic writes a keyring file that contains only the public key. It returns an error if the file exists.
func (p PrivateKey) SavePublic(file string) error {
	public, _ := p.Key.Public().(ed25519.PublicKey)
	content := keyringFile{Operators: map[string][]string{
		p.Operator: {base64.StdEncoding.EncodeToString(public)},
	}}
	data, err := json.MarshalIndent(content, "", "  ")
	if err != nil {
		return errors.Wrap(err, "bundle: encode keyring")
	}
	return writeNew(file, append(data, '\n'), 0o644)
}

func writeNew(file string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.Wrap(err, "bundle: create key file")
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	return errors.Wrap(errors.CombineErrors(err, f.Close()), "bundle: write key file")
}

// LoadKey reads a private key file. It returns ErrKeyFile if the content is invalid or if the file's permissions exceed
// 0600.
func LoadKey(file string) (PrivateKey, error) {
	info, err := os.Stat(file)
	if err != nil {
		return PrivateKey{}, errors.Wrap(err, "bundle: read key file")
	}
	if info.Mode().Perm()&^privateFileMode != 0 {
		return PrivateKey{}, errors.Wrapf(ErrKeyFile, "%s has mode %o: run chmod 600 %s", file, info.Mode().Perm(), file)
	}
	var content privateKeyFile
	if err := decodeKeyFile(file, &content); err != nil {
		return PrivateKey{}, err
	}
	seed, err := base64.StdEncoding.DecodeString(content.Seed)
	if err != nil || len(seed) != ed25519.SeedSize {
		return PrivateKey{}, errors.Wrapf(ErrKeyFile, "%s: seed: allowed: %d bytes in base64", file, ed25519.SeedSize)
	}
	if !validName(content.Operator) {
		return PrivateKey{}, errors.Wrapf(ErrKeyFile, "%s: operator %q is not a valid name", file, content.Operator)
	}
	return PrivateKey{Operator: content.Operator, Key: ed25519.NewKeyFromSeed(seed)}, nil
}

// LoadKeyring reads a keyring file, which has the form {"operators": {"name": ["public key in base64"]}}.
func LoadKeyring(file string) (*Keyring, error) {
	var content keyringFile
	if err := decodeKeyFile(file, &content); err != nil {
		return nil, err
	}
	keys := make(map[string][]ed25519.PublicKey)
	var faults []string
	for _, operator := range sortedKeys(content.Operators) {
		if !validName(operator) {
			faults = append(faults, fmt.Sprintf("operators: %q is not a valid name", operator))
		}
		for i, text := range content.Operators[operator] {
			key, err := base64.StdEncoding.DecodeString(text)
			if err != nil || len(key) != ed25519.PublicKeySize {
				faults = append(faults, fmt.Sprintf("operators.%s[%d]: allowed: %d bytes in base64", operator, i,
					ed25519.PublicKeySize))
				continue
			}
			keys[operator] = append(keys[operator], key)
		}
	}
	if len(content.Operators) == 0 {
		faults = append(faults, "operators: allowed: at least one operator")
	}
	if len(faults) > 0 {
		return nil, errors.Wrapf(ErrKeyFile, "%s: %v", file, faults)
	}
	return NewKeyring(keys), nil
}

func decodeKeyFile(file string, into any) error {
	f, err := os.Open(file)
	if err != nil {
		return errors.Wrap(err, "bundle: read key file")
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, maxKeyFileBytes))
	if err != nil {
		return errors.Wrap(err, "bundle: read key file")
	}
	for _, fault := range strictjson.Decode(data, into) {
		// The message omits the value, which may be the private key.
		err = errors.CombineErrors(err, errors.Wrapf(ErrKeyFile, "%s: %s: allowed: %s", file, fault.Path, fault.Allowed))
	}
	return err
}
