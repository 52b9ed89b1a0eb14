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

// HeaderRefusal carries the code of a refusal. It tells a refusal of the
// system's own from a backend server's answer that was passed through.
const HeaderRefusal = "Snipe-Refusal"

// decode reads one JSON value with no unknown fields and nothing behind it.
func (c *Counter) decode(r *http.Request, v any) error {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return unread(err)
	}
	if _, err := d.Token(); err != io.EOF {
		return refusal.New(refusal.BadRequest, "something follows the JSON value")
	}
	return nil
}

// unread turns an error of reading or decoding a body into a refusal.
func unread(err error) error {
	var tooLarge *http.MaxBytesError
	var slow net.Error
	switch {
	case errors.As(err, &tooLarge):
		return refusal.New(refusal.TooLarge, "the body")
	case errors.As(err, &slow) && slow.Timeout():
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

// beginWrite gives the answer its own time. The server's WriteTimeout counts
// from the request's header on and would cut a caller who waits for a long job;
// without any, a caller who reads a byte now and then holds the answer, the
// connection and a goroutine for ever.
func (c *Counter) beginWrite(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(c.cfg.Limits.WriteTimeout.D()))
}

func (c *Counter) refuse(w http.ResponseWriter, r *http.Request, err error) {
	var f *refusal.Refusal
	if !errors.As(err, &f) {
		f = refusal.New(refusal.Internal, "")
	}
	c.meter.CountCode(meter.Refusals, string(f.Code), 1)
	c.beginWrite(w)
	writeRefusal(w, f)
}

func writeRefusal(w http.ResponseWriter, f *refusal.Refusal) {
	if f.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(f.RetryAfterMS)/1000))))
	}
	if f.Code == refusal.Unauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.Header().Set(HeaderRefusal, string(f.Code))
	writeJSON(w, f.Status(), f)
}

// writeJSON writes the value whole. The Content-Length before it makes sure
// that an answer that is cut off in the middle does not look whole: the client
// misses bytes.
func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		f := refusal.New(refusal.Internal, "the answer could not be written")
		status = f.Status()
		b, _ = json.Marshal(f)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)+1))
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n'))
}

// noSuchPath turns the text answers of the mux into refusals.
func noSuchPath(w http.ResponseWriter, r *http.Request, h http.Handler) error {
	p := probe{header: make(http.Header)}
	h.ServeHTTP(&p, r)
	if p.status != http.StatusMethodNotAllowed {
		return refusal.New(refusal.NoPath, "")
	}
	allow := p.header.Get("Allow")
	w.Header().Set("Allow", allow)
	return refusal.New(refusal.NoMethod, "allowed: "+allow)
}

// probe takes an answer of the mux and drops its text.
type probe struct {
	header http.Header
	status int
}

// Header returns the header.
func (p *probe) Header() http.Header { return p.header }

// WriteHeader notes the status.
func (p *probe) WriteHeader(status int) { p.status = status }

// Write drops the text.
func (p *probe) Write(b []byte) (int, error) { return len(b), nil }

// tracked notes what has become of an answer.
type tracked struct {
	http.ResponseWriter
	status int
	failed error
}

// Unwrap lets http.ResponseController find the connection.
func (t *tracked) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// WriteHeader notes the status.
func (t *tracked) WriteHeader(status int) {
	if t.status == 0 {
		t.status = status
	}
	t.ResponseWriter.WriteHeader(status)
}

// Write notes the first error.
func (t *tracked) Write(b []byte) (int, error) {
	if t.status == 0 {
		t.status = http.StatusOK
	}
	n, err := t.ResponseWriter.Write(b)
	if err != nil && t.failed == nil {
		t.failed = err
	}
	return n, err
}
