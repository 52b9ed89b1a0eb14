package load

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/client"
	"snipehub.example/clock"
	"snipehub.example/job"
	"snipehub.example/refusal"
	"snipehub.example/ticket"
)

// verdict is the result of a job for its caller.
type verdict string

const (
	verdictDone      verdict = "done"
	verdictFailed    verdict = "failed"
	verdictRefused   verdict = "refused"
	verdictUnknown   verdict = "unknown"
	verdictCancelled verdict = "cancelled"
	// verdictLost means that the caller had no final answer when its timeout expired.
	verdictLost verdict = "lost"
)

// outcome is the result of one arrival.
type outcome struct {
	arrival
	id       string
	verdict  verdict
	code     refusal.Code
	response time.Duration
	ideal    time.Duration
	// repeats is the number of submissions beyond the first.
	repeats int
	// wrongAnswer is set if the answer of a task is missing or belongs to another task.
	wrongAnswer bool
	// notRunTasks are the indexes of the tasks that the answer reports as "not run"; all
	// of them if the whole job was refused so.
	notRunTasks []int
	// tasks is kept for comparison with the answer to a resubmission.
	tasks []job.TaskResult
}

const (
	// jobTimeout is the timeout that callers set for their jobs.
	jobTimeout = 20 * time.Second
	// callerTimeout is how long a caller tries to get a final answer.
	callerTimeout = 30 * time.Second
	// minRetryDelay is the delay before a retry if the refusal gives none or a shorter
	// one.
	minRetryDelay = 100 * time.Millisecond
)

// submit submits a job and waits for its result. A refusal with "not run" is final: a
// retry would add to the offered load, which the scenario alone decides.
func (d *driver) submit(ctx context.Context, a arrival) outcome {
	began := d.startTime.Add(a.at)
	ctx, cancel := context.WithDeadline(ctx, began.Add(callerTimeout))
	defer cancel()
	o := outcome{arrival: a, verdict: verdictLost, ideal: a.ideal(d.maxSpeed)}
	id, entry, err := d.acquireJobID(ctx, a)
	if err == nil {
		o.id = id.String()
		err = d.submitUntilFinal(ctx, &o, id, entry)
	}
	o.response = time.Since(began)
	d.setVerdict(&o, err)
	return o
}

// acquireJobID takes the caller's next job id at its dispatcher. Nothing has been
// submitted yet, so if that dispatcher is unreachable, another one serves as well, as
// behind a load balancer.
func (d *driver) acquireJobID(ctx context.Context, a arrival) (ticket.JobID, netip.AddrPort, error) {
	n := a.dispatcher
	for {
		id, err := d.clients[a.caller][n].NextID(ctx)
		if err == nil || !errors.Is(err, client.ErrTransport) || !clock.Sleep(ctx, minRetryDelay/10) {
			return id, d.endpoints[n].callerAddr, err
		}
		n = rand.IntN(len(d.endpoints))
	}
}

// submitUntilFinal submits the job, again if necessary, until there is a final answer.
func (d *driver) submitUntilFinal(ctx context.Context, o *outcome, id ticket.JobID, entry netip.AddrPort) error {
	spec := o.spec()
	d.inFlight.add(o.id, inFlightJob{id: id, caller: o.caller, spec: spec, owner: o.dispatcher})
	defer d.inFlight.remove(o.id)
	c := d.clients[o.caller][o.dispatcher]
	for {
		a, err := c.Put(ctx, entry, id, spec)
		if err == nil && a.State != job.Running {
			o.recordAnswer(a)
			return nil
		}
		var r *refusal.Refusal
		wait := minRetryDelay
		if errors.As(err, &r) {
			if r.Again != refusal.AgainSame {
				return err
			}
			wait = max(wait, time.Duration(r.RetryAfterMS)*time.Millisecond)
		}
		if !clock.Sleep(ctx, wait) {
			return errors.Wrap(client.ErrGaveUp, o.id)
		}
		o.repeats++
		entry = d.endpoints[rand.IntN(len(d.endpoints))].callerAddr
	}
}

// recordAnswer sets the verdict and the tasks from a final answer.
func (o *outcome) recordAnswer(a job.Answer) {
	o.tasks = a.Tasks
	o.verdict = verdictFailed
	if a.State == job.Done {
		o.verdict = verdictDone
		o.wrongAnswer = !o.answersEachTask(a)
		return
	}
	for i, t := range a.Tasks {
		if !t.Done && t.Ran == refusal.RanNo {
			o.notRunTasks = append(o.notRunTasks, i)
		}
	}
}

// answersEachTask reports whether a done answer has the right answer for each task.
func (o *outcome) answersEachTask(a job.Answer) bool {
	if len(a.Tasks) != len(o.service) {
		return false
	}
	for i, t := range a.Tasks {
		ownTask := []byte(`"task":"` + o.id + "/" + itoa(i) + "/")
		if !t.Done || !bytes.Contains(t.Answer, ownTask) {
			return false
		}
	}
	return true
}

// setVerdict sets the verdict that follows from the error of a submission.
func (d *driver) setVerdict(o *outcome, err error) {
	var r *refusal.Refusal
	if !errors.As(err, &r) {
		if o.verdict == verdictFailed && d.inFlight.wasCancelled(o.id) {
			o.verdict = verdictCancelled
		}
		return
	}
	o.code = r.Code
	switch {
	case r.Ran == refusal.RanNo:
		o.verdict = verdictRefused
		for i := range o.service {
			o.notRunTasks = append(o.notRunTasks, i)
		}
	case d.inFlight.wasCancelled(o.id):
		o.verdict = verdictCancelled
	default:
		o.verdict = verdictUnknown
	}
}
