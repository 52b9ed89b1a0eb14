// Package counter is the HTTP interface towards callers.
//
// It knows callers by their tokens, bounds what they send and for how long, and
// turns answers and refusals into HTTP. What happens to a job is decided behind
// the Service interface.
//
// The counter does not own any identity. What it refuses by itself about a
// request that names one is therefore "unknown", never "not run": an earlier
// copy of the same submission may have come over another process and run.
package counter

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"snipehub.example/event"
	"snipehub.example/job"
	"snipehub.example/meter"
	"snipehub.example/refusal"
	"snipehub.example/settings"
	"snipehub.example/ticket"
)

// Service is what stands behind the counter.
type Service interface {
	// Mint makes a ticket for the caller.
	Mint(ctx context.Context, c job.Caller) (job.Grant, error)
	// Submit starts the job or attaches to the one of the same identity. With
	// Wait it answers when the job has ended, or after WaitFor with the state
	// that the job then has.
	Submit(ctx context.Context, s job.Submission) (job.Answer, error)
	// Request runs one request and returns the backend server's answer.
	Request(ctx context.Context, r job.Request) (job.Reply, error)
	// Lookup tells where a job stands.
	Lookup(ctx context.Context, c job.Caller, id ticket.JobID) (job.Answer, error)
	// Await is Lookup, but waits up to d for the job's end.
	Await(ctx context.Context, c job.Caller, id ticket.JobID, d time.Duration) (job.Answer, error)
	// Cancel asks that no more tasks of the job start.
	Cancel(ctx context.Context, c job.Caller, id ticket.JobID) (job.Answer, error)
	// Ready tells whether the balancer should send callers here.
	Ready() bool
	Inspector
}

// Inspector tells operators how things stand.
type Inspector interface {
	// Status is what operators see of this process.
	Status() any
	// StatusAll asks every dispatcher in the roster for its status.
	StatusAll(ctx context.Context) any
}

// Counter is the HTTP handler for callers.
type Counter struct {
	log   *slog.Logger
	cfg   settings.Config
	svc   Service
	meter *meter.Meter
	keys  *keyring
	open  *gate
	mux   *http.ServeMux
	// strangers thins out the events about wrong tokens, which anybody can
	// cause at any rate.
	strangers rate.Sometimes
}

// New makes the handler.
func New(log *slog.Logger, cfg settings.Config, svc Service, m *meter.Meter) *Counter {
	c := &Counter{
		log:       log,
		cfg:       cfg,
		svc:       svc,
		meter:     m,
		keys:      newKeyring(cfg.Callers),
		open:      &gate{requests: cfg.Limits.OpenRequests, bytes: cfg.Limits.OpenBytes},
		mux:       http.NewServeMux(),
		strangers: rate.Sometimes{Interval: time.Second},
	}
	c.mux.HandleFunc("POST /v1/tickets", c.call(c.mint))
	c.mux.HandleFunc("POST /v1/jobs", c.call(c.submitByKey))
	c.mux.HandleFunc("PUT /v1/jobs/{id}", c.call(c.submitByID))
	c.mux.HandleFunc("GET /v1/jobs/{id}", c.call(c.lookup))
	c.mux.HandleFunc("DELETE /v1/jobs/{id}", c.call(c.cancel))
	c.mux.HandleFunc("POST /v1/requests/{kind}", c.call(c.request))
	c.health()
	if !cfg.Listen.Operators.IsValid() {
		c.mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, svc.Status()) })
		c.mux.HandleFunc("GET /metrics", m.ServePublic)
	}
	return c
}

// ServeHTTP makes Counter an http.Handler.
func (c *Counter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t := &tracked{ResponseWriter: w}
	began := time.Now()
	defer c.finish(t, r, began)
	r.Body = http.MaxBytesReader(w, r.Body, c.cfg.Limits.BodyBytes)
	h, pattern := c.mux.Handler(r)
	if pattern == "" {
		c.refuse(t, r, own(r, noSuchPath(t, r, h)))
		return
	}
	c.mux.ServeHTTP(t, r)
}

// finish ends every request: it turns a panic into a refusal, and logs.
//
// When the panic comes after the answer has begun, a refusal written behind it
// would look like a part of the answer. The connection is cut instead, which
// the client sees as an answer that is not whole.
func (c *Counter) finish(t *tracked, r *http.Request, began time.Time) {
	p := recover()
	if p != nil {
		event.RequestPanicked.Log(c.log, "panic", p, "path", r.URL.Path)
		if t.status != 0 {
			panic(http.ErrAbortHandler)
		}
		c.refuse(t, r, refusal.New(refusal.Internal, ""))
	}
	if t.failed != nil {
		event.AnswerNotTaken.Log(c.log, "path", r.URL.Path, "error", t.failed)
	}
	event.RequestAnswered.Log(c.log, "method", r.Method, "path", r.URL.Path, "status", t.status, "took", time.Since(began))
}

// handler serves one call of a known caller. An error becomes a refusal.
type handler func(w http.ResponseWriter, r *http.Request, caller job.Caller) error

// call wraps a handler with what all calls have in common.
func (c *Counter) call(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c.meter.Count(meter.Requests, 1)
		if err := c.serve(w, r, h); err != nil {
			c.refuse(w, r, err)
		}
	}
}

func (c *Counter) serve(w http.ResponseWriter, r *http.Request, h handler) error {
	caller, err := c.caller(r)
	if err != nil {
		return own(r, err)
	}
	if err := c.checkHeader(r.Header); err != nil {
		return own(r, err)
	}
	size := c.held(r)
	n, ok := c.open.enter(size)
	if !ok {
		event.OpenRequestsFull.Log(c.log, "caller", caller.Name)
		return own(r, refusal.New(refusal.Busy, "").After(busyRetryAfter))
	}
	c.meter.Gauge(meter.OpenRequests, float64(n))
	defer func() { c.meter.Gauge(meter.OpenRequests, float64(c.open.leave(size))) }()
	return h(w, r, caller)
}

// busyRetryAfter is when a caller should come back after too many requests
// were open at once.
const busyRetryAfter = time.Second
