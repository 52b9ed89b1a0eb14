package quota

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/internal/bubble"
)

// accept opens a connection through a Quota and returns both ends; ours is nil if it was refused.
func accept(t *testing.T, q *Quota) (ours *Conn, theirs net.Conn) {
	t.Helper()
	a, b := net.Pipe()
	t.Cleanup(func() { _, _ = a.Close(), b.Close() })
	go func() { _, _ = io.Copy(io.Discard, b) }()
	ours, _ = q.Accept(a).(*Conn)
	return ours, b
}

// serve brings a connection to the phase in which its request is answered.
func serve(c *Conn) *Conn {
	c.EndHeader()
	c.EndBody()
	return c
}

func isOpen(c *Conn) bool {
	c.quota.mu.Lock()
	defer c.quota.mu.Unlock()
	return c.phase != closed
}

// Guards against a limit that does not follow from the VM, or that a VM's share of callers exceeds.
func TestLimitsFollowFromTheVM(t *testing.T) {
	tests := []struct {
		memoryMB, sockets int
		want              Limits
	}{
		{0, 0, Limits{}},
		{0, 1000, Limits{Connections: 750}},
		{108, 0, Limits{Connections: 465, Pool: 20 << 20}},
		{108, 400, Limits{Connections: 300, Pool: 20 << 20}},
		{188, 800, Limits{Connections: 600, Pool: 40 << 20}},
		{16, 0, Limits{Connections: 23, Pool: 1 << 20}},
		{1, 1, Limits{Connections: 1, Pool: 1 << 16}},
	}
	for _, tt := range tests {
		if got := LimitsFor(int64(tt.memoryMB)<<20, tt.sockets); got != tt.want {
			t.Errorf("%d MB, %d sockets: %+v, want %+v", tt.memoryMB, tt.sockets, got, tt.want)
		}
	}
}

// Guards against a crowd of connections that keeps a new caller out, and against closing the
// connection of a caller whose request is being served.
func TestConnectionsUsedUp(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		q := New(Limits{Connections: 3})
		served, _ := accept(t, q)
		serve(served)
		silent, _ := accept(t, q)
		answered, _ := accept(t, q)
		serve(answered).endRequest()
		first, _ := accept(t, q)
		_ = silent.Close()
		if isOpen(silent) || !isOpen(answered) {
			t.Error("the connection without a request is not the first to be closed")
		}
		serve(first)
		second, _ := accept(t, q)
		if isOpen(answered) || second == nil {
			t.Error("an idle connection is not closed for a new one")
		}
		serve(second)
		if third, _ := accept(t, q); third != nil {
			t.Error("a connection is accepted beyond the limit")
		}
		if !isOpen(served) || !isOpen(first) || !isOpen(second) {
			t.Error("a connection with a request being served was closed")
		}
		if got := q.Counts(); got.Connections != 3 || got.ClosedConnections != 2 || got.RefusedConnections != 1 {
			t.Errorf("%+v", got)
		}
	})
}

// Guards against connections that were closed for others and pile up in the HTTP server, which keeps
// some for half a second.
func TestLingeringConnectionsAreBounded(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		q := New(Limits{Connections: 4})
		var conns []*Conn
		for range 5 {
			c, _ := accept(t, q)
			conns = append(conns, c)
		}
		if c, _ := accept(t, q); c != nil {
			t.Error("accepted, although as many as may be are lingering")
		}
		_ = conns[0].Close()
		if c, _ := accept(t, q); c == nil {
			t.Error("refused, although none is lingering any more")
		}
		if got := q.Counts(); got.Connections != 4 || got.Lingering != 1 {
			t.Errorf("%+v", got)
		}
	})
}

// Guards against connections that the HTTP server keeps for half a second after a refusal, while others
// wait for their place.
func TestRefusedRequestDoesNotLinger(t *testing.T) {
	q := New(Limits{Connections: 2})
	refused, _ := accept(t, q)
	if refused.MustAbort() {
		t.Error("aborted, although connections are free")
	}
	served, _ := accept(t, q)
	serve(served)
	if !refused.MustAbort() || served.MustAbort() {
		t.Errorf("aborted: refused %v, served %v", refused.MustAbort(), served.MustAbort())
	}
	_, _ = accept(t, q)
	if !refused.MustAbort() {
		t.Error("a connection that was closed for another one is not aborted")
	}
}

// Guards against large requests that take more than the pool, and against refusing ordinary ones
// when it is used up.
func TestPoolUsedUp(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		q := New(Limits{Connections: 10, Pool: 100 << 10})
		var large []*Conn
		for range 3 {
			c, _ := accept(t, q)
			large = append(large, c)
		}
		if !large[0].Resize(58<<10) || !large[1].Resize(58<<10) || large[2].Resize(9<<10) {
			t.Fatal("the pool does not take two requests of 50 KB beyond the allowance, and no more")
		}
		ordinary, _ := accept(t, q)
		if !ordinary.Resize(Allowance) {
			t.Error("an ordinary request is refused")
		}
		if err := large[0].Close(); err != nil || !large[2].Resize(58<<10) {
			t.Error("what a closed connection has taken is not free")
		}
		for _, c := range append(large, ordinary) {
			_ = c.Close()
		}
		if got := q.Counts(); got.Connections != 0 || got.Bytes != 0 || got.RefusedRequests != 1 {
			t.Errorf("%+v, want nothing in use and one refusal", got)
		}
	})
}

// Guards against requests that stop short of their end and keep the pool: they lose it to others
// after a time, but not at once, and not while they are served.
func TestRequestsThatStopShortLoseThePool(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		q := New(Limits{Connections: 10, Pool: 100 << 10})
		small, _ := accept(t, q)
		served, _ := accept(t, q)
		served.Resize(50 << 10)
		served.EndBody()
		stalled, _ := accept(t, q)
		stalled.Resize(50 << 10)
		late, _ := accept(t, q)
		if late.Resize(50 << 10) {
			t.Error("a request has lost the pool at once")
		}
		time.Sleep(minReadTime)
		if !late.Resize(50<<10) || isOpen(stalled) {
			t.Error("a request that stopped short has not lost the pool")
		}
		if !isOpen(served) || !isOpen(small) {
			t.Error("a connection was closed that is served, or has taken nothing of the pool")
		}
		if stalled.Resize(1) {
			t.Error("a connection that was closed may take more")
		}
	})
}

// Guards against header lines that take many times their bytes once they are parsed, in one request
// or the next one on the same connection.
func TestHeaderLinesCount(t *testing.T) {
	q := New(Limits{Connections: 10, Pool: 100 << 10})
	c, theirs := accept(t, q)
	read := func(text string) error {
		go func() { _, _ = io.WriteString(theirs, text) }()
		_, err := c.Read(make([]byte, 4<<10))
		return err
	}
	lines := strings.Repeat("a:\r\n", 100)
	if err := read(lines); err != nil || c.Held() < 100*headerLineBytes {
		t.Errorf("%d bytes held, %v", c.Held(), err)
	}
	c.EndHeader()
	if c.Held() != 0 {
		t.Errorf("%d bytes held after the header", c.Held())
	}
	if err := read(lines); err != nil || c.Held() != 0 {
		t.Errorf("a body counts as a header: %d bytes, %v", c.Held(), err)
	}
	c.EndBody()
	// The server reads a byte while a request is served, to notice that the caller has left.
	if err := read("x"); err != nil {
		t.Error(err)
	}
	c.endRequest()
	c.beginRequest()
	if c.Held() < 100*headerLineBytes {
		t.Errorf("%d bytes held of a header that has come with the last body", c.Held())
	}
	for range 100 {
		c.EndHeader()
		c.EndBody()
		c.endRequest()
		if err := read("GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		c.beginRequest()
	}
	if c.Held() > Allowance {
		t.Errorf("an ordinary header holds %d bytes after many others", c.Held())
	}
	var err error
	for range 1000 {
		if err = read(lines); err != nil {
			break
		}
	}
	if !errors.Is(err, io.EOF) {
		t.Error("header lines are accepted beyond the pool")
	}
}

// Guards against a body that is read beyond the pool, and against one that does not arrive whole.
func TestReadBody(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 4<<10)
	tests := []struct {
		name string
		pool int64
		size int64
		r    io.Reader
		err  error
	}{
		{"announced", 1 << 20, 64 << 10, bytes.NewReader(body), nil},
		{"byte by byte", 1 << 20, 64 << 10, iotest.OneByteReader(bytes.NewReader(body)), nil},
		{"of unknown length", 1 << 20, -1, bytes.NewReader(body), nil},
		{"end with the data", 1 << 20, 64 << 10, iotest.DataErrReader(bytes.NewReader(body)), nil},
		{"beyond the pool", 32 << 10, 64 << 10, bytes.NewReader(body), ErrExceeded},
		{"of unknown length, beyond the pool", 32 << 10, -1, bytes.NewReader(body), ErrExceeded},
		{"cut off", 1 << 20, 64 << 10, io.MultiReader(bytes.NewReader(body[:100]), iotest.ErrReader(io.ErrUnexpectedEOF)), io.ErrUnexpectedEOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q := New(Limits{Connections: 1, Pool: tt.pool})
			c, _ := accept(t, q)
			c.EndHeader()
			got, err := c.ReadBody(tt.r, tt.size)
			if !errors.Is(err, tt.err) || err == nil && !bytes.Equal(got, body) {
				t.Errorf("%d bytes, %v; want %v", len(got), err, tt.err)
			}
			if used := q.Counts().Bytes; used > tt.pool || err == nil && used < int64(len(body)-Allowance) {
				t.Errorf("%d bytes of %d in use", used, tt.pool)
			}
		})
	}
}

// Guards against several large bodies being decoded at once, and against ordinary ones waiting for
// them.
func TestLargeBodiesAreDecodedInTurn(t *testing.T) {
	q := New(Limits{Connections: 3, Pool: 1 << 20})
	c, _ := accept(t, q)
	end, err := c.BeginDecoding(t.Context(), 100<<10)
	if err != nil {
		t.Fatal(err)
	}
	if endSmall, err := c.BeginDecoding(t.Context(), 1<<10); err != nil {
		t.Error("an ordinary body waits")
	} else {
		endSmall()
	}
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := c.BeginDecoding(gone, 100<<10); err == nil {
		t.Error("two large bodies are decoded at once")
	}
	end()
	if end, err := c.BeginDecoding(t.Context(), 100<<10); err != nil {
		t.Error(err)
	} else {
		end()
	}
}

// Guards against limits where the settings have none.
func TestNoLimits(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	if got := New(Limits{}).Accept(a); got != a {
		t.Error("a connection without limits is wrapped")
	}
	c := FromContext(t.Context())
	c.EndHeader()
	c.EndBody()
	got, err := c.ReadBody(strings.NewReader("body"), -1)
	if c != nil || !c.Resize(1<<40) || string(got) != "body" || err != nil {
		t.Errorf("%v, %q, %v", c, got, err)
	}
}
