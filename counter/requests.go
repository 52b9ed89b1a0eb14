package counter

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"snipehub.example/job"
	"snipehub.example/meter"
	"snipehub.example/refusal"
)

// request forwards one request to a backend server and writes its answer.
func (c *Counter) request(w http.ResponseWriter, r *http.Request, caller job.Caller) error {
	start := time.Now()
	in, err := c.readRequest(r, caller)
	if err != nil {
		return qualifyRefusal(r, err)
	}
	ctx, cancel := context.WithTimeout(r.Context(), in.Timeout+c.cfg.Peers.Timeout.D()+answerGrace)
	defer cancel()
	out, err := c.svc.Request(ctx, in)
	if err != nil {
		return err
	}
	c.meter.Time(meter.RequestSeconds, caller.Name, in.Kind, time.Since(start))
	return c.writeReply(w, out)
}

func (c *Counter) readRequest(r *http.Request, caller job.Caller) (job.Request, error) {
	in := job.Request{Caller: caller, Kind: r.PathValue("kind"), Type: r.Header.Get("Content-Type")}
	p, err := parsePrefer(r.Header)
	if err != nil {
		return in, err
	}
	if in.ID, err = headerID(r); err != nil {
		return in, err
	}
	if in.Key, err = headerKey(r); err != nil {
		return in, err
	}
	if !utf8.ValidString(in.Type) {
		// Dispatchers forward the type as a JSON string, which would replace the invalid
		// bytes: a copy over another dispatcher would look like a different request.
		return in, refusal.New(refusal.BadRequest, "Content-Type is not UTF-8")
	}
	if in.ID != nil && in.Key != "" {
		return in, refusal.New(refusal.BadRequest, HeaderKey+" does not go with "+HeaderJob)
	}
	if in.Body, err = io.ReadAll(r.Body); err != nil {
		return in, bodyRefusal(err)
	}
	in.Timeout = c.cfg.Limits.JobTimeout.D()
	if p.hasWait && p.wait > 0 {
		in.Timeout = min(p.wait, in.Timeout)
	}
	return in, nil
}

// writeReply writes the backend server's answer unchanged.
func (c *Counter) writeReply(w http.ResponseWriter, out job.Reply) error {
	if out.Status < http.StatusOK || out.Status > 599 {
		return refusal.New(refusal.Internal, "status "+strconv.Itoa(out.Status)+" of the backend server")
	}
	if out.Type != "" {
		w.Header().Set("Content-Type", out.Type)
	}
	c.beginWrite(w)
	if out.Status == http.StatusNoContent || out.Status == http.StatusNotModified {
		w.WriteHeader(out.Status)
		return nil
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(out.Body)))
	w.WriteHeader(out.Status)
	_, _ = w.Write(out.Body)
	return nil
}
