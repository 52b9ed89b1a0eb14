package node

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/catalog"
	"snipehub.example/clock"
	"snipehub.example/entry"
	"snipehub.example/event"
	"snipehub.example/meter"
	"snipehub.example/peer"
	"snipehub.example/quota"
)

// Catalog returns the routes and pools in force.
func (n *Node) Catalog() *catalog.Catalog { return n.catalogs.Current() }

// Stopping reports whether the process is stopping, so that callers should switch to
// another one after their answer. While the callers' listener is being closed it is
// false, so that answers leave connections open.
func (n *Node) Stopping() bool { return n.stopping.Load() && !n.closingListener.Load() }

// Submit accepts a job and blocks until it has an answer or the caller disconnects.
func (n *Node) Submit(ctx context.Context, r entry.Request) entry.Answer {
	n.openRequests.Add(1)
	defer n.openRequests.Add(-1)
	if n.refusing.Load() {
		n.meter.CountCode(meter.LeasedJobs, entry.Refused.String(), 1)
		event.JobAnswered.Log(n.log, "job", r.ID, "queue", r.Queue.Name, "status", entry.Refused, "why", reasonProcessEnds, "age_ms", 0)
		return entry.Answer{Status: entry.Refused, Why: reasonProcessEnds, RetryAfter: time.Second}
	}
	answers := make(chan entry.Answer, 1)
	n.mu.Lock()
	n.lastWaiter++
	waiter := n.lastWaiter
	n.waiters[waiter] = answers
	n.mu.Unlock()
	arrived := time.Now()
	n.enqueue(n.root, func(now time.Time, c *Core) { c.Submit(now, waiter, r) })
	select {
	case a := <-answers:
		n.meter.CountCode(meter.LeasedJobs, a.Status.String(), 1)
		n.meter.Time(meter.LeasedJobSeconds, a.Status.String(), r.Queue.Name, time.Since(arrived))
		return a
	case <-ctx.Done():
	case <-n.root.Done():
	}
	n.meter.CountCode(meter.LeasedJobs, entry.Unknown.String(), 1)
	n.mu.Lock()
	delete(n.waiters, waiter)
	n.mu.Unlock()
	n.enqueue(n.root, func(now time.Time, c *Core) { c.CallerLeft(now, waiter) })
	return entry.Answer{Status: entry.Unknown, Why: "caller_left"}
}

// reasonProcessEnds is the reason given for jobs that arrive after the process has
// stopped accepting them.
const reasonProcessEnds = "process_ends"

func (n *Node) answer(a entry.CallerAnswer) {
	n.mu.Lock()
	answers, ok := n.waiters[a.Waiter]
	delete(n.waiters, a.Waiter)
	n.mu.Unlock()
	if ok {
		answers <- a.Answer
	}
}

// State returns what this process, or those that it can ask, know of a job.
func (n *Node) State(ctx context.Context, id string) entry.JobState { return n.locate(ctx, id, false) }

// Cancel cancels a job at the process that has it, and returns whether there is one.
func (n *Node) Cancel(ctx context.Context, id string) entry.Knowledge {
	return n.locate(ctx, id, true).Knowledge
}

// locate looks a job up, and cancels it if cancel is set.
func (n *Node) locate(ctx context.Context, id string, cancel bool) entry.JobState {
	n.openRequests.Add(1)
	defer n.openRequests.Add(-1)
	states := make(chan entry.JobState, 1)
	n.mu.Lock()
	n.lastWaiter++
	waiter := n.lastWaiter
	n.located[waiter] = states
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.located, waiter)
		n.mu.Unlock()
	}()
	n.enqueue(n.root, func(now time.Time, c *Core) { c.Locate(now, waiter, id, cancel) })
	var s entry.JobState
	select {
	case s = <-states:
	case <-ctx.Done():
	case <-n.root.Done():
	}
	n.meter.CountCode(meter.JobsLocated, s.Knowledge.String(), 1)
	return s
}

// deliverLocated passes the result of a lookup to the request that waits for it.
func (n *Node) deliverLocated(l Located) {
	n.mu.Lock()
	states, ok := n.located[l.Waiter]
	n.mu.Unlock()
	if ok {
		states <- l.State
	}
}

// Pending returns the number of jobs of a queue of which nothing has started.
func (n *Node) Pending(ctx context.Context, queue string) int {
	count, _ := query(ctx, n, func(_ time.Time, c *Core) int { return c.Pending(queue) })
	return count
}

// Unreadable logs a request that could not be read as a job.
func (n *Node) Unreadable(r *http.Request, why error) {
	event.JobUnreadable.Log(n.log, "method", r.Method, "host", r.Host, "path", r.URL.Path, "error", why)
}

// serveCallers serves callers under the limits of the catalog. When these change, a new
// server takes the new connections, and the old one keeps the connections that it has.
func (n *Node) serveCallers(ctx context.Context) error {
	acceptor := &callerAcceptor{node: n, handler: n.platform.Callers(n)}
	defer acceptor.servers.Wait()
	context.AfterFunc(ctx, func() { _ = n.ln.callers.Close() })
	for {
		err := acceptor.accept(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if n.closingListener.Load() {
			n.drainBacklog(func() error { return acceptor.accept(ctx) })
			<-ctx.Done()
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "callers")
		}
	}
}

// callerAcceptor passes new caller connections to the server that has the limits in
// force.
type callerAcceptor struct {
	node         *Node
	handler      http.Handler
	servers      sync.WaitGroup
	connListener *connListener
	limits       catalog.Limits
}

// accept accepts one connection and passes it to the current server.
func (a *callerAcceptor) accept(ctx context.Context) error {
	c, err := peer.Accept(ctx, a.node.ln.callers, func(err error) { event.AcceptFailed.Log(a.node.log, "listener", "callers", "error", err) })
	if err != nil {
		return err
	}
	if l := a.node.catalogs.Current().Limits; a.connListener == nil || l != a.limits {
		a.startServer(ctx, l)
	}
	if conn := a.node.quota.Accept(c); conn != nil {
		a.connListener.conns <- conn
	}
	return nil
}

// startServer starts a server with the given limits and makes it the current one.
func (a *callerAcceptor) startServer(ctx context.Context, l catalog.Limits) {
	n := a.node
	ln := newConnListener(n.ln.callers.Addr())
	a.connListener, a.limits = ln, l
	s := &http.Server{
		Handler:           a.handler,
		MaxHeaderBytes:    l.HeaderBytes,
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
	}
	quota.Attach(s)
	n.mu.Lock()
	n.servers = append(n.servers, s)
	n.mu.Unlock()
	a.servers.Go(func() { _ = s.Serve(ln) })
	context.AfterFunc(ctx, func() { _ = s.Close() })
}

// connListener is a net.Listener whose connections arrive over a channel.
type connListener struct {
	addr  net.Addr
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newConnListener(a net.Addr) *connListener {
	return &connListener{addr: a, conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept returns the next connection.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns the address of the listener that accepted the connections.
func (l *connListener) Addr() net.Addr { return l.addr }

// notReadyReason returns why the load balancer should not send callers here, or "" if it
// should.
func (n *Node) notReadyReason() string {
	switch {
	case n.stopping.Load():
		return "stopping"
	case n.catalogs.Current().Version == 0:
		return "no_catalog"
	case !n.quorum.Load() && clock.SinceBoot()-n.startedAt < quorumGracePeriod:
		return "few_members"
	}
	return ""
}

// quorumGracePeriod is how long a process that has just started may report itself not
// ready because it has no quorum yet: until it has connected to the others, it could
// elect the wrong planner. Processes connect within a few hundred milliseconds; one that
// finds no other serves alone after this period.
const quorumGracePeriod = 2 * time.Second

// serveReady serves the readiness check of the load balancer.
func (n *Node) serveReady(ctx context.Context) error {
	last := "starting"
	mux := http.NewServeMux()
	var mu sync.Mutex
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		why := n.notReadyReason()
		mu.Lock()
		changed := why != last
		last = why
		mu.Unlock()
		if changed && why == "" {
			event.NodeReady.Log(n.log)
		}
		if why != "" {
			if changed {
				event.NodeNotReady.Log(n.log, "why", why)
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return serveHTTP(ctx, n.ln.ready, mux)
}

// serveOperators serves metrics and status.
func (n *Node) serveOperators(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.meter)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		s, _ := query(r.Context(), n, func(now time.Time, c *Core) Status { return c.Status(now) })
		s.Catalog = n.catalogs.Current().Version
		s.StoreAge = n.storeAge()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s)
	})
	return serveHTTP(ctx, n.ln.operators, mux)
}

func serveHTTP(ctx context.Context, ln net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	err := s.Serve(ln)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}
