package mesh

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"snipehub.example/internal/bubble"
	"snipehub.example/internal/memnet"
)

// scarceListener fails to accept a number of connections, as without free descriptors.
type scarceListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *scarceListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// Guards against an error of accept, such as no free descriptor, closing the listener: the
// process stayed alone until its restart.
func TestAcceptGoesOnAfterAnError(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		host := network.Host("10.0.0.2")
		addr := "10.0.0.2:7000"
		ln, err := host.Listen("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		scarce := &scarceListener{Listener: ln}
		scarce.failures.Store(20)
		m := New(slog.New(slog.DiscardHandler), Member{}, scarce, host.DialContext, func(Event[string]) {})
		ctx, cancel := context.WithCancel(context.Background())
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = m.Serve(ctx)
		}()
		time.Sleep(time.Minute)
		if _, err := network.Host("10.0.0.1").DialContext(ctx, "tcp", addr); err != nil {
			t.Errorf("dial: %v, want the listener to accept again", err)
		}
		if n := scarce.failures.Load(); n > -1 {
			t.Errorf("%d calls of accept are left, want the listener to be used", n)
		}
		cancel()
		<-served
		network.Close()
		time.Sleep(time.Minute)
	})
}
