package certificate_test

import (
	"crypto/tls"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/certificate"
	"snipehub.example/settings"
)

func files(t *testing.T, dir string) settings.TLS {
	t.Helper()
	if err := certificate.Make(dir, time.Now(), time.Hour, nil); err != nil {
		t.Fatal(err)
	}
	in := func(name string) string { return filepath.Join(dir, name) }
	return settings.TLS{
		CallerCert: in(certificate.FileCaller), CallerKey: in(certificate.FileCallerKey),
		PeerCert: in(certificate.FilePeer), PeerKey: in(certificate.FilePeerKey), PeerCA: in(certificate.FileCA),
	}
}

func load(t *testing.T, cfg settings.TLS) *certificate.Set {
	t.Helper()
	s, err := certificate.Load(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// connect makes a connection and returns what either side says.
func connect(t *testing.T, client, server *tls.Config) error {
	t.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	done := make(chan error, 1)
	go func() {
		s, err := ln.Accept()
		if err == nil {
			_, err = s.Write([]byte("x"))
			_ = s.Close()
		}
		done <- err
	}()
	c, err := tls.Dial("tcp", ln.Addr().String(), client)
	if err == nil {
		_, err = io.ReadFull(c, make([]byte, 1))
		_ = c.Close()
	}
	if serverErr := <-done; errors.Is(serverErr, certificate.ErrNotPeer) {
		return serverErr
	}
	return err
}

// Somebody reaches the port of dispatchers, with no certificate, with one of
// another authority, or with a caller's. If it were let in, it could submit
// and cancel jobs in any caller's name.
func TestOnlyDispatchersConnect(t *testing.T) {
	dir := t.TempDir()
	own := files(t, dir)
	asCaller := own
	asCaller.PeerCert, asCaller.PeerKey = own.CallerCert, own.CallerKey
	server := load(t, own)
	tests := []struct {
		name   string
		client *tls.Config
		ok     bool
	}{
		{"dispatcher", load(t, own).PeerClient(), true},
		{"other authority", load(t, files(t, t.TempDir())).PeerClient(), false},
		{"caller's certificate", load(t, asCaller).PeerClient(), false},
		{"no certificate", &tls.Config{InsecureSkipVerify: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := connect(t, tt.client, server.PeerServer()); (err == nil) != tt.ok {
				t.Errorf("to a dispatcher: %v", err)
			}
		})
	}
	for _, tt := range tests[1:3] {
		cfg := load(t, files(t, t.TempDir())).PeerServer()
		if tt.name == "caller's certificate" {
			cfg = load(t, asCaller).PeerServer()
		}
		if err := connect(t, server.PeerClient(), cfg); !errors.Is(err, certificate.ErrNotPeer) {
			t.Errorf("a dispatcher connects to %s: %v", tt.name, err)
		}
	}
}

// An operator replaces the files of a running process, the certificate a
// moment before its key. Connections go on with the old pair until the new one
// is whole; a restart, which would hand over all jobs, is not needed.
func TestRefresh(t *testing.T) {
	dir := t.TempDir()
	cfg := files(t, dir)
	s := load(t, cfg)
	before, _ := s.Callers().GetCertificate(nil)
	key, err := os.ReadFile(cfg.CallerKey)
	if err != nil {
		t.Fatal(err)
	}
	files(t, dir)
	newKey, err := os.ReadFile(cfg.CallerKey)
	if err != nil {
		t.Fatal(err)
	}
	put := func(b []byte) {
		if err := os.WriteFile(cfg.CallerKey, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	put(key)
	if _, err := s.Refresh(); err == nil {
		t.Error("no error for a certificate without its key")
	}
	if now, _ := s.Callers().GetCertificate(nil); now != before {
		t.Error("the old pair is not in force")
	}
	put(newKey)
	if changed, err := s.Refresh(); err != nil || !changed {
		t.Errorf("changed %v, %v", changed, err)
	}
	if now, _ := s.Callers().GetCertificate(nil); now == before {
		t.Error("the new pair is not in force")
	}
	if err := connect(t, load(t, cfg).PeerClient(), s.PeerServer()); err != nil {
		t.Error(err)
	}
	if changed, err := s.Refresh(); changed || err != nil {
		t.Errorf("changed %v again, %v", changed, err)
	}
}
