package counter

import (
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/job"
	"snipehub.example/meter"
	"snipehub.example/refusal"
)

// HeaderRefusal carries the code of a refusal. It distinguishes a refusal of the
// dispatcher from a backend server's answer that is passed through.
const HeaderRefusal = "Snipe-Refusal"

// decode reads the body as a single JSON value. Unknown fields and trailing data are errors.
func (c *Counter) decode(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return bodyRefusal(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return refusal.New(refusal.BadRequest, "something follows the JSON value")
	}
	return nil
}

// bodyRefusal converts an error of reading or decoding a body to a refusal.
func bodyRefusal(err error) error {
	var tooLarge *http.MaxBytesError
	var netErr net.Error
	switch {
	case errors.As(err, &tooLarge):
		return refusal.New(refusal.TooLarge, "the body")
	case errors.As(err, &netErr) && netErr.Timeout():
		return refusal.New(refusal.TooSlow, "")
	}
	return refusal.New(refusal.BadRequest, err.Error())
}

func (c *Counter) writeAnswer(w http.ResponseWriter, a job.Answer) {
	status := http.StatusOK
	if a.State == job.Running {
		status = http.StatusAccepted
	}
	c.beginWrite(w)
	writeJSON(w, status, a)
}

// beginWrite sets the write deadline of the answer. The server's WriteTimeout starts
// with the request's header and would cut off a caller who waits for a long job.
// Without any deadline, a caller who reads a byte now and then would hold the answer,
// the connection and a goroutine forever.
func (c *Counter) beginWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(c.cfg.Limits.WriteTimeout.D()))
}

func (c *Counter) refuse(w http.ResponseWriter, r *http.Request, err error) {
	var ref *refusal.Refusal
	if !errors.As(err, &ref) {
		ref = refusal.New(refusal.Internal, "")
	}
	c.meter.CountCode(meter.Refusals, string(ref.Code), 1)
	c.beginWrite(w)
	writeRefusal(w, ref)
}

func writeRefusal(w http.ResponseWriter, ref *refusal.Refusal) {
	if ref.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(ref.RetryAfterMS)/1000))))
	}
	if ref.Code == refusal.Unauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.Header().Set(HeaderRefusal, string(ref.Code))
	writeJSON(w, ref.Status(), ref)
}

// writeJSON writes the value with a Content-Length, so that the client detects a
// truncated answer.
func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ref := refusal.New(refusal.Internal, "the answer could not be written")
		status = ref.Status()
		b, _ = json.Marshal(ref)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n'))
}

// muxRefusal converts the plain text error of the mux, 404 or 405, to a refusal. h is the
// mux's handler that writes this error.
func muxRefusal(w http.ResponseWriter, r *http.Request, h http.Handler) error {
	rec := headerRecorder{header: make(http.Header)}
	h.ServeHTTP(&rec, r)
	if rec.status != http.StatusMethodNotAllowed {
		return refusal.New(refusal.NoPath, "")
	}
	allow := rec.header.Get("Allow")
	w.Header().Set("Allow", allow)
	return refusal.New(refusal.NoMethod, "allowed: "+allow)
}

// headerRecorder is an http.ResponseWriter that records status and header of an answer
// and discards its body.
type headerRecorder struct {
	header http.Header
	status int
}

// Header returns the recorded header.
func (rec *headerRecorder) Header() http.Header { return rec.header }

// WriteHeader records the status.
func (rec *headerRecorder) WriteHeader(status int) { rec.status = status }

// Write discards b.
func (rec *headerRecorder) Write(b []byte) (int, error) { return len(b), nil }

// responseTracker records the status of an answer and the first error of writing it.
type responseTracker struct {
	http.ResponseWriter
	status   int
	writeErr error
}

// Unwrap gives http.ResponseController access to the connection.
func (t *responseTracker) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// WriteHeader records the first status.
func (t *responseTracker) WriteHeader(status int) {
	if t.status == 0 {
		t.status = status
	}
	t.ResponseWriter.WriteHeader(status)
}

// Write records the first error, and the status 200 if none has been set.
func (t *responseTracker) Write(b []byte) (int, error) {
	if t.status == 0 {
		t.status = http.StatusOK
	}
	n, err := t.ResponseWriter.Write(b)
	if err != nil && t.writeErr == nil {
		t.writeErr = err
	}
	return n, err
}
