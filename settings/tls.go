package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// ErrTLS means that a TLS file cannot be read or used.
var ErrTLS = errors.New("settings: unusable TLS files")

// TLS names the files that secure connections between processes and with operators.
type TLS struct {
	// Certificate and Key are in PEM form.
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	// CA holds the certificates that sign the certificates of the other side, in PEM form.
	CA string `json:"ca,omitempty"`
	// Insecure switches TLS off. The file names must then be empty.
	Insecure bool `json:"insecure,omitempty"`
}

// ServerConfig returns the configuration of a server that requires client certificates, or nil if TLS is off. The
// certificate is read again for each connection, so that a renewed file needs no restart.
func (t TLS) ServerConfig() (*tls.Config, error) {
	pool, err := t.load()
	if pool == nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  pool,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return t.certificate()
		},
	}, nil
}

// ClientConfig returns the configuration of a client, or nil if TLS is off.
func (t TLS) ClientConfig() (*tls.Config, error) {
	pool, err := t.load()
	if pool == nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return t.certificate()
		},
	}, nil
}

// load reads all files, so that an unusable one is found at the start, and returns the pool of CA certificates. It
// returns nil if TLS is off.
func (t TLS) load() (*x509.CertPool, error) {
	if t.Insecure {
		return nil, nil
	}
	if _, err := t.certificate(); err != nil {
		return nil, err
	}
	data, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, errors.Wrapf(ErrTLS, "%v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Wrapf(ErrTLS, "%s holds no certificate in PEM form", t.CA)
	}
	return pool, nil
}

func (t TLS) certificate() (*tls.Certificate, error) {
	certificate, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, errors.Wrapf(ErrTLS, "%v", err)
	}
	return &certificate, nil
}
