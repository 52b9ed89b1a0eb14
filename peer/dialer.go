package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// idleTimeout is how long a connection must be without calls until it may be closed,
// which happens when a peer without a connection is called. Heartbeats go to random
// members, so a process would otherwise end up with a connection to each of thousands.
const idleTimeout = time.Minute

// Dialer holds a connection to each peer that was called recently.
type Dialer struct {
	tls     *tls.Config
	timeout time.Duration
	open    DialFunc

	mu    sync.Mutex
	links map[netip.AddrPort]*link
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// link is the connection to one peer.
type link struct {
	// dialSlot is held while the connection is opened, so that only one is opened.
	dialSlot chan struct{}
	// writeSlot is held while a call is written. Callers wait for it rather than for
	// the library's mutex, since waiting for a mutex can't be cancelled.
	writeSlot chan struct{}
	// conn, activeCalls and lastUsed are guarded by the dialer's mutex.
	conn        *jsonrpc2.Conn
	activeCalls int
	lastUsed    time.Time
}

// NewDialer returns a dialer that opens connections with open; a nil config means
// plain TCP. The timeout bounds the opening of a connection, and each write.
func NewDialer(cfg *tls.Config, timeout time.Duration, open DialFunc) *Dialer {
	return &Dialer{tls: cfg, timeout: timeout, open: open, links: make(map[netip.AddrPort]*link)}
}

// Call calls a method of the peer at the address. It returns when ctx ends at the latest.
//
// The parameters are sent as bytes (base64 in JSON): the library decodes a request
// into maps and encodes it again, which sorts the keys and escapes the text of a
// caller's body. The body would reach the backend server changed, and a resubmission
// through another dispatcher would no longer match the first.
func Call[R any](ctx context.Context, d *Dialer, to netip.AddrPort, method string, params any) (R, error) {
	var out R
	encoded, err := encodeParams(params)
	if err != nil {
		return out, errors.Wrapf(ErrNotSent, "%s: %v", method, err)
	}
	answer, err := d.call(ctx, to, method, encoded)
	if err != nil {
		return out, err
	}
	if err := json.Unmarshal(answer, &out); err != nil {
		return out, errors.Wrapf(ErrLost, "%s: %s: %v", to, method, err)
	}
	return out, nil
}

// call makes the call. If the write fails on a connection that was already open, it
// retries on a new one: the peer may have restarted in the meantime, and it can't have
// read a call that was not written completely.
func (d *Dialer) call(ctx context.Context, to netip.AddrPort, method string, encoded []byte) (json.RawMessage, error) {
	for {
		l, c, justDialed, err := d.acquire(ctx, to)
		if err != nil {
			return nil, errors.Wrapf(ErrNotSent, "%s: %v", to, err)
		}
		r := d.exchange(ctx, l, c, method, encoded)
		if !r.writeFailed || justDialed || ctx.Err() != nil {
			return r.answer, r.err
		}
	}
}

type reply struct {
	answer json.RawMessage
	err    error
	// writeFailed is set if the connection failed while the call was written.
	writeFailed bool
}

// exchange writes the call and waits for its answer. The library ignores ctx while it
// writes, so this is done in a goroutine, whose write ends within the write timeout.
func (d *Dialer) exchange(ctx context.Context, l *link, c *jsonrpc2.Conn, method string, encoded []byte) reply {
	select {
	case l.writeSlot <- struct{}{}:
	case <-ctx.Done():
		d.release(l)
		return reply{err: errors.Wrapf(ErrNotSent, "%s: %v", method, ctx.Err())}
	}
	replies := make(chan reply, 1)
	go func() {
		defer d.release(l)
		w, err := c.DispatchCall(ctx, method, encoded)
		<-l.writeSlot
		replies <- awaitReply(ctx, c, w, err)
	}()
	select {
	case r := <-replies:
		return r
	case <-ctx.Done():
		return reply{err: errors.Wrapf(ErrLost, "%s: %v", method, ctx.Err())}
	}
}

// awaitReply waits for the answer to a call that was dispatched with the result w, err.
func awaitReply(ctx context.Context, c *jsonrpc2.Conn, w jsonrpc2.Waiter, err error) reply {
	switch {
	case errors.Is(err, errFrameTooLarge):
		return reply{err: errors.Wrap(ErrNotSent, err.Error())}
	case err != nil:
		// The frame was not written completely, so the peer can't have read it. The
		// connection is closed, since the peer could not find the start of the next frame.
		_ = c.Close()
		return reply{err: errors.Wrap(ErrNotSent, err.Error()), writeFailed: true}
	}
	var r reply
	r.err = convertError(w.Wait(ctx, &r.answer))
	return r
}

// convertError converts an error of the library to one of this layer.
func convertError(err error) error {
	var e *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case !errors.As(err, &e):
		return errors.Wrap(ErrLost, err.Error())
	case e.Code == codeRefused:
		return errors.Wrap(ErrNotSent, e.Message)
	}
	f := &Failure{Message: e.Message}
	if e.Data != nil {
		f.Data = *e.Data
	}
	return f
}

// acquire returns the connection to the peer and whether this call opened it.
func (d *Dialer) acquire(ctx context.Context, to netip.AddrPort) (*link, *jsonrpc2.Conn, bool, error) {
	l := d.link(to)
	select {
	case l.dialSlot <- struct{}{}:
	case <-ctx.Done():
		d.release(l)
		return nil, nil, false, ctx.Err()
	}
	defer func() { <-l.dialSlot }()
	d.mu.Lock()
	c := l.conn
	d.mu.Unlock()
	if c != nil && !closed(c) {
		return l, c, false, nil
	}
	c, err := d.dial(ctx, to)
	if err != nil {
		d.release(l)
		return nil, nil, false, err
	}
	d.mu.Lock()
	l.conn = c
	d.mu.Unlock()
	return l, c, true, nil
}

// link returns the link to the peer and counts a call on it. Before it adds a link it
// drops the idle ones.
func (d *Dialer) link(to netip.AddrPort) *link {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.links[to]
	if !ok {
		d.dropIdle(time.Now())
		l = &link{dialSlot: make(chan struct{}, 1), writeSlot: make(chan struct{}, 1)}
		d.links[to] = l
	}
	l.activeCalls++
	return l
}

func (d *Dialer) dropIdle(now time.Time) {
	for a, l := range d.links {
		if l.activeCalls > 0 || now.Sub(l.lastUsed) < idleTimeout {
			continue
		}
		if l.conn != nil {
			_ = l.conn.Close()
		}
		delete(d.links, a)
	}
}

func (d *Dialer) release(l *link) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l.activeCalls--
	l.lastUsed = time.Now()
}

func closed(c *jsonrpc2.Conn) bool {
	select {
	case <-c.DisconnectNotify():
		return true
	default:
		return false
	}
}

func (d *Dialer) dial(ctx context.Context, to netip.AddrPort) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	nc, err := d.open(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	if d.tls != nil {
		c := tls.Client(nc, d.tls)
		if err := c.HandshakeContext(ctx); err != nil {
			_ = nc.Close()
			return nil, err
		}
		nc = c
	}
	rejectCalls := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no calls this way"}
	})
	return jsonrpc2.NewConn(context.WithoutCancel(ctx), newStream(nc, d.timeout), rejectCalls), nil
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range d.links {
		if l.conn != nil {
			_ = l.conn.Close()
		}
	}
}
