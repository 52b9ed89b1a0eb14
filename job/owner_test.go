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

// fakeRunner replaces the dispatch package and the backend servers. It records every start.
type fakeRunner struct {
	refuse    error
	onSubmit  func(dispatch.Batch)
	starts    map[string]int
	batches   []dispatch.Batch
	cancelled []string
}

func (p *fakeRunner) Submit(b dispatch.Batch) error {
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

func (p *fakeRunner) Cancel(id string) { p.cancelled = append(p.cancelled, id) }

// finishOldest ends all tasks of the oldest batch as done.
func (p *fakeRunner) finishOldest() {
	b := p.batches[0]
	p.batches = p.batches[1:]
	for i := range b.Tasks {
		b.Done(i, dispatch.Result{Ran: refusal.RanYes, Done: true, Answer: []byte(`"ok"`)})
	}
}

// fixture is an owner with a fakeRunner and a manual clock.
type fixture struct {
	t      *testing.T
	owner  *job.Owner
	runner *fakeRunner
	now    time.Time
}

var smallLimits = job.Limits{Tickets: 8, Range: 100, Window: 4, KeptBytes: 1 << 20, KeptFor: time.Minute, JobTimeout: time.Minute}

func newFixture(t *testing.T, l job.Limits) *fixture {
	b := &fixture{t: t, runner: &fakeRunner{starts: make(map[string]int)}, now: time.Unix(1e9, 0)}
	b.owner = job.New(self, b.runner, l, func() time.Time { return b.now })
	return b
}

func (b *fixture) mint(c job.Caller) ticket.ID {
	b.t.Helper()
	g, err := b.owner.Mint(c)
	if err != nil {
		b.t.Fatal(err)
	}
	id, err := ticket.ParseID(g.Ticket)
	if err != nil {
		b.t.Fatal(err)
	}
	return id
}

func (b *fixture) submit(id ticket.JobID, tasks ...string) (job.Answer, error) {
	s := job.Submission{Caller: lake, ID: id, Spec: job.Spec{Kind: "price"}}
	for _, t := range tasks {
		s.Spec.Tasks = append(s.Spec.Tasks, json.RawMessage(t))
	}
	return b.owner.Submit(context.Background(), s)
}

// wantRefusal checks that err is a refusal with the given code and "ran".
func (b *fixture) wantRefusal(err error, code refusal.Code, ran refusal.Ran) {
	b.t.Helper()
	var r *refusal.Refusal
	if !errors.As(err, &r) || r.Code != code || r.Ran != ran {
		b.t.Errorf("refusal %v, want %s (ran: %s)", err, code, ran)
	}
}

func (b *fixture) wantStarts(id ticket.JobID, n int) {
	b.t.Helper()
	if got := b.runner.starts[id.String()]; got != n {
		b.t.Errorf("%s started %d times, want %d", id, got, n)
	}
}

// A caller submits an order through one dispatcher, gets no answer and submits it through
// another. The owner refuses it as "not run", and the caller submits the order under a new
// identity. Then the first copy arrives and must be refused as well, although the owner
// could accept it now: otherwise the order would run twice.
func TestNotRunBurnsTheIdentity(t *testing.T) {
	b := newFixture(t, smallLimits)
	id := b.mint(lake).Job(0)
	b.runner.refuse = refusal.New(refusal.OverQuota, "")
	_, err := b.submit(id, `1`)
	b.wantRefusal(err, refusal.OverQuota, refusal.RanNo)
	b.runner.refuse = nil
	_, err = b.submit(id, `1`)
	b.wantRefusal(err, refusal.OverQuota, refusal.RanNo)
	b.now = b.now.Add(time.Hour)
	b.owner.Stats()
	_, err = b.submit(id, `1`)
	b.wantRefusal(err, refusal.Burned, refusal.RanNo)
	b.wantStarts(id, 0)
}

// Answers are stored within bounds of size and age. A copy of a submission that arrives
// after its answer was evicted must be refused as forgotten, and its tasks must not start a
// second time.
func TestForgottenAnswerNeverStartsAgain(t *testing.T) {
	for _, forget := range []func(*fixture, ticket.ID){
		func(b *fixture, _ ticket.ID) { b.now = b.now.Add(time.Minute); b.owner.Stats() },
		func(b *fixture, tk ticket.ID) {
			for i := range 3 {
				_, _ = b.submit(tk.Job(uint64(1+i)), `1`)
				b.runner.finishOldest()
			}
		},
		func(b *fixture, tk ticket.ID) { _, _ = b.submit(tk.Job(50), `1`) },
		func(b *fixture, _ ticket.ID) {
			b.now = b.now.Add(time.Minute)
			for i := range smallLimits.Tickets {
				b.mint(job.Caller{Name: string(rune('a' + i))})
			}
		},
	} {
		l := smallLimits
		l.KeptBytes = 2000
		b := newFixture(t, l)
		tk := b.mint(lake)
		id := tk.Job(0)
		_, _ = b.submit(id, `1`)
		b.runner.finishOldest()
		if a, err := b.submit(id, `1`); err != nil || a.State != job.Done {
			t.Fatalf("answer to the copy: %v, %v", a, err)
		}
		forget(b, tk)
		_, err := b.submit(id, `1`)
		b.wantRefusal(err, refusal.Forgotten, refusal.RanUnknown)
		b.wantStarts(id, 1)
		if s := b.owner.Stats(); s.KeptBytes > l.KeptBytes || s.Kept > 3 {
			t.Errorf("memory exceeds its bounds: %+v", s)
		}
	}
}

// A sequence that is too far ahead of a running one must not be refused as "not run",
// because it can start once that one has ended: a caller that relied on "not run" and took a
// new identity would have ordered twice.
func TestAheadOfTheWindow(t *testing.T) {
	b := newFixture(t, smallLimits)
	tk := b.mint(lake)
	_, _ = b.submit(tk.Job(0), `1`)
	_, err := b.submit(tk.Job(4), `1`)
	b.wantRefusal(err, refusal.WindowFull, refusal.RanUnknown)
	b.runner.finishOldest()
	_, err = b.submit(tk.Job(4), `1`)
	if err != nil {
		t.Error(err)
	}
	b.wantStarts(tk.Job(4), 1)
	_, err = b.submit(tk.Job(100), `1`)
	b.wantRefusal(err, refusal.OutOfRange, refusal.RanNo)
}

// A cancellation arrives before the submission, or before the tasks are queued. As the
// caller was told that the job is cancelled, the job must not run.
func TestCancellationOvertakes(t *testing.T) {
	b := newFixture(t, smallLimits)
	tk := b.mint(lake)
	_, err := b.owner.Cancel(lake, tk.Job(0))
	b.wantRefusal(err, refusal.Cancelled, refusal.RanNo)
	_, err = b.submit(tk.Job(0), `1`)
	b.wantRefusal(err, refusal.Cancelled, refusal.RanNo)
	b.wantStarts(tk.Job(0), 0)

	queued := false
	b.runner.onSubmit = func(dispatch.Batch) {
		_, _ = b.owner.Cancel(lake, tk.Job(1))
		queued = len(b.runner.cancelled) > 1
	}
	_, _ = b.submit(tk.Job(1), `1`)
	if queued || len(b.runner.cancelled) != 2 {
		t.Errorf("cancellations after queueing: %d, want 1", len(b.runner.cancelled)-1)
	}
}

// The result of one task is reported twice while another task still runs. Counted twice, it
// would end the job, and the caller would get a partial answer.
func TestAnswerIsWhole(t *testing.T) {
	b := newFixture(t, smallLimits)
	id := b.mint(lake).Job(0)
	_, _ = b.submit(id, `1`, `2`)
	r := dispatch.Result{Ran: refusal.RanYes, Done: true, Answer: []byte(`"ok"`)}
	b.runner.batches[0].Done(0, r)
	b.runner.batches[0].Done(0, r)
	if a, err := b.owner.Lookup(lake, id); err != nil || a.State != job.Queued || len(a.Tasks) > 0 {
		t.Errorf("%+v, %v while a task runs", a, err)
	}
	b.runner.batches[0].Done(1, dispatch.Result{Ran: refusal.RanUnknown, Error: "reset"})
	b.runner.batches[0].Done(1, r)
	a, err := b.submit(id, ` 1 `, `2`)
	if err != nil || a.State != job.Failed || a.Tasks[0].Answer != nil || a.Tasks[1].Ran != refusal.RanUnknown {
		t.Errorf("answer to the failed job: %+v, %v", a, err)
	}
	_, err = b.submit(id, `1`, `3`)
	b.wantRefusal(err, refusal.Mismatch, refusal.RanUnknown)
}

// A process that was started at the owner's address gets calls for the owner's identities.
// It can't know what the owner has started, so it must neither start the job again nor
// answer that the job does not exist.
func TestForeignIdentity(t *testing.T) {
	b := newFixture(t, smallLimits)
	id := b.mint(lake).Job(0)
	id.Incarnation--
	_, err := b.submit(id, `1`)
	b.wantRefusal(err, refusal.OwnerGone, refusal.RanUnknown)
	id.Incarnation += 2
	_, err = b.owner.Lookup(lake, id)
	b.wantRefusal(err, refusal.OwnerUnreachable, refusal.RanUnknown)
	id.Owner, id.Process = self, "hub1"
	_, err = b.owner.Cancel(lake, id)
	b.wantRefusal(err, refusal.OwnerUnreachable, refusal.RanUnknown)
	b.wantStarts(id, 0)
}

// One caller takes a ticket for each job. Others must still get tickets, and a ticket that
// was used recently or has a running job must not be retired.
func TestTicketsAreShared(t *testing.T) {
	b := newFixture(t, smallLimits)
	first := b.mint(lake)
	_, _ = b.submit(first.Job(0), `1`)
	b.mint(lake)
	_, err := b.owner.Mint(lake)
	b.wantRefusal(err, refusal.Overloaded, refusal.RanNo)
	b.mint(job.Caller{Name: "teranga"})
	b.now = b.now.Add(time.Minute)
	b.mint(lake)
	b.runner.finishOldest()
	if _, err := b.submit(first.Job(0), `1`); err != nil {
		t.Errorf("a ticket with a running job was retired: %v", err)
	}
}

// A caller guesses the next identity on the ticket that is reserved for its own keys. If the
// submission were accepted, the next key would get the answer to another order.
func TestReservedIdentityIsNotGuessed(t *testing.T) {
	b := newFixture(t, smallLimits)
	id, err := b.owner.Reserve(lake.Name)
	if err != nil {
		t.Fatal(err)
	}
	_, err = b.submit(id.ID.Job(id.Seq+1), `1`)
	b.wantRefusal(err, refusal.NotFound, refusal.RanUnknown)
	next, _ := b.owner.Reserve(lake.Name)
	if _, err := b.submit(next, `2`); err != nil || next.Seq != id.Seq+1 {
		t.Errorf("%v: %v", next, err)
	}
}
