package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/dispatch/plan"
	"snipehub.example/event"
	"snipehub.example/meter"
	"snipehub.example/refusal"
)

// request is a submission or, if submission is nil, a cancellation. Both go through one
// channel, so that a cancellation never overtakes its submission.
type request struct {
	submission *Submission
	job        string
	claimed    *atomic.Bool
	answer     chan error
}

// Submit accepts all tasks of the submission or refuses it as a whole. It waits for
// submitTimeout at most.
//
// The planner may be late, because the process was suspended or a service restarts.
// Whoever sets claimed first decides: the planner, which then answers at once, or the
// waiting submitter, which returns "not run". Without this flag the planner could accept
// a submission after its time-out had been reported as "not run".
func (d *Dispatcher) Submit(s Submission) error {
	r := request{submission: &s, claimed: new(atomic.Bool), answer: make(chan error, 1)}
	select {
	case d.requests <- r:
	default:
		return refusal.New(refusal.Overloaded, "too many submissions at once").WithRetryAfter(time.Second)
	}
	t := time.NewTimer(submitTimeout)
	defer t.Stop()
	select {
	case err := <-r.answer:
		return err
	case <-d.stopped:
		if r.claimed.CompareAndSwap(false, true) {
			return refusal.New(refusal.Stopping, "")
		}
	case <-t.C:
		if r.claimed.CompareAndSwap(false, true) {
			return refusal.New(refusal.Overloaded, "the queue does not answer").WithRetryAfter(time.Second)
		}
	}
	return <-r.answer
}

// Cancel drops the tasks of a job that have not started. It blocks only while the request
// channel is full; the planner empties that without blocking.
func (d *Dispatcher) Cancel(job string) {
	select {
	case d.requests <- request{job: job}:
	case <-d.stopped:
	}
}

// handleRequests handles a request and those queued behind it, so that a wave of
// cancellations is complete before the next task of a cancelled job is placed.
func (d *Dispatcher) handleRequests(r request) {
	d.handleRequest(r)
	for range requestBuffer {
		select {
		case r = <-d.requests:
			d.handleRequest(r)
		default:
			return
		}
	}
}

// handleRequest handles one request. A submission whose submitter has given up is
// ignored.
func (d *Dispatcher) handleRequest(r request) {
	switch {
	case r.submission == nil:
		d.planner.Cancel(r.job)
	case r.claimed.CompareAndSwap(false, true):
		r.answer <- d.admit(r.submission)
	}
}

func (d *Dispatcher) admit(s *Submission) error {
	now := d.clock.Now()
	d.planner.SetMayPlace(d.dir.MayPlace(now))
	if d.reports.len() > d.cfg.QueuedTasks {
		return refusal.New(refusal.Overloaded, "results wait to be taken").WithRetryAfter(time.Second)
	}
	err := d.planner.Submit(now, plan.Job{
		ID:          s.Job,
		Kind:        s.Kind,
		Caller:      s.Caller,
		Team:        s.Team,
		Expires:     s.Expires,
		PassThrough: s.PassThrough,
		FromPeer:    s.FromPeer,
		Tasks:       len(s.Tasks),
	})
	if err == nil {
		d.batches[s.Job] = &batch{*s, len(s.Tasks)}
		return nil
	}
	d.metrics.Count(meter.JobsRefused, 1)
	var r *refusal.Refusal
	if errors.As(err, &r) && r.Code == refusal.Overloaded && now.Sub(d.queueFullLoggedAt) > queueFullLogInterval {
		d.queueFullLoggedAt = now
		event.QueueFull.Log(d.log, "waiting", d.planner.Waiting(), "reason", r.Sentence)
	}
	return err
}
