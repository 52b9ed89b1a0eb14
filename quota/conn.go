package quota

import (
	"bytes"
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// ErrExceeded means that a request was refused because the pool is used up.
var ErrExceeded = errors.New("quota: too many large requests")

type phase int

const (
	// reading: a request is awaited on a new connection, or has begun to arrive.
	reading phase = iota + 1
	// serving: a request has arrived whole and is being answered.
	serving
	// idle: a request was answered, and the next one has not begun.
	idle
	closed
)

const (
	// headerLineBytes is what a header line takes beyond its bytes once it is parsed.
	headerLineBytes = 128
	// headerByteFactor is how often the bytes of a header are in memory.
	headerByteFactor = 2
	// writeTimeout is how long a caller may take to read a response. Responses are small, so
	// that only one who reads nothing takes long.
	writeTimeout = 10 * time.Second
	// refusalTimeout is writeTimeout for the refusal of a connection, which nobody may wait for.
	refusalTimeout = 10 * time.Millisecond
	// serverBufferBytes is the size of the HTTP server's buffer for what it reads.
	serverBufferBytes = 4 << 10
	// firstBytes is the first size of the buffer for a body of unknown length.
	firstBytes = 1 << 10
)

// Conn is a caller's connection. A nil Conn stands for one without limits.
type Conn struct {
	net.Conn
	quota *Quota
	// inHeader is set while a header is being read.
	inHeader atomic.Bool
	// lines counts the lines that were read since the last request began. The server may have
	// buffered some that belong to the next one.
	lines atomic.Int64

	// The fields below are guarded by quota.mu. place is the connection's place in the list of
	// its phase, held what its request takes.
	phase phase
	since time.Time
	place *list.Element
	held  int64
	// lingering is set if it was closed for another connection and the server still handles it.
	lingering bool
}

// Read reads from the connection. A header that finds the pool used up is refused.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	lines := int64(bytes.Count(b[max(0, n-serverBufferBytes):n], []byte{'\n'}))
	c.lines.Add(lines)
	if c.inHeader.Load() && !c.grow(int64(n)*headerByteFactor+lines*headerLineBytes) {
		c.writeRefusal()
		return 0, io.EOF
	}
	return n, err
}

// Write writes to the connection. It fails if the caller does not read.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// CloseWrite closes the connection for writing. The HTTP server needs it to end a connection on
// which the caller still sends without cutting off its response.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.quota.mu.Lock()
	c.quota.drop(c)
	if c.lingering {
		c.lingering = false
		c.quota.counts.Lingering--
	}
	c.quota.mu.Unlock()
	return c.Conn.Close()
}

// refusal is the response to a request that is refused before it is read: it was not accepted and
// will not run.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

func (c *Conn) writeRefusal() {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, refusal)
}

// grow has the connection's request take n bytes more, and reports whether it may.
func (c *Conn) grow(n int64) bool {
	if c == nil {
		return true
	}
	return c.Resize(c.Held() + n)
}

// Held returns how many bytes the connection's request takes.
func (c *Conn) Held() int64 {
	if c == nil {
		return 0
	}
	c.quota.mu.Lock()
	defer c.quota.mu.Unlock()
	return c.held
}

// Resize has the connection's request take n bytes in all, and reports whether it may.
func (c *Conn) Resize(n int64) bool { return c == nil || c.quota.resize(c, n) }

// EndHeader says that the header was read and is no longer held.
func (c *Conn) EndHeader() {
	if c != nil {
		c.inHeader.Store(false)
		c.Resize(0)
	}
}

// EndBody says that the request has arrived whole: it is answered, whoever else connects.
func (c *Conn) EndBody() {
	if c == nil {
		return
	}
	c.quota.mu.Lock()
	defer c.quota.mu.Unlock()
	if c.phase == reading {
		c.quota.setPhase(c, serving)
	}
}

// MustAbort reports whether the connection must be closed without waiting for the caller to read the
// answer: its request was answered before it has arrived whole, and all connections are in use.
func (c *Conn) MustAbort() bool {
	if c == nil {
		return false
	}
	q := c.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	usedUp := q.limits.Connections > 0 && q.counts.Connections >= q.limits.Connections
	return c.phase == closed || c.phase == reading && usedUp
}

// endRequest says that the request was answered.
func (c *Conn) endRequest() {
	c.inHeader.Store(true)
	c.quota.mu.Lock()
	defer c.quota.mu.Unlock()
	if c.phase != closed {
		c.quota.setHeld(c, 0)
		c.quota.setPhase(c, idle)
	}
}

// ReadBody reads a body whose announced length is size, -1 if it is unknown. It returns ErrExceeded
// if the pool is used up.
func (c *Conn) ReadBody(r io.Reader, size int64) ([]byte, error) {
	if c == nil {
		return io.ReadAll(r)
	}
	held := c.Held()
	var b []byte
	for {
		if len(b) == cap(b) {
			n := nextBytes(cap(b), size)
			// Both buffers exist while one is copied to the other.
			if !c.Resize(held + int64(cap(b)+n)) {
				return nil, ErrExceeded
			}
			b = append(make([]byte, 0, n), b...)
			c.Resize(held + int64(n))
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// nextBytes returns the size of the next buffer for a body: at first no more than Allowance, then the
// announced length and a byte more, which is needed to find the end, or twice the last one.
func nextBytes(last int, size int64) int {
	switch {
	case size < 0 || int64(last) > size:
		return max(2*last, firstBytes)
	case last == 0:
		return int(min(size+1, Allowance))
	}
	return int(size) + 1
}

// BeginDecoding waits until a body of a length may be decoded, which can take several times its
// length for a moment: large ones one after the other. The result ends it.
func (c *Conn) BeginDecoding(ctx context.Context, size int) (end func(), err error) {
	if c == nil || size <= Allowance {
		return func() {}, nil
	}
	select {
	case c.quota.decoding <- struct{}{}:
		return func() { <-c.quota.decoding }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type connKey struct{}

// FromContext returns the connection of a request's context, or nil if it has no limits.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Attach has a server tell the connections that Accept returned what happens to them, and put them
// into the contexts of their requests.
func Attach(s *http.Server) {
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if conn, ok := c.(*Conn); ok {
			return context.WithValue(ctx, connKey{}, conn)
		}
		return ctx
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		conn, ok := c.(*Conn)
		if !ok {
			return
		}
		switch state {
		case http.StateIdle:
			conn.endRequest()
		case http.StateActive:
			conn.beginRequest()
		}
	}
}

// beginRequest says that a request has begun to arrive. What has come of its header with the last
// one, at most what the server has buffered, was not counted.
func (c *Conn) beginRequest() {
	c.quota.mu.Lock()
	again := c.phase == idle
	if again {
		c.quota.setPhase(c, reading)
	}
	c.quota.mu.Unlock()
	lines := min(c.lines.Swap(0), serverBufferBytes)
	if again && !c.grow(lines*headerLineBytes) {
		c.writeRefusal()
		_ = c.Close()
	}
}
