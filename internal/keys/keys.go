// Package keys holds a node's certificate and makes the TLS settings for mutual
// authentication between nodes. Files that change are read again without a
// restart.
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

// ServerName is the name that every node's certificate is for.
const ServerName = "tackbeam-node"

// Protocol is the application protocol that nodes agree on.
const Protocol = "tackbeam/1"

// checkEvery is the time between two looks at the files.
const checkEvery = 10 * time.Second

// Keyring is the present certificate and the signers of the other nodes.
type Keyring struct {
	cert, key, ca string
	clock         clockwork.Clock
	log           logr.Logger

	mu      sync.Mutex
	pair    *tls.Certificate
	pool    *x509.CertPool
	checked time.Time
	seen    [3]stamp
}

// stamp tells one state of a file from another.
type stamp struct {
	changed time.Time
	size    int64
}

// New reads the three files.
func New(clock clockwork.Clock, log logr.Logger, cert, key, ca string) (*Keyring, error) {
	rg := &Keyring{cert: cert, key: key, ca: ca, clock: clock, log: log.WithName("keys")}
	if err := rg.load(); err != nil {
		return nil, err
	}
	return rg, nil
}

func (rg *Keyring) load() error {
	seen := rg.look() // before reading, so that a change meanwhile is read next time
	pair, err := tls.LoadX509KeyPair(rg.cert, rg.key)
	if err != nil {
		return errors.Wrap(err, "load certificate")
	}
	raw, err := os.ReadFile(rg.ca)
	if err != nil {
		return errors.Wrap(err, "read signers")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return errors.Errorf("file %s holds no certificate", rg.ca)
	}
	rg.pair, rg.pool = &pair, pool
	rg.checked = rg.clock.Now()
	rg.seen = seen
	return nil
}

// look returns what the files look like: an older file is a change as well, as
// when former keys are put back.
func (rg *Keyring) look() [3]stamp {
	var stamps [3]stamp
	for i, path := range []string{rg.cert, rg.key, rg.ca} {
		if info, err := os.Stat(path); err == nil {
			stamps[i] = stamp{info.ModTime(), info.Size()}
		}
	}
	return stamps
}

// current returns the certificate and signers, read again where the files have
// changed. Files that cannot be read leave the former ones in force.
func (rg *Keyring) current() (*tls.Certificate, *x509.CertPool) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if rg.clock.Since(rg.checked) < checkEvery {
		return rg.pair, rg.pool
	}
	rg.checked = rg.clock.Now()
	if rg.look() != rg.seen {
		if err := rg.load(); err != nil {
			rg.log.Error(err, "New keys cannot be read, the old ones stay.")
		} else {
			rg.log.Info("Keys were read again.")
		}
	}
	return rg.pair, rg.pool
}

// ServerConfig returns settings that demand a certificate signed by a known signer.
func (rg *Keyring) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{Protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := rg.current()
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

// ClientConfig returns settings for a call to another node.
func (rg *Keyring) ClientConfig() *tls.Config {
	pair, pool := rg.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{Protocol},
		ServerName:   ServerName,
		Certificates: []tls.Certificate{*pair},
		RootCAs:      pool,
	}
}
