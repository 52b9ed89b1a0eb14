package counter

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"snipehub.example/job"
	"snipehub.example/meter"
	"snipehub.example/refusal"
)

// answerGrace is how much longer the counter waits for the answer of another
// process than that process waits for the job.
const answerGrace = 2 * time.Second

func (c *Counter) mint(w http.ResponseWriter, r *http.Request, caller job.Caller) error {
	g, err := c.svc.Mint(r.Context(), caller)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusCreated, g)
	return nil
}

func (c *Counter) submitByID(w http.ResponseWriter, r *http.Request, caller job.Caller) error {
	id, err := pathID(r)
	if err != nil {
		return own(r, err)
	}
	return c.submit(w, r, job.Submission{Caller: caller, ID: id})
}

func (c *Counter) submitByKey(w http.ResponseWriter, r *http.Request, caller job.Caller) error {
	key, err := headerKey(r)
	switch {
	case err != nil:
		return own(r, err)
	case key == "":
		return refusal.New(refusal.BadRequest, HeaderKey+" is missing")
	}
	return c.submit(w, r, job.Submission{Caller: caller, Key: key})
}

func (c *Counter) submit(w http.ResponseWriter, r *http.Request, s job.Submission) error {
	began := time.Now()
	if err := c.readSubmission(r, &s); err != nil {
		return own(r, err)
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.WaitFor+c.cfg.Peers.Timeout.D()+answerGrace)
	defer cancel()
	a, err := c.svc.Submit(ctx, s)
	if err != nil {
		return err
	}
	switch a.State {
	case job.Done:
		c.meter.Count(meter.JobsDone, 1)
	case job.Failed:
		c.meter.Count(meter.JobsFailed, 1)
	}
	if s.Wait {
		c.meter.Time(meter.JobSeconds, s.Caller.Name, s.Spec.Kind, time.Since(began))
	}
	c.writeAnswer(w, a)
	return nil
}

// readSubmission reads body and preference and checks them.
func (c *Counter) readSubmission(r *http.Request, s *job.Submission) error {
	p, err := prefer(r.Header)
	if err != nil {
		return err
	}
	if err := c.decode(r, &s.Spec); err != nil {
		return err
	}
	longest := c.cfg.Limits.JobTimeout.D()
	switch n := len(s.Spec.Tasks); {
	case s.Spec.Kind == "":
		return refusal.New(refusal.BadRequest, "kind is missing")
	case n == 0:
		return refusal.New(refusal.BadRequest, "tasks is empty")
	case n > c.cfg.Limits.JobTasks:
		return refusal.New(refusal.TooLarge, "more than "+strconv.Itoa(c.cfg.Limits.JobTasks)+" tasks")
	case s.Spec.TimeoutMS < 0 || s.Spec.TimeoutMS > longest.Milliseconds():
		return refusal.New(refusal.BadRequest, "timeout_ms must be from 0 to "+strconv.FormatInt(longest.Milliseconds(), 10))
	}
	s.WaitFor = p.bound(s.Spec.Timeout(longest) + answerGrace)
	s.Wait = s.WaitFor > 0
	return nil
}

func (c *Counter) lookup(w http.ResponseWriter, r *http.Request, caller job.Caller) error {
	id, err := pathID(r)
	if err != nil {
		return own(r, err)
	}
	p, err := prefer(r.Header)
	if err != nil {
		return own(r, err)
	}
	var wait time.Duration
	if p.given {
		wait = p.bound(c.cfg.Limits.JobTimeout.D())
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait+c.cfg.Peers.Timeout.D()+answerGrace)
	defer cancel()
	var a job.Answer
	if wait > 0 {
		a, err = c.svc.Await(ctx, caller, id, wait)
	} else {
		a, err = c.svc.Lookup(ctx, caller, id)
	}
	if err != nil {
		return err
	}
	c.writeAnswer(w, a)
	return nil
}

func (c *Counter) cancel(w http.ResponseWriter, r *http.Request, caller job.Caller) error {
	id, err := pathID(r)
	if err != nil {
		return own(r, err)
	}
	ctx, cancel := context.WithTimeout(r.Context(), c.cfg.Peers.Timeout.D()+answerGrace)
	defer cancel()
	a, err := c.svc.Cancel(ctx, caller, id)
	if err != nil {
		return err
	}
	c.writeAnswer(w, a)
	return nil
}
