// Package identity provides the credentials for mutual TLS between cicadareel
// processes. It reloads the certificate files when they change.
package identity

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// serverName is the DNS name in every process certificate.
const serverName = "cicadareel"

// reloadInterval is the shortest time between two checks for changed files.
const reloadInterval = 5 * time.Second

// NoCertificateError reports a CA file without a usable certificate.
type NoCertificateError struct{ Path string }

func (e *NoCertificateError) Error() string { return "no CA certificate in " + e.Path }

// Files holds the paths of the files for mutual TLS between processes.
type Files struct {
	// Insecure turns TLS off; the settings must set it explicitly.
	Insecure bool   `toml:"insecure"`
	CAFile   string `toml:"caFile"`
	CertFile string `toml:"certFile"`
	KeyFile  string `toml:"keyFile"`
}

// Identity holds the credentials of this process.
type Identity struct {
	files Files

	mu sync.Mutex
	// lastCheck is the time of the last check for changed files.
	lastCheck time.Time
	// certModTime is the modification time of the loaded certificate file.
	certModTime time.Time
	cert        *tls.Certificate
	pool        *x509.CertPool
}

// NewIdentity loads the credentials from the files.
func NewIdentity(files Files) (*Identity, error) {
	i := &Identity{files: files}
	if files.Insecure {
		return i, nil
	}
	if err := i.load(); err != nil {
		return nil, err
	}
	return i, nil
}

// ServerCredentials returns the credentials for accepting connections. They
// require a client certificate of the same authority.
func (i *Identity) ServerCredentials() credentials.TransportCredentials {
	if i.files.Insecure {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := i.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*cert},
				ClientCAs:    pool,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				NextProtos:   []string{"h2"},
			}, nil
		},
	})
}

// ClientCredentials returns the credentials for connecting to other processes.
func (i *Identity) ClientCredentials() credentials.TransportCredentials {
	if i.files.Insecure {
		return insecure.NewCredentials()
	}
	cert, pool := i.current()
	return credentials.NewTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*cert},
		RootCAs:      pool,
		ServerName:   serverName,
	})
}

// current returns the newest credentials that could be loaded. If loading fails,
// for example while the files are being replaced, it returns the previous ones.
func (i *Identity) current() (*tls.Certificate, *x509.CertPool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if time.Since(i.lastCheck) >= reloadInterval {
		_ = i.loadLocked()
	}
	return i.cert, i.pool
}

func (i *Identity) load() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.loadLocked()
}

// loadLocked loads the files if the certificate file has changed. The caller
// holds mu.
func (i *Identity) loadLocked() error {
	i.lastCheck = time.Now()
	info, err := os.Stat(i.files.CertFile)
	if err != nil {
		return oops.In("identity").Wrap(err)
	}
	if i.cert != nil && info.ModTime().Equal(i.certModTime) {
		return nil
	}
	cert, err := tls.LoadX509KeyPair(i.files.CertFile, i.files.KeyFile)
	if err != nil {
		return oops.In("identity").Wrap(err)
	}
	pem, err := os.ReadFile(i.files.CAFile)
	if err != nil {
		return oops.In("identity").Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return &NoCertificateError{Path: i.files.CAFile}
	}
	i.cert, i.pool, i.certModTime = &cert, pool, info.ModTime()
	return nil
}
