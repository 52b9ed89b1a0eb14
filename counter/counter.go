// Package counter is the HTTP interface towards callers.
//
// It knows callers by their tokens, bounds what they send, and turns answers
// and refusals into HTTP. What happens to a job is decided behind the Service
// interface.
package counter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/event"
	"snipehub.example/job"
	"snipehub.example/meter"
	"snipehub.example/refusal"
	"snipehub.example/settings"
	"snipehub.example/ticket"
)

// Service is what stands behind the counter.
type Service interface {
	Mint(ctx context.Context, c job.Caller) (job.Grant, error)
	Submit(ctx context.Context, s job.Submission) (job.Answer, error)
	Request(ctx context.Context, r job.Request) (job.Reply, error)
	Lookup(ctx context.Context, c job.Caller, id ticket.JobID) (job.Answer, error)
	Cancel(ctx context.Context, c job.Caller, id ticket.JobID) (job.Answer, error)
	// Ready tells whether the balancer should send callers here.
	Ready() bool
	// Status is what operators see of this process.
	Status() any
}

// Counter is the HTTP handler.
type Counter struct {
	log    *slog.Logger
	cfg    settings.Config
	svc    Service
	meter  *meter.Meter
	tokens map[string]job.Caller
	mux    *http.ServeMux
}

// anyone is the caller that all are when the settings leave callers open.
const anyone = "anyone"

// New makes the handler.
func New(log *slog.Logger, cfg settings.Config, svc Service, m *meter.Meter) *Counter {
	c := &Counter{log: log, cfg: cfg, svc: svc, meter: m, tokens: make(map[string]job.Caller), mux: http.NewServeMux()}
	for _, t := range cfg.Callers.Tokens {
		c.tokens[strings.ToLower(t.SHA256)] = job.Caller{Name: t.Caller, Team: t.Team}
	}
	c.mux.HandleFunc("POST /v1/tickets", c.authed(c.mint))
	c.mux.HandleFunc("PUT /v1/jobs/{id}", c.authed(c.submit))
	c.mux.HandleFunc("GET /v1/jobs/{id}", c.authed(c.lookup))
	c.mux.HandleFunc("DELETE /v1/jobs/{id}", c.authed(c.cancel))
	c.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	c.mux.HandleFunc("GET /readyz", c.ready)
	c.mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, svc.Status()) })
	c.mux.Handle("GET /metrics", m)
	return c
}

// ServeHTTP makes Counter an http.Handler.
func (c *Counter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		if p := recover(); p != nil {
			event.RequestPanicked.Log(c.log, "panic", p, "path", r.URL.Path)
			writeRefusal(w, refusal.New(refusal.Internal, ""))
		}
	}()
	r.Body = http.MaxBytesReader(w, r.Body, c.cfg.Limits.BodyBytes)
	c.mux.ServeHTTP(w, r)
}

type callerHandler func(w http.ResponseWriter, r *http.Request, caller job.Caller) error

func (c *Counter) authed(h callerHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c.meter.Count(meter.Requests, 1)
		caller, err := c.caller(r)
		if err == nil {
			err = h(w, r, caller)
		}
		if err != nil {
			writeRefusal(w, err)
		}
	}
}

func (c *Counter) caller(r *http.Request) (job.Caller, error) {
	if c.cfg.Callers.Open {
		return job.Caller{Name: anyone}, nil
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return job.Caller{}, refusal.New(refusal.Unauthorized, "")
	}
	h := sha256.Sum256([]byte(token))
	caller, ok := c.tokens[hex.EncodeToString(h[:])]
	if !ok {
		return job.Caller{}, refusal.New(refusal.Unauthorized, "")
	}
	return caller, nil
}

func (c *Counter) mint(w http.ResponseWriter, r *http.Request, caller job.Caller) error {
	g, err := c.svc.Mint(r.Context(), caller)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusCreated, g)
	return nil
}

func (c *Counter) submit(w http.ResponseWriter, r *http.Request, caller job.Caller) error {
	began := time.Now()
	id, err := jobID(r)
	if err != nil {
		return err
	}
	s := job.Submission{Caller: caller, ID: id, Wait: r.Header.Get("Prefer") != "respond-async"}
	if err := c.decode(r, &s.Spec); err != nil {
		return err
	}
	switch n := len(s.Spec.Tasks); {
	case n == 0:
		return refusal.New(refusal.BadRequest, "tasks is empty")
	case n > c.cfg.Limits.JobTasks:
		return refusal.New(refusal.TooLarge, "more than "+strconv.Itoa(c.cfg.Limits.JobTasks)+" tasks")
	}
	a, err := c.svc.Submit(r.Context(), s)
	if err != nil {
		return err
	}
	c.meter.Time(meter.JobSeconds, caller.Name, s.Spec.Kind, time.Since(began))
	writeAnswer(w, a)
	return nil
}

func (c *Counter) lookup(w http.ResponseWriter, r *http.Request, caller job.Caller) error {
	return c.byID(w, r, caller, c.svc.Lookup)
}

func (c *Counter) cancel(w http.ResponseWriter, r *http.Request, caller job.Caller) error {
	return c.byID(w, r, caller, c.svc.Cancel)
}

func (c *Counter) byID(w http.ResponseWriter, r *http.Request, caller job.Caller,
	do func(context.Context, job.Caller, ticket.JobID) (job.Answer, error),
) error {
	id, err := jobID(r)
	if err != nil {
		return err
	}
	a, err := do(r.Context(), caller, id)
	if err != nil {
		return err
	}
	writeAnswer(w, a)
	return nil
}

func (c *Counter) ready(w http.ResponseWriter, _ *http.Request) {
	if !c.svc.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "not ready\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (c *Counter) decode(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refusal.New(refusal.TooLarge, "the body")
	case err != nil:
		return refusal.New(refusal.BadRequest, err.Error())
	}
	if d.More() {
		return refusal.New(refusal.BadRequest, "something follows the JSON value")
	}
	return nil
}

func jobID(r *http.Request) (ticket.JobID, error) {
	id, err := ticket.ParseJobID(r.PathValue("id"))
	if err != nil {
		return id, refusal.New(refusal.NotFound, "malformed id")
	}
	return id, nil
}

func writeAnswer(w http.ResponseWriter, a job.Answer) {
	status := http.StatusOK
	if a.State == job.Queued {
		status = http.StatusAccepted
	}
	writeJSON(w, status, a)
}

func writeRefusal(w http.ResponseWriter, err error) {
	var r *refusal.Refusal
	if !errors.As(err, &r) {
		r = refusal.New(refusal.Internal, "")
	}
	if r.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(r.RetryAfterMS)/1000))))
	}
	writeJSON(w, r.Status(), r)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status = http.StatusInternalServerError
		b = []byte(`{"code":"internal","sentence":"the answer could not be written","ran":"unknown","again":"same"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n'))
}
