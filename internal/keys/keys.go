// Package keys provides the TLS configuration for mutual authentication between
// nodes. Changed certificate and key files are reloaded without a restart.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// ServerName is the DNS name in the certificates of all nodes.
const ServerName = "tackbeam-node"

// Protocol is the application protocol (ALPN) of connections between nodes.
const Protocol = "tackbeam/1"

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = 10 * time.Second

// Keyring holds the current certificate and key of this node, and the CAs that it
// trusts for other nodes.
type Keyring struct {
	cert, key, ca string
	clock         clockwork.Clock
	log           logr.Logger

	mu      sync.Mutex
	pair    *tls.Certificate
	pool    *x509.CertPool
	checked time.Time
	loaded  [3]fileState
}

// fileState identifies a version of a file.
type fileState struct {
	changed time.Time
	size    int64
}

// New loads the certificate, key and CA files.
func New(clock clockwork.Clock, log logr.Logger, cert, key, ca string) (*Keyring, error) {
	kr := &Keyring{cert: cert, key: key, ca: ca, clock: clock, log: log.WithName("keys")}
	if err := kr.load(); err != nil {
		return nil, err
	}
	return kr, nil
}

func (kr *Keyring) load() error {
	seen := kr.statFiles() // before the files are read, so that a concurrent change is detected by the next check
	pair, err := tls.LoadX509KeyPair(kr.cert, kr.key)
	if err != nil {
		return errors.Wrap(err, "load certificate")
	}
	raw, err := os.ReadFile(kr.ca)
	if err != nil {
		return errors.Wrap(err, "read CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return errors.Errorf("file %s contains no certificate", kr.ca)
	}
	kr.pair, kr.pool = &pair, pool
	kr.checked = kr.clock.Now()
	kr.loaded = seen
	return nil
}

// statFiles returns the states of the files. States are compared for equality, because
// a file may be replaced by an older one, as when previous keys are restored.
func (kr *Keyring) statFiles() [3]fileState {
	var stamps [3]fileState
	for i, path := range []string{kr.cert, kr.key, kr.ca} {
		if info, err := os.Stat(path); err == nil {
			stamps[i] = fileState{info.ModTime(), info.Size()}
		}
	}
	return stamps
}

// current returns the certificate and the CAs, reloading them if the files have
// changed. If the reload fails, the previous ones stay in use.
func (kr *Keyring) current() (*tls.Certificate, *x509.CertPool) {
	kr.mu.Lock()
	defer kr.mu.Unlock()
	if kr.clock.Since(kr.checked) < checkInterval {
		return kr.pair, kr.pool
	}
	kr.checked = kr.clock.Now()
	if kr.statFiles() != kr.loaded {
		if err := kr.load(); err != nil {
			kr.log.Error(err, "Reloading the keys failed; the previous keys stay in use.")
		} else {
			kr.log.Info("Keys were reloaded.")
		}
	}
	return kr.pair, kr.pool
}

// ServerConfig returns the TLS configuration for accepting connections. It requires
// a client certificate signed by a trusted CA.
func (kr *Keyring) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := kr.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{Protocol},
				Certificates: []tls.Certificate{*pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// ClientConfig returns the TLS configuration for connecting to another node.
func (kr *Keyring) ClientConfig() *tls.Config {
	pair, pool := kr.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{Protocol},
		ServerName:   ServerName,
		Certificates: []tls.Certificate{*pair},
		RootCAs:      pool,
	}
}
