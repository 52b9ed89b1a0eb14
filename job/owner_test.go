package job_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/dispatch"
	"snipehub.example/job"
	"snipehub.example/refusal"
	"snipehub.example/ticket"
)

var (
	self = ticket.Owner{DataCenter: "dc1", VM: "vm0", Process: "hub0", Incarnation: 7}
	lake = job.Caller{Name: "lakeshore"}
)

// fakePlacer stands for the dispatch package and the backend servers behind
// it; it records every start.
type fakePlacer struct {
	refuse    error
	onSubmit  func(dispatch.Batch)
	starts    map[string]int
	batches   []dispatch.Batch
	cancelled []string
}

func (p *fakePlacer) Submit(b dispatch.Batch) error {
	if p.onSubmit != nil {
		p.onSubmit(b)
	}
	if p.refuse != nil {
		return p.refuse
	}
	p.starts[b.Job]++
	p.batches = append(p.batches, b)
	return nil
}

func (p *fakePlacer) Cancel(id string) { p.cancelled = append(p.cancelled, id) }

// finish ends all tasks of the oldest batch.
func (p *fakePlacer) finish() {
	b := p.batches[0]
	p.batches = p.batches[1:]
	for i := range b.Tasks {
		b.Done(i, dispatch.Result{Ran: refusal.RanYes, Done: true, Answer: []byte(`"ok"`)})
	}
}

// bench is an owner with a fake placer and a clock that is set by hand.
type bench struct {
	t   *testing.T
	o   *job.Owner
	p   *fakePlacer
	now time.Time
}

var small = job.Limits{Tickets: 8, Range: 100, Window: 4, KeptBytes: 1 << 20, KeptFor: time.Minute, JobTimeout: time.Minute}

func newBench(t *testing.T, l job.Limits) *bench {
	b := &bench{t: t, p: &fakePlacer{starts: make(map[string]int)}, now: time.Unix(1e9, 0)}
	b.o = job.New(self, b.p, l, func() time.Time { return b.now })
	return b
}

func (b *bench) mint(c job.Caller) ticket.ID {
	b.t.Helper()
	g, err := b.o.Mint(c)
	if err != nil {
		b.t.Fatal(err)
	}
	id, err := ticket.ParseID(g.Ticket)
	if err != nil {
		b.t.Fatal(err)
	}
	return id
}

func (b *bench) put(id ticket.JobID, tasks ...string) (job.Answer, error) {
	s := job.Submission{Caller: lake, ID: id, Spec: job.Spec{Kind: "price"}}
	for _, t := range tasks {
		s.Spec.Tasks = append(s.Spec.Tasks, json.RawMessage(t))
	}
	return b.o.Submit(context.Background(), s)
}

// want checks a refusal's code and its "ran".
func (b *bench) want(err error, code refusal.Code, ran refusal.Ran) {
	b.t.Helper()
	var r *refusal.Refusal
	if !errors.As(err, &r) || r.Code != code || r.Ran != ran {
		b.t.Errorf("refusal %v, want %s (ran: %s)", err, code, ran)
	}
}

func (b *bench) wantStarts(id ticket.JobID, n int) {
	b.t.Helper()
	if got := b.p.starts[id.String()]; got != n {
		b.t.Errorf("%s started %d times, want %d", id, got, n)
	}
}

// A caller submits an order over one entry VM, hears nothing and submits it
// over another; the owner is overloaded and says "not run". The caller takes a
// new identity for the order. Then the first copy arrives, when there is room
// again: if it started, two vans would go out.
func TestNotRunBurnsTheIdentity(t *testing.T) {
	b := newBench(t, small)
	id := b.mint(lake).Job(0)
	b.p.refuse = refusal.New(refusal.OverQuota, "")
	_, err := b.put(id, `1`)
	b.want(err, refusal.OverQuota, refusal.RanNo)
	b.p.refuse = nil
	_, err = b.put(id, `1`)
	b.want(err, refusal.OverQuota, refusal.RanNo)
	b.now = b.now.Add(time.Hour)
	b.o.Stats()
	_, err = b.put(id, `1`)
	b.want(err, refusal.Burned, refusal.RanNo)
	b.wantStarts(id, 0)
}

// Answers are kept within bounds of bytes and age. A copy of a submission that
// comes after its answer made room is told that nothing more is known, and its
// tasks don't start a second time.
func TestForgottenAnswerNeverStartsAgain(t *testing.T) {
	for _, forget := range []func(*bench, ticket.ID){
		func(b *bench, _ ticket.ID) { b.now = b.now.Add(time.Minute); b.o.Stats() },
		func(b *bench, tk ticket.ID) {
			for i := range 3 {
				_, _ = b.put(tk.Job(uint64(1+i)), `1`)
				b.p.finish()
			}
		},
		func(b *bench, tk ticket.ID) { _, _ = b.put(tk.Job(50), `1`) },
		func(b *bench, _ ticket.ID) {
			b.now = b.now.Add(time.Minute)
			for i := range small.Tickets {
				b.mint(job.Caller{Name: string(rune('a' + i))})
			}
		},
	} {
		l := small
		l.KeptBytes = 2000
		b := newBench(t, l)
		tk := b.mint(lake)
		id := tk.Job(0)
		_, _ = b.put(id, `1`)
		b.p.finish()
		if a, err := b.put(id, `1`); err != nil || a.State != job.Done {
			t.Fatalf("%v, %v", a, err)
		}
		forget(b, tk)
		_, err := b.put(id, `1`)
		b.want(err, refusal.Forgotten, refusal.RanUnknown)
		b.wantStarts(id, 1)
		if s := b.o.Stats(); s.KeptBytes > l.KeptBytes || s.Kept > 3 {
			t.Errorf("memory is over its bounds: %+v", s)
		}
	}
}

// A sequence is too far ahead of one that runs. It is not "not run", because
// the same identity starts once there is room: a caller that trusted a "not
// run" and took a new identity would then have ordered twice.
func TestAheadOfTheWindow(t *testing.T) {
	b := newBench(t, small)
	tk := b.mint(lake)
	_, _ = b.put(tk.Job(0), `1`)
	_, err := b.put(tk.Job(4), `1`)
	b.want(err, refusal.WindowFull, refusal.RanUnknown)
	b.p.finish()
	_, err = b.put(tk.Job(4), `1`)
	if err != nil {
		t.Error(err)
	}
	b.wantStarts(tk.Job(4), 1)
	_, err = b.put(tk.Job(100), `1`)
	b.want(err, refusal.OutOfRange, refusal.RanNo)
}

// A cancellation overtakes the submission, or comes before the tasks are in
// the queue. The caller was told "cancelled"; a van that still went out would
// be one too many.
func TestCancellationOvertakes(t *testing.T) {
	b := newBench(t, small)
	tk := b.mint(lake)
	_, err := b.o.Cancel(lake, tk.Job(0))
	b.want(err, refusal.Cancelled, refusal.RanNo)
	_, err = b.put(tk.Job(0), `1`)
	b.want(err, refusal.Cancelled, refusal.RanNo)
	b.wantStarts(tk.Job(0), 0)

	queued := false
	b.p.onSubmit = func(dispatch.Batch) {
		_, _ = b.o.Cancel(lake, tk.Job(1))
		queued = len(b.p.cancelled) > 1
	}
	_, _ = b.put(tk.Job(1), `1`)
	if queued || len(b.p.cancelled) != 2 {
		t.Errorf("cancellations after queueing: %d, want 1", len(b.p.cancelled)-1)
	}
}

// The outcome of one task is reported twice, while another task still runs.
// Counted twice it would end the job, and the caller would get a part of its
// answer for the whole.
func TestAnswerIsWhole(t *testing.T) {
	b := newBench(t, small)
	id := b.mint(lake).Job(0)
	_, _ = b.put(id, `1`, `2`)
	r := dispatch.Result{Ran: refusal.RanYes, Done: true, Answer: []byte(`"ok"`)}
	b.p.batches[0].Done(0, r)
	b.p.batches[0].Done(0, r)
	if a, err := b.o.Lookup(lake, id); err != nil || a.State != job.Queued || len(a.Tasks) > 0 {
		t.Errorf("%+v, %v while a task runs", a, err)
	}
	b.p.batches[0].Done(1, dispatch.Result{Ran: refusal.RanUnknown, Error: "reset"})
	b.p.batches[0].Done(1, r)
	a, err := b.put(id, ` 1 `, `2`)
	if err != nil || a.State != job.Failed || a.Tasks[0].Answer != nil || a.Tasks[1].Ran != refusal.RanUnknown {
		t.Errorf("%+v, %v", a, err)
	}
	_, err = b.put(id, `1`, `3`)
	b.want(err, refusal.Mismatch, refusal.RanUnknown)
}

// Whoever isn't the owner can't know what the owner has done. A process that
// was restarted at the owner's address would else start the job again, or call
// it unknown to the caller.
func TestForeignIdentity(t *testing.T) {
	b := newBench(t, small)
	id := b.mint(lake).Job(0)
	id.Incarnation--
	_, err := b.put(id, `1`)
	b.want(err, refusal.OwnerGone, refusal.RanUnknown)
	id.Incarnation += 2
	_, err = b.o.Lookup(lake, id)
	b.want(err, refusal.OwnerUnreachable, refusal.RanUnknown)
	id.Owner, id.Process = self, "hub1"
	_, err = b.o.Cancel(lake, id)
	b.want(err, refusal.OwnerUnreachable, refusal.RanUnknown)
	b.wantStarts(id, 0)
}

// One caller takes a ticket for each job. Others must still get tickets, and a
// young ticket must not be retired under its caller's hands.
func TestTicketsAreShared(t *testing.T) {
	b := newBench(t, small)
	first := b.mint(lake)
	_, _ = b.put(first.Job(0), `1`)
	b.mint(lake)
	_, err := b.o.Mint(lake)
	b.want(err, refusal.Overloaded, refusal.RanNo)
	b.mint(job.Caller{Name: "teranga"})
	b.now = b.now.Add(time.Minute)
	b.mint(lake)
	b.p.finish()
	if _, err := b.put(first.Job(0), `1`); err != nil {
		t.Errorf("a ticket with a running job was retired: %v", err)
	}
}

// A caller guesses the next identity on the ticket from which its own keys are
// served. If it were taken, the next key would get the answer to another order.
func TestReservedIdentityIsNotGuessed(t *testing.T) {
	b := newBench(t, small)
	id, err := b.o.Reserve(lake.Name)
	if err != nil {
		t.Fatal(err)
	}
	_, err = b.put(id.ID.Job(id.Seq+1), `1`)
	b.want(err, refusal.NotFound, refusal.RanUnknown)
	next, _ := b.o.Reserve(lake.Name)
	if _, err := b.put(next, `2`); err != nil || next.Seq != id.Seq+1 {
		t.Errorf("%v: %v", next, err)
	}
}
