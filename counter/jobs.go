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

// answerGrace is added to a job's or request's wait, so that the answer of another
// process, which waits for the job itself, still arrives in time.
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
		return qualifyRefusal(r, err)
	}
	return c.submit(w, r, job.Submission{Caller: caller, ID: id})
}

func (c *Counter) submitByKey(w http.ResponseWriter, r *http.Request, caller job.Caller) error {
	key, err := headerKey(r)
	switch {
	case err != nil:
		return qualifyRefusal(r, err)
	case key == "":
		return refusal.New(refusal.BadRequest, HeaderKey+" is missing")
	}
	return c.submit(w, r, job.Submission{Caller: caller, Key: key})
}

func (c *Counter) submit(w http.ResponseWriter, r *http.Request, s job.Submission) error {
	start := time.Now()
	if err := c.readSubmission(r, &s); err != nil {
		return qualifyRefusal(r, err)
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
		c.meter.Time(meter.JobSeconds, s.Caller.Name, s.Spec.Kind, time.Since(start))
	}
	c.writeAnswer(w, a)
	return nil
}

// readSubmission reads and validates the body and the header Prefer.
func (c *Counter) readSubmission(r *http.Request, s *job.Submission) error {
	p, err := parsePrefer(r.Header)
	if err != nil {
		return err
	}
	if err := c.decode(r, &s.Spec); err != nil {
		return err
	}
	maxTimeout := c.cfg.Limits.JobTimeout.D()
	switch n := len(s.Spec.Tasks); {
	case s.Spec.Kind == "":
		return refusal.New(refusal.BadRequest, "kind is missing")
	case n == 0:
		return refusal.New(refusal.BadRequest, "tasks is empty")
	case n > c.cfg.Limits.JobTasks:
		return refusal.New(refusal.TooLarge, "more than "+strconv.Itoa(c.cfg.Limits.JobTasks)+" tasks")
	case s.Spec.TimeoutMS < 0 || s.Spec.TimeoutMS > maxTimeout.Milliseconds():
		return refusal.New(refusal.BadRequest, "timeout_ms must be from 0 to "+strconv.FormatInt(maxTimeout.Milliseconds(), 10))
	}
	s.WaitFor = p.waitTime(s.Spec.Timeout(maxTimeout) + answerGrace)
	s.Wait = s.WaitFor > 0
	return nil
}

func (c *Counter) lookup(w http.ResponseWriter, r *http.Request, caller job.Caller) error {
	id, err := pathID(r)
	if err != nil {
		return qualifyRefusal(r, err)
	}
	p, err := parsePrefer(r.Header)
	if err != nil {
		return qualifyRefusal(r, err)
	}
	var wait time.Duration
	if p.hasWait {
		wait = p.waitTime(c.cfg.Limits.JobTimeout.D())
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
		return qualifyRefusal(r, err)
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
