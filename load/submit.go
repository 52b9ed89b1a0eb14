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

// verdict is how a job ended for its caller.
type verdict string

const (
	done      verdict = "done"
	failed    verdict = "failed"
	refused   verdict = "refused"
	unknown   verdict = "unknown"
	cancelled verdict = "cancelled"
	// lost means that the caller had no final answer when its time was over.
	lost verdict = "lost"
)

// outcome is what became of one arrival.
type outcome struct {
	arrival
	id       string
	verdict  verdict
	code     refusal.Code
	response time.Duration
	ideal    time.Duration
	// repeats are submissions beyond the first.
	repeats int
	// wrong tells that an answer was to another task, or missing.
	wrong bool
	// notRun are the task indexes that the answer calls "not run"; all of
	// them when the whole job was refused so.
	notRun []int
	// tasks is kept to compare it with the answer to a resubmission.
	tasks []job.TaskResult
}

const (
	// jobTimeout is the bound that callers give their jobs.
	jobTimeout = 20 * time.Second
	// patience is how long a caller tries for a final answer.
	patience = 30 * time.Second
	// pause is the wait before a caller comes back when it was given none.
	pause = 100 * time.Millisecond
)

// submit brings one job to its end. A refusal with "not run" is final: coming
// back would add to the offered load, which the scenario alone decides.
func (d *drive) submit(ctx context.Context, a arrival) outcome {
	began := d.began.Add(a.at)
	ctx, cancel := context.WithDeadline(ctx, began.Add(patience))
	defer cancel()
	o := outcome{arrival: a, verdict: lost, ideal: a.ideal(d.fastest)}
	id, entry, err := d.identity(ctx, a)
	if err == nil {
		o.id = id.String()
		err = d.put(ctx, &o, id, entry)
	}
	o.response = time.Since(began)
	d.judge(&o, err)
	return o
}

// identity takes the next identity of the caller at its dispatcher. Nothing has
// been submitted yet, so when that dispatcher is gone another one serves as
// well, as behind a balancer.
func (d *drive) identity(ctx context.Context, a arrival) (ticket.JobID, netip.AddrPort, error) {
	n := a.dispatcher
	for {
		id, err := d.clients[a.caller][n].Next(ctx)
		if err == nil || !errors.Is(err, client.ErrTransport) || !clock.Sleep(ctx, pause/10) {
			return id, d.places[n].callers, err
		}
		n = rand.IntN(len(d.places))
	}
}

// put submits the identity until there is a final answer.
func (d *drive) put(ctx context.Context, o *outcome, id ticket.JobID, entry netip.AddrPort) error {
	spec := o.spec()
	d.flying.add(o.id, flight{id: id, caller: o.caller, spec: spec, home: o.dispatcher})
	defer d.flying.remove(o.id)
	c := d.clients[o.caller][o.dispatcher]
	for {
		a, err := c.Put(ctx, entry, id, spec)
		if err == nil && a.State != job.Running {
			o.take(a)
			return nil
		}
		var r *refusal.Refusal
		wait := pause
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
		entry = d.places[rand.IntN(len(d.places))].callers
	}
}

// take reads a final answer.
func (o *outcome) take(a job.Answer) {
	o.tasks = a.Tasks
	o.verdict = failed
	if a.State == job.Done {
		o.verdict = done
		o.wrong = !o.whole(a)
		return
	}
	for i, t := range a.Tasks {
		if !t.Done && t.Ran == refusal.RanNo {
			o.notRun = append(o.notRun, i)
		}
	}
}

// whole tells whether a done answer has the own answer of each task.
func (o *outcome) whole(a job.Answer) bool {
	if len(a.Tasks) != len(o.service) {
		return false
	}
	for i, t := range a.Tasks {
		mark := []byte(`"task":"` + o.id + "/" + itoa(i) + "/")
		if !t.Done || !bytes.Contains(t.Answer, mark) {
			return false
		}
	}
	return true
}

// judge turns the error of a submission into the outcome's verdict.
func (d *drive) judge(o *outcome, err error) {
	var r *refusal.Refusal
	if !errors.As(err, &r) {
		if o.verdict == failed && d.flying.wasCancelled(o.id) {
			o.verdict = cancelled
		}
		return
	}
	o.code = r.Code
	switch {
	case r.Ran == refusal.RanNo:
		o.verdict = refused
		for i := range o.service {
			o.notRun = append(o.notRun, i)
		}
	case d.flying.wasCancelled(o.id):
		o.verdict = cancelled
	default:
		o.verdict = unknown
	}
}
