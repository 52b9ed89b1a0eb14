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

func makeFiles(t *testing.T, dir string) settings.TLS {
	t.Helper()
	if err := certificate.Make(dir, time.Now(), time.Hour, nil); err != nil {
		t.Fatal(err)
	}
	path := func(name string) string { return filepath.Join(dir, name) }
	return settings.TLS{
		CallerCert: path(certificate.FileCaller), CallerKey: path(certificate.FileCallerKey),
		PeerCert: path(certificate.FilePeer), PeerKey: path(certificate.FilePeerKey), PeerCA: path(certificate.FileCA),
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

// connect opens a connection from client to server. It returns the server's error if that is
// ErrNotPeer, otherwise the client's.
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

// A client without a certificate, with one of another authority, or with the server
// certificate for callers must not connect as a dispatcher: it could submit and cancel jobs
// in the name of any caller. Nor may a dispatcher connect to such a server.
func TestOnlyDispatchersConnect(t *testing.T) {
	dir := t.TempDir()
	files := makeFiles(t, dir)
	callerAsPeer := files
	callerAsPeer.PeerCert, callerAsPeer.PeerKey = files.CallerCert, files.CallerKey
	server := load(t, files)
	tests := []struct {
		name   string
		client *tls.Config
		ok     bool
	}{
		{"dispatcher", load(t, files).PeerClient(), true},
		{"other authority", load(t, makeFiles(t, t.TempDir())).PeerClient(), false},
		{"server certificate for callers", load(t, callerAsPeer).PeerClient(), false},
		{"no certificate", &tls.Config{InsecureSkipVerify: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := connect(t, tt.client, server.PeerServer()); (err == nil) != tt.ok {
				t.Errorf("to a dispatcher: %v", err)
			}
		})
	}
	// The other way around, for the cases that have a certificate but not a dispatcher's.
	for _, tt := range tests[1:3] {
		cfg := load(t, makeFiles(t, t.TempDir())).PeerServer()
		if tt.name == "server certificate for callers" {
			cfg = load(t, callerAsPeer).PeerServer()
		}
		if err := connect(t, server.PeerClient(), cfg); !errors.Is(err, certificate.ErrNotPeer) {
			t.Errorf("a dispatcher connects to %s: %v", tt.name, err)
		}
	}
}

// An operator replaces the files of a running process, the certificate shortly before its
// key. The old pair must stay in use until both files are replaced, and the new pair must
// then be used without a restart, which would hand over all jobs.
func TestRefresh(t *testing.T) {
	dir := t.TempDir()
	cfg := makeFiles(t, dir)
	s := load(t, cfg)
	before, _ := s.CallerServer().GetCertificate(nil)
	oldKey, err := os.ReadFile(cfg.CallerKey)
	if err != nil {
		t.Fatal(err)
	}
	makeFiles(t, dir)
	newKey, err := os.ReadFile(cfg.CallerKey)
	if err != nil {
		t.Fatal(err)
	}
	writeKey := func(b []byte) {
		if err := os.WriteFile(cfg.CallerKey, b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	writeKey(oldKey)
	if _, err := s.Refresh(); err == nil {
		t.Error("no error for a certificate without its key")
	}
	if now, _ := s.CallerServer().GetCertificate(nil); now != before {
		t.Error("the old pair is not in use")
	}
	writeKey(newKey)
	if changed, err := s.Refresh(); err != nil || !changed {
		t.Errorf("changed %v, %v", changed, err)
	}
	if now, _ := s.CallerServer().GetCertificate(nil); now == before {
		t.Error("the new pair is not in use")
	}
	if err := connect(t, load(t, cfg).PeerClient(), s.PeerServer()); err != nil {
		t.Error(err)
	}
	if changed, err := s.Refresh(); changed || err != nil {
		t.Errorf("changed %v again, %v", changed, err)
	}
}
