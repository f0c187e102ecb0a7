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

// ErrCredentials reports key or certificate files that cannot be used.
var ErrCredentials = errors.New("rpc: unusable TLS files")

// TLSFiles names the files of a process's certificate, its key, and the authorities that it accepts.
type TLSFiles struct {
	Certificate string
	Key         string
	Authorities string
	// ReloadInterval bounds how long a replaced file stays unnoticed; 0 takes 5 s.
	ReloadInterval time.Duration
}

// defaultReloadInterval is used if TLSFiles sets no interval.
const defaultReloadInterval = 5 * time.Second

// Identity is a certificate with its authorities that is read again when its files change. Safe for concurrent use.
type Identity struct {
	files TLSFiles

	mu             sync.Mutex
	checkedAt      time.Time
	loadedModTimes [3]time.Time
	config         *tls.Config
}

// LoadIdentity reads the files once, so that unusable files are found at start.
func LoadIdentity(files TLSFiles) (*Identity, error) {
	files.ReloadInterval = cmp.Or(files.ReloadInterval, defaultReloadInterval)
	identity := &Identity{files: files}
	if err := identity.load(); err != nil {
		return nil, err
	}
	return identity, nil
}

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

func (i *Identity) modTimes() [3]time.Time {
	var times [3]time.Time
	for index, name := range []string{i.files.Certificate, i.files.Key, i.files.Authorities} {
		if info, err := os.Stat(name); err == nil {
			times[index] = info.ModTime()
		}
	}
	return times
}

// Config returns the TLS settings of the newest readable files. Half-written files leave the old ones in use.
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

// ServerConfig returns settings for servers, which look up the newest files at each handshake.
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

// Credentials returns gRPC credentials for both sides of mutual TLS.
func (i *Identity) Credentials() credentials.TransportCredentials {
	return &reloadingCredentials{identity: i}
}

// reloadingCredentials builds the handshake from the newest files each time.
type reloadingCredentials struct {
	identity *Identity
}

func (c *reloadingCredentials) ClientHandshake(
	ctx context.Context, authority string, conn net.Conn,
) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.identity.Config().Clone()).ClientHandshake(ctx, authority, conn)
}

func (c *reloadingCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.identity.Config().Clone()).ServerHandshake(conn)
}

func (c *reloadingCredentials) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

func (c *reloadingCredentials) Clone() credentials.TransportCredentials {
	return &reloadingCredentials{identity: c.identity}
}

func (c *reloadingCredentials) OverrideServerName(string) error { return nil }
