// Package certificate holds the certificates of a process, and reads them again when
// their files change.
//
// Callers see a server certificate. Between dispatchers both sides show one
// (mutual TLS): whoever holds a certificate with the name PeerName, signed by
// the authority of the settings, is a dispatcher. The certificates of
// dispatchers don't name addresses, because VMs are replaced at any time and
// addresses used again.
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

// PeerName is the DNS name in the certificates of dispatchers. It tells them
// from other certificates of the same authority, such as callers'.
const PeerName = "dispatcher.snipehub"

// ErrNotPeer means that the other side of a connection is no dispatcher.
var ErrNotPeer = errors.New("certificate: not a dispatcher's certificate")

// Set is all certificates of a process.
type Set struct {
	callers *pair
	peers   *pair
	ca      *authority
}

// Load reads the files of the settings.
func Load(cfg settings.TLS) (*Set, error) {
	s := &Set{}
	if cfg.CallerCert != "" {
		s.callers = &pair{cert: cfg.CallerCert, key: cfg.CallerKey}
	}
	if cfg.PeerCert != "" {
		s.peers = &pair{cert: cfg.PeerCert, key: cfg.PeerKey}
		s.ca = &authority{file: cfg.PeerCA}
	}
	_, err := s.Refresh()
	return s, err
}

// Refresh reads the files again and tells whether anything has changed. What
// can't be used changes nothing: the certificates of before stay in force.
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

// Expires returns the time at which the first certificate expires, zero when
// there is none.
func (s *Set) Expires() time.Time {
	var first time.Time
	for _, p := range []*pair{s.callers, s.peers} {
		if p == nil {
			continue
		}
		if t := p.now.Load().Leaf.NotAfter; first.IsZero() || t.Before(first) {
			first = t
		}
	}
	return first
}

// Callers returns the configuration of the server for callers, nil for plain
// HTTP.
func (s *Set) Callers() *tls.Config {
	if s.callers == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.callers.now.Load(), nil },
	}
}

// PeerServer returns the configuration towards dispatchers that connect, nil
// for plain TCP. It asks for any certificate and checks it itself, against the
// authority that is in force at that moment.
func (s *Set) PeerServer() *tls.Config {
	if s.peers == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.peers.now.Load(), nil },
		ClientAuth:             tls.RequireAnyClientCert,
		VerifyConnection:       s.verify(x509.ExtKeyUsageClientAuth),
		SessionTicketsDisabled: true,
	}
}

// PeerClient returns the configuration for connecting to dispatchers, nil for
// plain TCP.
//
// InsecureSkipVerify turns off the standard check only, which holds a fixed set
// of authorities and wants the address in the certificate. VerifyConnection
// checks in its place, and is called for every connection.
func (s *Set) PeerClient() *tls.Config {
	if s.peers == nil {
		return nil
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		ServerName:           PeerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.peers.now.Load(), nil },
		InsecureSkipVerify:   true,
		VerifyConnection:     s.verify(x509.ExtKeyUsageServerAuth),
	}
}

// verify checks that the other side is a dispatcher. Without it, whoever
// reaches the port could submit jobs in any caller's name.
func (s *Set) verify(usage x509.ExtKeyUsage) func(tls.ConnectionState) error {
	return func(c tls.ConnectionState) error {
		if len(c.PeerCertificates) == 0 {
			return ErrNotPeer
		}
		rest := x509.NewCertPool()
		for _, cert := range c.PeerCertificates[1:] {
			rest.AddCert(cert)
		}
		_, err := c.PeerCertificates[0].Verify(x509.VerifyOptions{
			Roots:         s.ca.now.Load(),
			Intermediates: rest,
			DNSName:       PeerName,
			KeyUsages:     []x509.ExtKeyUsage{usage},
		})
		if err != nil {
			return errors.Wrap(ErrNotPeer, err.Error())
		}
		return nil
	}
}

// pair is a certificate with its key. A nil pair has no files.
type pair struct {
	cert, key string
	text      [2][]byte
	now       atomic.Pointer[tls.Certificate]
}

// refresh compares the content and not the time of the files, which a copy may
// keep. A certificate whose key is not there yet does not fit the old key; the
// pair is then left as it is and tried again at the next refresh.
func (p *pair) refresh() (bool, error) {
	if p == nil {
		return false, nil
	}
	cert, err := os.ReadFile(p.cert)
	if err != nil {
		return false, errors.Wrap(err, "certificate")
	}
	key, err := os.ReadFile(p.key)
	if err != nil {
		return false, errors.Wrap(err, "certificate")
	}
	if bytes.Equal(cert, p.text[0]) && bytes.Equal(key, p.text[1]) {
		return false, nil
	}
	c, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return false, errors.Wrapf(err, "certificate: %s with %s", p.cert, p.key)
	}
	p.text = [2][]byte{cert, key}
	p.now.Store(&c)
	return true, nil
}

// authority is the certificates that sign those of dispatchers. A nil
// authority has no file.
type authority struct {
	file string
	text []byte
	now  atomic.Pointer[x509.CertPool]
}

func (a *authority) refresh() (bool, error) {
	if a == nil {
		return false, nil
	}
	text, err := os.ReadFile(a.file)
	if err != nil {
		return false, errors.Wrap(err, "certificate")
	}
	if bytes.Equal(text, a.text) {
		return false, nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return false, errors.Errorf("certificate: %s: no certificate in it", a.file)
	}
	a.text = text
	a.now.Store(pool)
	return true, nil
}
