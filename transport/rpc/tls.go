package rpc

import (
	"cmp"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/credentials"
)

// ErrCredentials means that a certificate, key or authorities file cannot be read or used.
var ErrCredentials = errors.New("rpc: unusable TLS files")

// TLSFiles names the PEM files with the certificate of a process, its key, and the certificate authorities that it
// accepts.
type TLSFiles struct {
	Certificate string
	Key         string
	Authorities string
	// ReloadInterval is the least time between two checks for replaced files; 0 means 5 s.
	ReloadInterval time.Duration
}

// defaultReloadInterval is used if TLSFiles sets no interval.
const defaultReloadInterval = 5 * time.Second

// Identity holds the certificate of a process and the accepted authorities. It reads them again when their files
// change. It is safe for concurrent use.
type Identity struct {
	files TLSFiles

	mu             sync.Mutex
	checkedAt      time.Time
	loadedModTimes [3]time.Time
	config         *tls.Config
}

// LoadIdentity reads the files, so that a process with unusable files fails at its start. The error is ErrCredentials.
func LoadIdentity(files TLSFiles) (*Identity, error) {
	files.ReloadInterval = cmp.Or(files.ReloadInterval, defaultReloadInterval)
	identity := &Identity{files: files}
	if err := identity.load(); err != nil {
		return nil, err
	}
	return identity, nil
}

// load reads the files. After an error the previous configuration stays in use.
func (i *Identity) load() error {
	certificate, err := tls.LoadX509KeyPair(i.files.Certificate, i.files.Key)
	if err != nil {
		return errors.Wrapf(ErrCredentials, "%s, %s: %v", i.files.Certificate, i.files.Key, err)
	}
	pem, err := os.ReadFile(i.files.Authorities)
	if err != nil {
		return errors.Wrapf(ErrCredentials, "%v", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return errors.Wrapf(ErrCredentials, "%s holds no certificate", i.files.Authorities)
	}
	i.config = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      authorities,
		ClientCAs:    authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}
	i.loadedModTimes = i.modTimes()
	i.checkedAt = time.Now()
	return nil
}

// modTimes returns the modification times of the files; the time of a file that cannot be examined is zero.
func (i *Identity) modTimes() [3]time.Time {
	var times [3]time.Time
	for index, name := range []string{i.files.Certificate, i.files.Key, i.files.Authorities} {
		if info, err := os.Stat(name); err == nil {
			times[index] = info.ModTime()
		}
	}
	return times
}

// Config returns the TLS configuration from the current files. While they cannot be used, for example because they are
// half-written, it returns the previous configuration.
func (i *Identity) Config() *tls.Config {
	i.mu.Lock()
	defer i.mu.Unlock()
	if time.Since(i.checkedAt) >= i.files.ReloadInterval {
		i.checkedAt = time.Now()
		if i.modTimes() != i.loadedModTimes {
			_ = i.load()
		}
	}
	return i.config
}

// ServerConfig returns a configuration for servers that uses the current files at each handshake. The protocols are
// those that ALPN offers.
func (i *Identity) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			config := i.Config().Clone()
			config.NextProtos = protocols
			return config, nil
		},
	}
}

// Credentials returns gRPC credentials for clients and servers that authenticate each other with TLS.
func (i *Identity) Credentials() credentials.TransportCredentials {
	return &reloadingCredentials{identity: i}
}

// reloadingCredentials uses the current files at each handshake.
type reloadingCredentials struct {
	identity *Identity
}

// ClientHandshake implements credentials.TransportCredentials.
func (c *reloadingCredentials) ClientHandshake(
	ctx context.Context, authority string, conn net.Conn,
) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.identity.Config().Clone()).ClientHandshake(ctx, authority, conn)
}

// ServerHandshake implements credentials.TransportCredentials.
func (c *reloadingCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.identity.Config().Clone()).ServerHandshake(conn)
}

// Info implements credentials.TransportCredentials.
func (c *reloadingCredentials) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

// Clone implements credentials.TransportCredentials.
func (c *reloadingCredentials) Clone() credentials.TransportCredentials {
	return &reloadingCredentials{identity: c.identity}
}

// OverrideServerName implements credentials.TransportCredentials. It has no effect.
func (c *reloadingCredentials) OverrideServerName(string) error { return nil }
