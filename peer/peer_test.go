package peer_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"testing"
	"time"

	"snipehub.example/peer"
)

// A caller's body is forwarded to another dispatcher. It must arrive byte for byte: with
// its keys sorted or its text escaped it no longer matches the body that was submitted
// directly, and the resubmission of a job is refused.
func TestBodyArrivesUnchanged(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := peer.NewServer(slog.New(slog.DiscardHandler), ln)
	peer.Handle(s, "text", func(_ context.Context, b json.RawMessage) (string, error) { return string(b), nil })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx)
	}()
	d := peer.NewDialer(nil, time.Minute, (&net.Dialer{}).DialContext)
	const body = `{"van":"<2>","order":12345678901234567890,"a":1.0}`
	got, err := peer.Call[string](ctx, d, ln.Addr().(*net.TCPAddr).AddrPort(), "text", json.RawMessage(body))
	if err != nil || got != body {
		t.Errorf("%s, %v, want %s", got, err, body)
	}
	d.Close()
	cancel()
	<-done
}
