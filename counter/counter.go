// Package counter is the HTTP interface for callers.
//
// It authenticates callers by their tokens, limits the size and duration of their
// requests, and converts answers and refusals to HTTP. The Service interface decides
// what happens to a job.
//
// The identity of a job or request is a job id or the caller's own key. Only its owner, one
// dispatcher process, may start anything for it. The counter does not own any identity. If it
// refuses a request that names one, the refusal therefore says that the outcome is unknown,
// not "not run": an earlier copy of the same submission may have arrived through another
// process and run. The exception is a malformed key, which no process accepts.
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

// Service processes the calls that the counter accepts.
type Service interface {
	// Mint issues a ticket to the caller.
	Mint(ctx context.Context, c job.Caller) (job.Grant, error)
	// Submit starts the job, or attaches to the job with the same identity. If Wait is
	// set, it returns when the job has ended, or after WaitFor with the job's state
	// at that time.
	Submit(ctx context.Context, s job.Submission) (job.Answer, error)
	// Request runs one request and returns the backend server's answer.
	Request(ctx context.Context, r job.Request) (job.Reply, error)
	// Lookup returns the state of a job.
	Lookup(ctx context.Context, c job.Caller, id ticket.JobID) (job.Answer, error)
	// Await is like Lookup, but waits up to d for the job to end.
	Await(ctx context.Context, c job.Caller, id ticket.JobID, d time.Duration) (job.Answer, error)
	// Cancel requests that no more tasks of the job start.
	Cancel(ctx context.Context, c job.Caller, id ticket.JobID) (job.Answer, error)
	// Ready reports whether the load balancer should send callers to this process.
	Ready() bool
	Inspector
}

// Inspector provides status reports for operators.
type Inspector interface {
	// Status returns the status of this process.
	Status() any
	// StatusAll requests the status of every dispatcher in the roster.
	StatusAll(ctx context.Context) any
}

// Counter is the HTTP handler for callers.
type Counter struct {
	log     *slog.Logger
	cfg     settings.Config
	svc     Service
	meter   *meter.Meter
	tokens  *tokenStore
	limiter *requestLimiter
	mux     *http.ServeMux
	// tokenLogLimit limits the rate of events about wrong tokens, which anyone can
	// cause at any rate.
	tokenLogLimit rate.Sometimes
}

// New returns a handler for callers that passes their calls to svc.
func New(log *slog.Logger, cfg settings.Config, svc Service, m *meter.Meter) *Counter {
	c := &Counter{
		log:           log,
		cfg:           cfg,
		svc:           svc,
		meter:         m,
		tokens:        newTokenStore(cfg.Callers),
		limiter:       &requestLimiter{maxRequests: cfg.Limits.OpenRequests, maxBytes: cfg.Limits.OpenBytes},
		mux:           http.NewServeMux(),
		tokenLogLimit: rate.Sometimes{Interval: time.Second},
	}
	c.mux.HandleFunc("POST /v1/tickets", c.wrap(c.mint))
	c.mux.HandleFunc("POST /v1/jobs", c.wrap(c.submitByKey))
	c.mux.HandleFunc("PUT /v1/jobs/{id}", c.wrap(c.submitByID))
	c.mux.HandleFunc("GET /v1/jobs/{id}", c.wrap(c.lookup))
	c.mux.HandleFunc("DELETE /v1/jobs/{id}", c.wrap(c.cancel))
	c.mux.HandleFunc("POST /v1/requests/{kind}", c.wrap(c.request))
	c.registerHealth()
	if !cfg.Listen.Operators.IsValid() {
		c.mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, svc.Status()) })
		c.mux.HandleFunc("GET /metrics", m.ServePublic)
	}
	return c
}

// ServeHTTP implements http.Handler.
func (c *Counter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t := &responseTracker{ResponseWriter: w}
	start := time.Now()
	defer c.finish(t, r, start)
	r.Body = http.MaxBytesReader(w, r.Body, c.cfg.Limits.BodyBytes)
	h, pattern := c.mux.Handler(r)
	if pattern == "" {
		c.refuse(t, r, qualifyRefusal(r, muxRefusal(t, r, h)))
		return
	}
	c.mux.ServeHTTP(t, r)
}

// finish runs at the end of every request. It converts a panic to a refusal, and logs the
// request.
//
// If the panic occurs after the answer has begun, a refusal written after it would look
// like a part of the answer. The connection is aborted instead, which the client sees as a
// truncated answer.
func (c *Counter) finish(t *responseTracker, r *http.Request, start time.Time) {
	p := recover()
	if p != nil {
		event.RequestPanicked.Log(c.log, "panic", p, "path", r.URL.Path)
		if t.status != 0 {
			panic(http.ErrAbortHandler)
		}
		c.refuse(t, r, refusal.New(refusal.Internal, ""))
	}
	if t.writeErr != nil {
		event.AnswerNotTaken.Log(c.log, "path", r.URL.Path, "error", t.writeErr)
	}
	event.RequestAnswered.Log(c.log, "method", r.Method, "path", r.URL.Path, "status", t.status, "took", time.Since(start))
}

// callHandler serves one call of an authenticated caller. A returned error becomes a
// refusal.
type callHandler func(w http.ResponseWriter, r *http.Request, caller job.Caller) error

// wrap adds to a handler what all calls have in common: authentication, limits, the count
// of requests, and refusals for errors.
func (c *Counter) wrap(h callHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c.meter.Count(meter.Requests, 1)
		if err := c.serve(w, r, h); err != nil {
			c.refuse(w, r, err)
		}
	}
}

func (c *Counter) serve(w http.ResponseWriter, r *http.Request, h callHandler) error {
	caller, err := c.caller(r)
	if err != nil {
		return qualifyRefusal(r, err)
	}
	if err := c.checkHeader(r.Header); err != nil {
		return qualifyRefusal(r, err)
	}
	size := c.maxBodySize(r)
	open, ok := c.limiter.acquire(size)
	if !ok {
		event.OpenRequestsFull.Log(c.log, "caller", caller.Name)
		return qualifyRefusal(r, refusal.New(refusal.Busy, "").WithRetryAfter(busyRetryAfter))
	}
	c.meter.Gauge(meter.OpenRequests, float64(open))
	defer func() { c.meter.Gauge(meter.OpenRequests, float64(c.limiter.release(size))) }()
	return h(w, r, caller)
}

// busyRetryAfter is the Retry-After of a request that is refused because too many
// requests are open.
const busyRetryAfter = time.Second
