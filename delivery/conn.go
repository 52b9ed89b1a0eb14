package delivery

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/go-faster/errors"
)

var errSealed = errors.New("delivery: the attempt has ended")

// conn counts the bytes that the kernel took, and can be sealed against
// further ones.
//
// The transport reports a failure without saying whether it had begun to write:
// a kept connection that the backend server has closed, or a lease that ends
// between the choice of a connection and the write, look like a request that
// was lost on its way. Counting tells them apart. Sealing is needed because the
// transport writes in a goroutine of its own: without it, the write may still
// come after the count was read, and a task that was called "not run" runs.
type conn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
}

// counting makes the connections that dial opens count.
func counting(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// Write writes unless the connection is sealed. The lock is held through the
// write, so that seal waits for the count; a write to a peer that reads nothing
// is ended by the transport, which closes the connection of a failed attempt.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

func (c *conn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal forbids further writes and returns the number of bytes written.
func (c *conn) seal() int64 {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// record follows one attempt over the connections that the transport gives it.
type record struct {
	mu   sync.Mutex
	used []use
}

type use struct {
	c      *conn
	before int64
}

func (r *record) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used = append(r.used, use{c, c.count()})
}

// seal ends the attempt and tells whether any byte of it was written.
func (r *record) seal() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := false
	for _, u := range r.used {
		if u.c.seal() > u.before {
			sent = true
		}
	}
	return sent
}
