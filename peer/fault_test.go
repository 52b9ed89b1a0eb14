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

// pipes is a network in memory: each connection goes to the listener's server,
// or to nobody when there is none.
type pipes struct {
	accepted chan net.Conn
	opened   int
}

func (p *pipes) open(context.Context, string, string) (net.Conn, error) {
	a, b := net.Pipe()
	p.opened++
	if p.accepted != nil {
		p.accepted <- b
	}
	return a, nil
}

func (p *pipes) Accept() (net.Conn, error) {
	c, ok := <-p.accepted
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p *pipes) Close() error   { close(p.accepted); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// serve runs a server with the method "wait", which answers when it is told to.
func serve(t *testing.T) (*Server, *pipes, *Dialer, chan struct{}) {
	p := &pipes{accepted: make(chan net.Conn, 4)}
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

// A peer is frozen and takes nothing from its connections. A caller's request
// that is forwarded to it must not hang for as long as the peer is frozen, and
// neither must the heartbeats that share the connection.
func TestFrozenPeerHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDialer(nil, time.Minute, (&pipes{}).open)
		began := time.Now()
		for _, want := range []error{ErrLost, ErrNotSent} {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := Call[int](ctx, d, anyAddress, "wait", 1)
			cancel()
			if !errors.Is(err, want) {
				t.Errorf("%v, want %v", err, want)
			}
		}
		if took := time.Since(began); took != 2*time.Second {
			t.Errorf("two callers with a second each were held for %v", took)
		}
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		if !closed(d.links[anyAddress].conn) {
			t.Error("the connection to the frozen peer is still used")
		}
		d.Close()
	})
}

// A dispatcher stops. Calls that it has read are answered whole; one that comes
// afterwards is turned away, and its caller knows that nothing was done.
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
			t.Error("stopped with a call that is not answered")
		default:
		}
		close(answer)
		if err := <-got; err != nil {
			t.Error(err)
		}
		<-drained
		if _, err := Call[int](t.Context(), d, anyAddress, "wait", 8); !errors.Is(err, ErrNotSent) {
			t.Errorf("%v, want a call that was not looked at", err)
		}
	})
}

// A peer was started again. The connection to its predecessor is broken, and a
// call over it has reached nobody: it goes out once more on a new one. A call
// that was read before the peer died is not repeated, as it may have run.
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
			t.Errorf("%v, want no answer", err)
		}
		close(answer)
		if n, err := Call[int](t.Context(), d, anyAddress, "wait", 2); n != 2 || err != nil || p.opened != 2 {
			t.Errorf("%d, %v over %d connections, want 2 over 2", n, err, p.opened)
		}
	})
}

// A process beats to random ones of thousands of members. It must not end up
// with a connection to each.
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
			t.Errorf("%d connections, want those of the last minute", n)
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
			t.Fatalf("%d bytes were read as one frame of 16: %v", len(b)-len(rest), err)
		}
	})
}
