package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
)

// The names of the files that Make writes, and the types of their PEM blocks.
const (
	FileCA             = "ca.pem"
	FileCAKey          = "ca.key"
	FileCaller         = "caller.pem"
	FileCallerKey      = "caller.key"
	FilePeer           = "peer.pem"
	FilePeerKey        = "peer.key"
	certificatePEMType = "CERTIFICATE"
	keyPEMType         = "PRIVATE KEY"
)

// Make writes certificates for tests and trials to the directory: an authority, unless one
// exists already, and new certificates for the server for callers and for dispatchers. The
// addresses are those at which callers reach the server.
func Make(dir string, now time.Time, validity time.Duration, addresses []netip.Addr) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "certificate")
	}
	ca, err := loadOrMakeAuthority(dir, now, validity)
	if err != nil {
		return err
	}
	server := template("snipehub", now, validity)
	server.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	for _, a := range addresses {
		server.IPAddresses = append(server.IPAddresses, net.IP(a.AsSlice()))
	}
	if err := issue(dir, FileCaller, FileCallerKey, server, ca); err != nil {
		return err
	}
	peer := template(PeerName, now, validity)
	peer.DNSNames = []string{PeerName}
	peer.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return issue(dir, FilePeer, FilePeerKey, peer, ca)
}

func loadOrMakeAuthority(dir string, now time.Time, validity time.Duration) (*tls.Certificate, error) {
	certFile, keyFile := filepath.Join(dir, FileCA), filepath.Join(dir, FileCAKey)
	if _, err := os.Stat(certFile); errors.Is(err, os.ErrNotExist) {
		t := template("snipehub trial authority", now, validity)
		t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
		if err := issue(dir, FileCA, FileCAKey, t, nil); err != nil {
			return nil, err
		}
	}
	ca, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "certificate")
	}
	return &ca, nil
}

func template(name string, now time.Time, validity time.Duration) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Minute),
		NotAfter:     now.Add(validity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
}

// issue generates a key, and writes it and its certificate to files in dir. The certificate
// is signed by ca, or self-signed if ca is nil.
func issue(dir, certFile, keyFile string, t *x509.Certificate, ca *tls.Certificate) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	parent, signer := t, any(key)
	if ca != nil {
		parent, signer = ca.Leaf, ca.PrivateKey
	}
	certDER, err := x509.CreateCertificate(rand.Reader, t, parent, key.Public(), signer)
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	if err := writePEM(filepath.Join(dir, keyFile), keyPEMType, keyDER); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, certFile), certificatePEMType, certDER)
}

// writePEM writes a PEM file. It renames a temporary file, so that nobody reads an
// incomplete file.
func writePEM(path, blockType string, der []byte) error {
	tmp := path + ".new"
	if err := os.WriteFile(tmp, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600); err != nil {
		return errors.Wrap(err, "certificate")
	}
	if err := os.Rename(tmp, path); err != nil {
		return errors.Wrap(err, "certificate")
	}
	return nil
}
