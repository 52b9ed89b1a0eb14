package peer

import (
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"
)

// A client connects to the peer port and sends nothing. The server must close the
// connection, or the process runs out of descriptors and callers whose jobs are
// forwarded here get "unknown".
func TestSilentConnectionIsClosed(t *testing.T) {
	ln, err := tls.Listen("tcp", "127.0.0.1:0", &tls.Config{
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return nil, io.EOF },
	})
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(slog.New(slog.DiscardHandler), ln)
	s.handshakeTimeout = 50 * time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = s.Serve(ctx)
	}()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	// The test's own timeout, reached only if the server keeps the connection open.
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.ReadAll(c); err != nil {
		t.Errorf("the silent connection is still open: %v", err)
	}
	_ = c.Close()
	cancel()
	<-served
}
