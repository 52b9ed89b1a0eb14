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
)

// Catalog returns the routes and pools in force.
func (n *Node) Catalog() *catalog.Catalog { return n.shelf.Current() }

// Stopping tells that the process is about to end, and that callers should look for
// another one after their answer.
func (n *Node) Stopping() bool { return n.stopping.Load() && !n.settling.Load() }

// Submit takes in a job and waits for its answer, or until its caller leaves.
func (n *Node) Submit(ctx context.Context, r entry.Request) entry.Answer {
	n.open.Add(1)
	defer n.open.Add(-1)
	if n.closed.Load() {
		n.meter.CountCode(meter.LeasedJobs, entry.Refused.String(), 1)
		event.JobAnswered.Log(n.log, "job", r.ID, "queue", r.Queue.Name, "status", entry.Refused, "why", closedWord, "age_ms", 0)
		return entry.Answer{Status: entry.Refused, Why: closedWord, After: time.Second}
	}
	answers := make(chan entry.Answer, 1)
	n.mu.Lock()
	n.last++
	w := n.last
	n.waiters[w] = answers
	n.mu.Unlock()
	arrived := time.Now()
	n.do(n.root, func(now time.Time, c *Core) { c.Submit(now, w, r) })
	select {
	case a := <-answers:
		n.meter.CountCode(meter.LeasedJobs, a.Status.String(), 1)
		n.meter.Time(meter.LeasedSeconds, a.Status.String(), r.Queue.Name, time.Since(arrived))
		return a
	case <-ctx.Done():
	case <-n.root.Done():
	}
	n.meter.CountCode(meter.LeasedJobs, entry.Unknown.String(), 1)
	n.mu.Lock()
	delete(n.waiters, w)
	n.mu.Unlock()
	n.do(n.root, func(now time.Time, c *Core) { c.Leave(now, w) })
	return entry.Answer{Status: entry.Unknown, Why: "caller_left"}
}

// closedWord is the reason of a refusal by a process that is about to end.
const closedWord = "process_ends"

func (n *Node) answer(a entry.Answered) {
	n.mu.Lock()
	answers, ok := n.waiters[a.Waiter]
	delete(n.waiters, a.Waiter)
	n.mu.Unlock()
	if ok {
		answers <- a.Answer
	}
}

// State tells of a job.
func (n *Node) State(ctx context.Context, id string) (started bool, answer *entry.Answer, ok bool) {
	type state struct {
		started bool
		answer  *entry.Answer
		ok      bool
	}
	s, _ := ask(ctx, n, func(_ time.Time, c *Core) state {
		started, a, ok := c.State(id)
		return state{started, a, ok}
	})
	return s.started, s.answer, s.ok
}

// Cancel stops a job.
func (n *Node) Cancel(ctx context.Context, id string) bool {
	ok, _ := ask(ctx, n, func(now time.Time, c *Core) bool { return c.Cancel(now, id) })
	return ok
}

// Pending counts the jobs of a queue of which nothing has started.
func (n *Node) Pending(ctx context.Context, queue string) int {
	k, _ := ask(ctx, n, func(_ time.Time, c *Core) int { return c.Pending(queue) })
	return k
}

// Unreadable logs a request that can't be served as it is.
func (n *Node) Unreadable(r *http.Request, why error) {
	event.JobUnreadable.Log(n.log, "method", r.Method, "host", r.Host, "path", r.URL.Path, "error", why)
}

// serveCallers serves callers with the limits of the catalog. When these change,
// new connections are served by a new server; the old one keeps those that it has.
func (n *Node) serveCallers(ctx context.Context) error {
	in := &intake{node: n, handler: n.platform.Callers(n)}
	defer in.servers.Wait()
	context.AfterFunc(ctx, func() { _ = n.ln.callers.Close() })
	for {
		err := in.accept(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if n.settling.Load() {
			n.lastAccepts(func() error { return in.accept(ctx) })
			<-ctx.Done()
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "callers")
		}
	}
}

// intake passes new connections of callers to the server with the limits in force.
type intake struct {
	node    *Node
	handler http.Handler
	servers sync.WaitGroup
	feed    *feed
	limits  catalog.Limits
}

// accept takes in one connection.
func (i *intake) accept(ctx context.Context) error {
	c, err := i.node.ln.callers.Accept()
	if err != nil {
		return err
	}
	if l := i.node.shelf.Current().Limits; i.feed == nil || l != i.limits {
		i.serve(ctx, l)
	}
	i.feed.c <- c
	return nil
}

// serve begins a server with the limits.
func (i *intake) serve(ctx context.Context, l catalog.Limits) {
	n := i.node
	f := newFeed(n.ln.callers.Addr())
	i.feed, i.limits = f, l
	s := &http.Server{
		Handler:           i.handler,
		MaxHeaderBytes:    l.HeaderBytes,
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
	}
	n.mu.Lock()
	n.servers = append(n.servers, s)
	n.mu.Unlock()
	i.servers.Go(func() { _ = s.Serve(f) })
	context.AfterFunc(ctx, func() { _ = s.Close() })
}

// feed is a listener that is handed its connections.
type feed struct {
	addr net.Addr
	c    chan net.Conn
	done chan struct{}
	once sync.Once
}

func newFeed(a net.Addr) *feed {
	return &feed{addr: a, c: make(chan net.Conn), done: make(chan struct{})}
}

// Accept returns the next connection.
func (f *feed) Accept() (net.Conn, error) {
	select {
	case c := <-f.c:
		return c, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (f *feed) Close() error {
	f.once.Do(func() { close(f.done) })
	return nil
}

// Addr returns the address of the real listener.
func (f *feed) Addr() net.Addr { return f.addr }

// unready tells why the balancer should not send callers here, "" if it should.
func (n *Node) unready() string {
	switch {
	case n.stopping.Load():
		return "stopping"
	case n.shelf.Current().Version == 0:
		return "no_catalog"
	case !n.met.Load() && clock.SinceBoot()-n.began < meetFor:
		return "few_members"
	}
	return ""
}

// meetFor is how long a process that has just started may be not ready because it has
// not met the others: it would take somebody for the planner who is not. Processes meet
// within a few hundred milliseconds; one that meets nobody serves alone after this.
const meetFor = 2 * time.Second

// serveReady answers the balancer's question.
func (n *Node) serveReady(ctx context.Context) error {
	last := "starting"
	mux := http.NewServeMux()
	var mu sync.Mutex
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		why := n.unready()
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
	return serveUntil(ctx, n.ln.ready, mux)
}

// serveOperators shows metrics and status.
func (n *Node) serveOperators(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", n.meter)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		s, _ := ask(r.Context(), n, func(now time.Time, c *Core) Status { return c.Status(now) })
		s.Catalog = n.shelf.Current().Version
		s.StoreAge = n.storeAge()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s)
	})
	return serveUntil(ctx, n.ln.operators, mux)
}

func serveUntil(ctx context.Context, ln net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	err := s.Serve(ln)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}
