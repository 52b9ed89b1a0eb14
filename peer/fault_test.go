package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var anyAddress = netip.MustParseAddrPort("10.0.0.1:7500")

// pipes is an in-memory network and its listener. Connections go through incoming to the
// server that accepts from the listener; if incoming is nil, nobody reads from them.
type pipes struct {
	incoming chan net.Conn
	opened   int
}

func (p *pipes) open(context.Context, string, string) (net.Conn, error) {
	a, b := net.Pipe()
	p.opened++
	if p.incoming != nil {
		p.incoming <- b
	}
	return a, nil
}

func (p *pipes) Accept() (net.Conn, error) {
	c, ok := <-p.incoming
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p *pipes) Close() error   { close(p.incoming); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// serve runs a server with the method "wait", which answers once the returned channel
// is closed.
func serve(t *testing.T) (*Server, *pipes, *Dialer, chan struct{}) {
	p := &pipes{incoming: make(chan net.Conn, 4)}
	s := NewServer(slog.New(slog.DiscardHandler), p)
	answer := make(chan struct{})
	Handle(s, "wait", func(_ context.Context, n int) (int, error) {
		<-answer
		return n, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(ctx)
	}()
	d := NewDialer(nil, time.Second, p.open)
	t.Cleanup(func() {
		d.Close()
		cancel()
		<-ended
	})
	return s, p, d, answer
}

// A peer is suspended and reads nothing from its connections. Neither a request that is
// forwarded to it nor the heartbeats on the same connection may block until it resumes.
func TestFrozenPeerHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDialer(nil, time.Minute, (&pipes{}).open)
		began := time.Now()
		// The first call may have been written in part when its context ends; the second
		// waits for the first one's write and is never written.
		for _, want := range []error{ErrLost, ErrNotSent} {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := Call[int](ctx, d, anyAddress, "wait", 1)
			cancel()
			if !errors.Is(err, want) {
				t.Errorf("%v, want %v", err, want)
			}
		}
		if took := time.Since(began); took != 2*time.Second {
			t.Errorf("two calls with a timeout of 1 s each took %v", took)
		}
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		if !closed(d.links[anyAddress].conn) {
			t.Error("the connection to the suspended peer is still open")
		}
		d.Close()
	})
}

// A dispatcher stops. Calls that it has read are answered; a call that arrives later is
// refused with ErrNotSent, so its caller knows that it was not acted on.
func TestStopCutsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _, d, answer := serve(t)
		got := make(chan error, 1)
		go func() {
			n, err := Call[int](t.Context(), d, anyAddress, "wait", 7)
			if err == nil && n != 7 {
				err = errors.Errorf("%d, want 7", n)
			}
			got <- err
		}()
		synctest.Wait()
		drained := make(chan struct{})
		go func() {
			s.Drain(t.Context())
			close(drained)
		}()
		synctest.Wait()
		select {
		case <-drained:
			t.Error("Drain returned before the call was answered")
		default:
		}
		close(answer)
		if err := <-got; err != nil {
			t.Error(err)
		}
		<-drained
		if _, err := Call[int](t.Context(), d, anyAddress, "wait", 8); !errors.Is(err, ErrNotSent) {
			t.Errorf("call after Drain: %v, want ErrNotSent", err)
		}
	})
}

// A peer restarts. A call on the broken connection to its predecessor has reached nobody
// and is retried on a new one. A call that was read before the peer died is not retried,
// since it may have run.
func TestBrokenConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, p, d, answer := serve(t)
		lost := make(chan error, 1)
		go func() {
			_, err := Call[int](t.Context(), d, anyAddress, "wait", 1)
			lost <- err
		}()
		synctest.Wait()
		_ = d.links[anyAddress].conn.Close()
		if err := <-lost; !errors.Is(err, ErrLost) {
			t.Errorf("%v, want ErrLost", err)
		}
		close(answer)
		if n, err := Call[int](t.Context(), d, anyAddress, "wait", 2); n != 2 || err != nil || p.opened != 2 {
			t.Errorf("%d, %v over %d connections, want 2 over 2", n, err, p.opened)
		}
	})
}

// A process sends heartbeats to random members out of thousands. It must not end up with
// a connection to each.
func TestIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, _, d, answer := serve(t)
		close(answer)
		for i := range 200 {
			to := netip.AddrPortFrom(anyAddress.Addr(), uint16(i+1))
			if _, err := Call[int](t.Context(), d, to, "wait", i); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		if n := len(d.links); n > 61 {
			t.Errorf("%d connections, want at most those used in the last minute", n)
		}
	})
}

func FuzzFrame(f *testing.F) {
	f.Add([]byte{2, '{', '}'})
	f.Add(binary.AppendUvarint(nil, 1<<62))
	f.Add(append([]byte{40}, bytes.Repeat([]byte("1"), 40)...))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := bufio.NewReader(bytes.NewReader(b))
		var v any
		if (frameCodec{16}).ReadObject(r, &v) != nil {
			return
		}
		var out bytes.Buffer
		err := (frameCodec{1 << 10}).WriteObject(&out, v)
		rest, _ := io.ReadAll(r)
		if err != nil || len(b)-len(rest) > 16+binary.MaxVarintLen64 {
			t.Fatalf("read %d bytes as one frame with a limit of 16: %v", len(b)-len(rest), err)
		}
	})
}
