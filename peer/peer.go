// Package peer carries calls between dispatchers: JSON-RPC 2.0 over TCP, by IP
// number, with TLS where the settings say so.
//
// A call either returns its answer or an error of this layer. ErrNotSent means
// that the peer certainly did not see the call; after ErrLost it may have acted
// on it.
package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Errors of this layer.
var (
	ErrNotSent = errors.New("peer: not connected")
	ErrLost    = errors.New("peer: no answer")
)

// codeFailed is the JSON-RPC code of a handler's own error; its data is the
// error as JSON.
const codeFailed = 1

// Failure is an error that the peer's handler returned.
type Failure struct {
	Message string
	// Data is the error as JSON.
	Data json.RawMessage
}

// Error makes Failure an error.
func (f *Failure) Error() string { return "peer: " + f.Message }

type handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server answers the calls of peers. Its handlers are set before Serve.
type Server struct {
	log      *slog.Logger
	ln       net.Listener
	handlers map[string]handler
	calls    sync.WaitGroup
}

// NewServer makes a server on the listener.
func NewServer(log *slog.Logger, ln net.Listener) *Server {
	return &Server{log: log, ln: ln, handlers: make(map[string]handler)}
}

// Handle sets the handler of a method.
func Handle[P, R any](s *Server, method string, fn func(ctx context.Context, p P) (R, error)) {
	s.handlers[method] = func(ctx context.Context, params json.RawMessage) (any, error) {
		var sealed []byte
		if err := json.Unmarshal(params, &sealed); err != nil {
			return nil, errors.Wrap(err, "peer: parameters")
		}
		var p P
		if err := json.Unmarshal(sealed, &p); err != nil {
			return nil, errors.Wrap(err, "peer: parameters")
		}
		return fn(ctx, p)
	}
}

// Serve accepts connections until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.ln.Close() })
	defer stop()
	for {
		c, err := s.ln.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "peer: accept")
		}
		stream := jsonrpc2.NewBufferedStream(c, jsonrpc2.VarintObjectCodec{})
		jsonrpc2.NewConn(ctx, stream, jsonrpc2.AsyncHandler(counted{s}))
	}
}

// counted answers calls and counts those whose answer is not yet written.
// Without the count, a planned stop closes the connection between the end of a
// forwarded job and the writing of its answer: the caller, who waits at another
// dispatcher, is then told "unknown" although the job is done.
type counted struct{ s *Server }

// Handle answers one call.
func (c counted) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	c.s.calls.Add(1)
	defer c.s.calls.Done()
	jsonrpc2.HandlerWithError(c.s.handle).Handle(ctx, conn, req)
}

// Drain waits until every call that has been read is answered, or ctx ends.
func (s *Server) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.calls.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	h, ok := s.handlers[req.Method]
	if !ok || req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: req.Method}
	}
	out, err := h(ctx, *req.Params)
	if err == nil {
		return out, nil
	}
	e := &jsonrpc2.Error{Code: codeFailed, Message: err.Error()}
	e.SetError(err)
	return nil, e
}

// Dialer holds a connection to each peer that was called.
type Dialer struct {
	tls     *tls.Config
	timeout time.Duration
	open    Dial

	mu    sync.Mutex
	conns map[netip.AddrPort]*jsonrpc2.Conn
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// NewDialer makes a dialer that opens connections by open; a nil config means
// plain TCP.
func NewDialer(cfg *tls.Config, timeout time.Duration, open Dial) *Dialer {
	return &Dialer{tls: cfg, timeout: timeout, open: open, conns: make(map[netip.AddrPort]*jsonrpc2.Conn)}
}

// Call calls a method of the peer at the address, until ctx ends.
//
// The parameters travel as bytes (base64 in JSON): the library decodes a
// request into maps and encodes it again, which sorts the keys and escapes the
// text of a caller's bodies. A body would reach the backend server changed, and
// a resubmission over another dispatcher would no longer match the first.
func Call[R any](ctx context.Context, d *Dialer, to netip.AddrPort, method string, params any) (R, error) {
	var out R
	c, err := d.conn(ctx, to)
	if err != nil {
		return out, errors.Wrapf(ErrNotSent, "%s: %v", to, err)
	}
	sealed, err := seal(params)
	if err != nil {
		return out, errors.Wrapf(ErrNotSent, "%s: %v", method, err)
	}
	err = c.Call(ctx, method, sealed, &out)
	if err == nil {
		return out, nil
	}
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		f := &Failure{Message: e.Message}
		if e.Data != nil {
			f.Data = *e.Data
		}
		return out, f
	}
	return out, errors.Wrapf(ErrLost, "%s: %s: %v", to, method, err)
}

// seal encodes parameters. The encoder must not escape "<" and the like inside
// a caller's body.
func seal(params any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	err := e.Encode(params)
	return b.Bytes(), err
}

func (d *Dialer) conn(ctx context.Context, to netip.AddrPort) (*jsonrpc2.Conn, error) {
	d.mu.Lock()
	c, ok := d.conns[to]
	d.mu.Unlock()
	if ok {
		select {
		case <-c.DisconnectNotify():
		default:
			return c, nil
		}
	}
	return d.dial(ctx, to)
}

func (d *Dialer) dial(ctx context.Context, to netip.AddrPort) (*jsonrpc2.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	nc, err := d.open(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	if d.tls != nil {
		nc = tls.Client(nc, d.tls)
	}
	stream := jsonrpc2.NewBufferedStream(nc, jsonrpc2.VarintObjectCodec{})
	none := jsonrpc2.HandlerWithError(func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no calls this way"}
	})
	c := jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, none)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[to] = c
	return c, nil
}

// Close closes all connections.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		_ = c.Close()
	}
}
