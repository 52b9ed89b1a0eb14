// Package certificate loads the certificates of a process, and reloads them when their
// files change.
//
// The server for callers presents a server certificate. Connections between dispatchers use
// mutual TLS: a peer is a dispatcher if its certificate has the name PeerName and is signed
// by the certificate authority of the settings. The certificates of dispatchers don't contain
// addresses, because VMs are replaced at any time and their addresses are reused.
package certificate

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/settings"
)

// PeerName is the DNS name in the certificates of dispatchers. It distinguishes them from
// other certificates of the same authority, such as the server certificate for callers.
const PeerName = "dispatcher.snipehub"

// ErrNotPeer means that the other side of a connection is not a dispatcher.
var ErrNotPeer = errors.New("certificate: not a dispatcher's certificate")

// Set holds all certificates of a process.
type Set struct {
	// callers is the key pair that this process presents to callers, and peers the one that
	// it presents to other dispatchers.
	callers *keyPair
	peers   *keyPair
	// ca verifies the certificates of other dispatchers.
	ca *authority
}

// Load reads the files that the settings name.
func Load(cfg settings.TLS) (*Set, error) {
	s := &Set{}
	if cfg.CallerCert != "" {
		s.callers = &keyPair{certFile: cfg.CallerCert, keyFile: cfg.CallerKey}
	}
	if cfg.PeerCert != "" {
		s.peers = &keyPair{certFile: cfg.PeerCert, keyFile: cfg.PeerKey}
		s.ca = &authority{file: cfg.PeerCA}
	}
	_, err := s.Refresh()
	return s, err
}

// Refresh reads the files again and reports whether any certificate has changed. It stops at
// the first file that can't be used; the certificates that it has not reloaded stay in use.
func (s *Set) Refresh() (bool, error) {
	changed := false
	for _, refresh := range []func() (bool, error){s.callers.refresh, s.peers.refresh, s.ca.refresh} {
		c, err := refresh()
		if err != nil {
			return changed, err
		}
		changed = changed || c
	}
	return changed, nil
}

// Expires returns the earliest expiry time of the certificates, zero if there are none.
func (s *Set) Expires() time.Time {
	var earliest time.Time
	for _, p := range []*keyPair{s.callers, s.peers} {
		if p == nil {
			continue
		}
		if t := p.current.Load().Leaf.NotAfter; earliest.IsZero() || t.Before(earliest) {
			earliest = t
		}
	}
	return earliest
}

// CallerServer returns the TLS configuration of the server for callers, nil for plain HTTP.
func (s *Set) CallerServer() *tls.Config {
	if s.callers == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.callers.current.Load(), nil },
	}
}

// PeerServer returns the TLS configuration for accepting connections of dispatchers, nil for
// plain TCP. It requires a certificate and verifies it in VerifyConnection, against the
// authority that is loaded at that moment.
func (s *Set) PeerServer() *tls.Config {
	if s.peers == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.peers.current.Load(), nil },
		ClientAuth:             tls.RequireAnyClientCert,
		VerifyConnection:       s.peerVerifier(x509.ExtKeyUsageClientAuth),
		SessionTicketsDisabled: true,
	}
}

// PeerClient returns the TLS configuration for connecting to dispatchers, nil for plain TCP.
//
// InsecureSkipVerify only disables the standard verification, which uses a fixed set of
// authorities. VerifyConnection verifies the certificate in its place, on every connection.
func (s *Set) PeerClient() *tls.Config {
	if s.peers == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		ServerName:           PeerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.peers.current.Load(), nil },
		InsecureSkipVerify:   true,
		VerifyConnection:     s.peerVerifier(x509.ExtKeyUsageServerAuth),
	}
}

// peerVerifier returns a function that verifies that the other side of a connection is a
// dispatcher. Without it, anyone who can reach the port could submit jobs in the name of any
// caller.
func (s *Set) peerVerifier(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(c tls.ConnectionState) error {
		if len(c.PeerCertificates) == 0 {
			return ErrNotPeer
		}
		intermediates := x509.NewCertPool()
		for _, cert := range c.PeerCertificates[1:] {
			intermediates.AddCert(cert)
		}
		_, err := c.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots:         s.ca.current.Load(),
			Intermediates: intermediates,
			DNSName:       PeerName,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return errors.Wrap(ErrNotPeer, err.Error())
		}
		return nil
	}
}

// keyPair is a certificate with its key. A nil keyPair means that none is configured.
type keyPair struct {
	certFile, keyFile string
	content           [2][]byte // of certFile and keyFile, as loaded
	current           atomic.Pointer[tls.Certificate]
}

// refresh reloads the pair if its files have changed. It compares their content, because a
// copy may preserve the modification time. A new certificate whose key has not been replaced
// yet does not match the old key; the loaded pair then stays in use until the next refresh.
func (p *keyPair) refresh() (bool, error) {
	if p == nil {
		return false, nil
	}
	cert, err := os.ReadFile(p.certFile)
	if err != nil {
		return false, errors.Wrap(err, "certificate")
	}
	key, err := os.ReadFile(p.keyFile)
	if err != nil {
		return false, errors.Wrap(err, "certificate")
	}
	if bytes.Equal(cert, p.content[0]) && bytes.Equal(key, p.content[1]) {
		return false, nil
	}
	c, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return false, errors.Wrapf(err, "certificate: %s with %s", p.certFile, p.keyFile)
	}
	p.content = [2][]byte{cert, key}
	p.current.Store(&c)
	return true, nil
}

// authority holds the CA certificates that sign the certificates of dispatchers. A nil
// authority means that none is configured.
type authority struct {
	file    string
	content []byte
	current atomic.Pointer[x509.CertPool]
}

func (a *authority) refresh() (bool, error) {
	if a == nil {
		return false, nil
	}
	content, err := os.ReadFile(a.file)
	if err != nil {
		return false, errors.Wrap(err, "certificate")
	}
	if bytes.Equal(content, a.content) {
		return false, nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(content) {
		return false, errors.Errorf("certificate: %s: no PEM certificate found", a.file)
	}
	a.content = content
	a.current.Store(pool)
	return true, nil
}
