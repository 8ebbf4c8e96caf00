package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// Names of the files that Issue writes. The files of a node are its name with a suffix.
const (
	CAFile     = "ca.pem"
	CertSuffix = ".pem"
	KeySuffix  = ".key"
)

// Validity of the test certificates, and modes of their files.
const (
	validBefore = time.Hour
	validFor    = 365 * 24 * time.Hour
	fileMode    = 0o600
	dirMode     = 0o700
)

// Issue writes test certificates to a directory: one CA, and a certificate and key
// for each node. The CA's key is not stored, so no certificates can be added later.
func Issue(dir string, nodes []string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return errors.Wrap(err, "create key directory")
	}
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate CA key")
	}
	ca := template("tackbeam test signer")
	ca.IsCA = true
	ca.BasicConstraintsValid = true
	ca.KeyUsage = x509.KeyUsageCertSign
	raw, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		return errors.Wrap(err, "sign CA certificate")
	}
	if err := writePEM(filepath.Join(dir, CAFile), "CERTIFICATE", raw); err != nil {
		return err
	}
	for _, node := range nodes {
		if err := issueNode(dir, node, ca, caKey); err != nil {
			return err
		}
	}
	return nil
}

func template(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-validBefore),
		NotAfter:     now.Add(validFor),
	}
}

func issueNode(dir, node string, ca *x509.Certificate, caKey *ecdsa.PrivateKey) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrapf(err, "generate key of node %s", node)
	}
	cert := template(node)
	cert.DNSNames = []string{ServerName}
	cert.KeyUsage = x509.KeyUsageDigitalSignature
	cert.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	raw, err := x509.CreateCertificate(rand.Reader, cert, ca, &key.PublicKey, caKey)
	if err != nil {
		return errors.Wrapf(err, "sign certificate of node %s", node)
	}
	if err := writePEM(filepath.Join(dir, node+CertSuffix), "CERTIFICATE", raw); err != nil {
		return err
	}
	rawKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrapf(err, "encode key of node %s", node)
	}
	return writePEM(filepath.Join(dir, node+KeySuffix), "PRIVATE KEY", rawKey)
}

func writePEM(path, kind string, raw []byte) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw})
	return errors.Wrap(os.WriteFile(path, text, fileMode), "write key file")
}
