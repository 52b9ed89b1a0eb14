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

// The files that Make writes.
const (
	FileCA         = "ca.pem"
	FileCAKey      = "ca.key"
	FileCaller     = "caller.pem"
	FileCallerKey  = "caller.key"
	FilePeer       = "peer.pem"
	FilePeerKey    = "peer.key"
	certificateTag = "CERTIFICATE"
	keyTag         = "PRIVATE KEY"
)

// Make writes certificates for trials into the directory: an authority, unless
// it is there already, and new ones for the callers' server and for
// dispatchers. Addresses are those at which callers reach the server.
func Make(dir string, now time.Time, valid time.Duration, addresses []netip.Addr) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "certificate")
	}
	ca, err := makeAuthority(dir, now, valid)
	if err != nil {
		return err
	}
	caller := template("snipehub", now, valid)
	caller.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	for _, a := range addresses {
		caller.IPAddresses = append(caller.IPAddresses, net.IP(a.AsSlice()))
	}
	if err := issue(dir, FileCaller, FileCallerKey, caller, ca); err != nil {
		return err
	}
	p := template(PeerName, now, valid)
	p.DNSNames = []string{PeerName}
	p.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return issue(dir, FilePeer, FilePeerKey, p, ca)
}

func makeAuthority(dir string, now time.Time, valid time.Duration) (*tls.Certificate, error) {
	cert, key := filepath.Join(dir, FileCA), filepath.Join(dir, FileCAKey)
	if _, err := os.Stat(cert); errors.Is(err, os.ErrNotExist) {
		t := template("snipehub trial authority", now, valid)
		t.IsCA, t.BasicConstraintsValid, t.KeyUsage = true, true, x509.KeyUsageCertSign
		if err := issue(dir, FileCA, FileCAKey, t, nil); err != nil {
			return nil, err
		}
	}
	ca, err := tls.LoadX509KeyPair(cert, key)
	if err != nil {
		return nil, errors.Wrap(err, "certificate")
	}
	return &ca, nil
}

func template(name string, now time.Time, valid time.Duration) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Minute),
		NotAfter:     now.Add(valid),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
}

// issue makes a key and writes it with its certificate, signed by ca, or by
// itself when ca is nil.
func issue(dir, certFile, keyFile string, t *x509.Certificate, ca *tls.Certificate) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	parent, signer := t, any(key)
	if ca != nil {
		parent, signer = ca.Leaf, ca.PrivateKey
	}
	cert, err := x509.CreateCertificate(rand.Reader, t, parent, key.Public(), signer)
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "certificate")
	}
	if err := write(filepath.Join(dir, keyFile), keyTag, secret); err != nil {
		return err
	}
	return write(filepath.Join(dir, certFile), certificateTag, cert)
}

// write puts the file in place by a rename, so that nobody reads half of it.
func write(path, tag string, der []byte) error {
	tmp := path + ".new"
	if err := os.WriteFile(tmp, pem.EncodeToMemory(&pem.Block{Type: tag, Bytes: der}), 0o600); err != nil {
		return errors.Wrap(err, "certificate")
	}
	if err := os.Rename(tmp, path); err != nil {
		return errors.Wrap(err, "certificate")
	}
	return nil
}
