package delivery

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/go-faster/errors"
)

var errSealed = errors.New("delivery: the attempt has ended")

// countingConn counts the bytes that the kernel has accepted, and can be sealed against
// further writes.
//
// The transport's errors don't say whether it had begun to write. If the backend server
// has closed a reused connection, or the lease ends after a connection was chosen and
// before the write, the error is the same as for a request that was lost on the way. The
// count distinguishes these cases. Sealing is needed because the transport writes in a
// goroutine of its own: that goroutine might otherwise write after the count was read,
// and a task that was reported as "not run" would run.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
}

// countWrites returns a Dial that wraps the connections of dial in a countingConn and
// limits the dial to dialTimeout.
func countWrites(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c}, nil
	}
}

// Write writes unless the connection is sealed. It holds the lock during the write, so
// that seal waits for the count. A write that blocks because the peer does not read ends
// when the transport closes the connection of the failed attempt.
func (c *countingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

func (c *countingConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal closes the connection, prevents further writes and returns the number of bytes
// written.
func (c *countingConn) seal() int64 {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}

// connTracker records the connections that the transport uses for one attempt.
type connTracker struct {
	mu   sync.Mutex
	uses []connUse
}

type connUse struct {
	conn          *countingConn
	writtenBefore int64
}

func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.uses = append(t.uses, connUse{c, c.bytesWritten()})
}

// seal seals the connections of the attempt and reports whether any byte of it was
// written.
func (t *connTracker) seal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent := false
	for _, u := range t.uses {
		if u.conn.seal() > u.writtenBefore {
			sent = true
		}
	}
	return sent
}
