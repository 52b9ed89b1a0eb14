package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"snipehub.example/event"
)

const (
	// maxConcurrentCalls bounds the calls that are handled at once.
	maxConcurrentCalls = 16384
	// answerWriteTimeout bounds each write of an answer to a slow peer.
	answerWriteTimeout = 10 * time.Second
	// defaultHandshakeTimeout bounds the TLS handshake of a connection.
	defaultHandshakeTimeout = 10 * time.Second
)

type handler func(ctx context.Context, params json.RawMessage) (any, error)

// Server answers the calls of peers. All handlers must be set before Serve.
type Server struct {
	log      *slog.Logger
	ln       net.Listener
	handlers map[string]handler
	inFlight inFlight
	// handshakeTimeout is defaultHandshakeTimeout, or less in tests.
	handshakeTimeout time.Duration
}

// NewServer returns a server on the listener.
func NewServer(log *slog.Logger, ln net.Listener) *Server {
	return &Server{log: log, ln: ln, handlers: make(map[string]handler), inFlight: inFlight{limit: maxConcurrentCalls}, handshakeTimeout: defaultHandshakeTimeout}
}

// Handle sets the handler of a method. Call encodes the parameters to bytes, so they
// are decoded twice.
func Handle[P, R any](s *Server, method string, fn func(ctx context.Context, p P) (R, error)) {
	s.handlers[method] = func(ctx context.Context, params json.RawMessage) (any, error) {
		var encoded []byte
		if err := json.Unmarshal(params, &encoded); err != nil {
			return nil, errors.Wrap(err, "peer: parameters")
		}
		var p P
		if err := json.Unmarshal(encoded, &p); err != nil {
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
		c, err := Accept(ctx, s.ln, func(err error) { event.AcceptFailed.Log(s.log, "listener", "peers", "error", err) })
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "peer: accept")
		}
		go s.serveConn(ctx, c)
	}
}

// serveConn answers the calls of a connection after its TLS handshake. The handshake has
// a timeout; otherwise anyone who reaches the port could hold connections and goroutines
// without a certificate until the process runs out of descriptors. After the handshake
// a connection may be silent; its dialer closes it when idle.
func (s *Server) serveConn(ctx context.Context, c net.Conn) {
	if t, ok := c.(*tls.Conn); ok {
		handshakeCtx, cancel := context.WithTimeout(ctx, s.handshakeTimeout)
		err := t.HandshakeContext(handshakeCtx)
		cancel()
		if err != nil {
			event.PeerRefused.Log(s.log, "address", c.RemoteAddr(), "error", err)
			_ = c.Close()
			return
		}
	}
	jsonrpc2.NewConn(ctx, newStream(c, answerWriteTimeout), countingHandler{s})
}

// countingHandler answers calls and counts those whose answer is not yet written. Without
// the count, a planned stop could close the connection after a forwarded job ended and
// before its answer is written: the caller, who waits at another dispatcher, would get
// "unknown" although the job is done. The goroutine that reads a call counts it, so Drain
// can't miss a call that was read.
type countingHandler struct{ s *Server }

// Handle answers one call in its own goroutine.
func (c countingHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !c.s.inFlight.begin() {
		e := &jsonrpc2.Error{Code: codeRefused, Message: "stopped, or too many calls"}
		_ = conn.ReplyWithError(ctx, req.ID, e)
		return
	}
	go func() {
		defer c.s.inFlight.end()
		jsonrpc2.HandlerWithError(c.s.handle).Handle(ctx, conn, req)
	}()
}

// Drain waits until every call that has been read is answered, or ctx ends.
// Calls that are read later are refused.
func (s *Server) Drain(ctx context.Context) {
	select {
	case <-s.inFlight.drained():
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

// inFlight counts the calls being handled. A sync.WaitGroup does not fit: a call may
// begin while Drain waits, and WaitGroup forbids that while its count is 0.
type inFlight struct {
	limit int

	mu sync.Mutex
	n  int
	// drainDone is set when draining begins and closed when no call is left; stopped is
	// set from then on and refuses new calls.
	drainDone chan struct{}
	stopped   bool
}

// begin counts a call. It returns false if the call must be refused.
func (c *inFlight) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped || c.n >= c.limit {
		return false
	}
	c.n++
	return true
}

func (c *inFlight) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n--
	c.closeIfDrained()
}

// drained returns a channel that is closed when no call is in flight. Until then new
// calls are accepted, since peers ask about the jobs that are still running.
func (c *inFlight) drained() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drainDone == nil {
		c.drainDone = make(chan struct{})
		c.closeIfDrained()
	}
	return c.drainDone
}

func (c *inFlight) closeIfDrained() {
	if c.drainDone != nil && c.n == 0 && !c.stopped {
		c.stopped = true
		close(c.drainDone)
	}
}
