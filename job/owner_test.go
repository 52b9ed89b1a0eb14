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
	onSubmit  func(dispatch.Submission)
	starts    map[string]int
	batches   []dispatch.Submission
	cancelled []string
}

func (r *fakeRunner) Submit(b dispatch.Submission) error {
	if r.onSubmit != nil {
		r.onSubmit(b)
	}
	if r.refuse != nil {
		return r.refuse
	}
	r.starts[b.Job]++
	r.batches = append(r.batches, b)
	return nil
}

func (r *fakeRunner) Cancel(id string) { r.cancelled = append(r.cancelled, id) }

// finishOldest ends all tasks of the oldest batch as done.
func (r *fakeRunner) finishOldest() {
	b := r.batches[0]
	r.batches = r.batches[1:]
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

var smallLimits = job.Limits{Tickets: 8, Range: 100, Window: 4, KeptBytes: 1 << 20, AnswerRetention: time.Minute, JobTimeout: time.Minute}

func newFixture(t *testing.T, l job.Limits) *fixture {
	f := &fixture{t: t, runner: &fakeRunner{starts: make(map[string]int)}, now: time.Unix(1e9, 0)}
	f.owner = job.New(self, f.runner, l, func() time.Time { return f.now })
	return f
}

func (f *fixture) mint(c job.Caller) ticket.ID {
	f.t.Helper()
	g, err := f.owner.Mint(c)
	if err != nil {
		f.t.Fatal(err)
	}
	id, err := ticket.ParseID(g.Ticket)
	if err != nil {
		f.t.Fatal(err)
	}
	return id
}

func (f *fixture) submit(id ticket.JobID, tasks ...string) (job.Answer, error) {
	s := job.Submission{Caller: lake, ID: id, Spec: job.Spec{Kind: "price"}}
	for _, t := range tasks {
		s.Spec.Tasks = append(s.Spec.Tasks, json.RawMessage(t))
	}
	return f.owner.Submit(context.Background(), s)
}

// wantRefusal checks that err is a refusal with the given code and "ran".
func (f *fixture) wantRefusal(err error, code refusal.Code, ran refusal.Ran) {
	f.t.Helper()
	var r *refusal.Refusal
	if !errors.As(err, &r) || r.Code != code || r.Ran != ran {
		f.t.Errorf("refusal %v, want %s (ran: %s)", err, code, ran)
	}
}

func (f *fixture) wantStarts(id ticket.JobID, n int) {
	f.t.Helper()
	if got := f.runner.starts[id.String()]; got != n {
		f.t.Errorf("%s started %d times, want %d", id, got, n)
	}
}

// A caller submits a job through one dispatcher, gets no answer and submits it through
// another. The owner refuses it as "not run", and the caller submits the job under a new
// identity. Then the first copy arrives and must be refused as well, although the owner
// could accept it now: otherwise the job would run twice.
func TestNotRunBurnsTheIdentity(t *testing.T) {
	f := newFixture(t, smallLimits)
	id := f.mint(lake).Job(0)
	f.runner.refuse = refusal.New(refusal.OverQuota, "")
	_, err := f.submit(id, `1`)
	f.wantRefusal(err, refusal.OverQuota, refusal.RanNo)
	f.runner.refuse = nil
	_, err = f.submit(id, `1`)
	f.wantRefusal(err, refusal.OverQuota, refusal.RanNo)
	f.now = f.now.Add(time.Hour)
	f.owner.Stats()
	_, err = f.submit(id, `1`)
	f.wantRefusal(err, refusal.Burned, refusal.RanNo)
	f.wantStarts(id, 0)
}

// Answers are stored within bounds of size and age. A copy of a submission that arrives
// after its answer was evicted must be refused as forgotten, and its tasks must not start a
// second time.
func TestForgottenAnswerNeverStartsAgain(t *testing.T) {
	for _, forget := range []func(*fixture, ticket.ID){
		func(f *fixture, _ ticket.ID) { f.now = f.now.Add(time.Minute); f.owner.Stats() },
		func(f *fixture, tk ticket.ID) {
			for i := range 3 {
				_, _ = f.submit(tk.Job(uint64(1+i)), `1`)
				f.runner.finishOldest()
			}
		},
		func(f *fixture, tk ticket.ID) { _, _ = f.submit(tk.Job(50), `1`) },
		func(f *fixture, _ ticket.ID) {
			f.now = f.now.Add(time.Minute)
			for i := range smallLimits.Tickets {
				f.mint(job.Caller{Name: string(rune('a' + i))})
			}
		},
	} {
		l := smallLimits
		l.KeptBytes = 2000
		f := newFixture(t, l)
		tk := f.mint(lake)
		id := tk.Job(0)
		_, _ = f.submit(id, `1`)
		f.runner.finishOldest()
		if a, err := f.submit(id, `1`); err != nil || a.State != job.Done {
			t.Fatalf("answer to the copy: %v, %v", a, err)
		}
		forget(f, tk)
		_, err := f.submit(id, `1`)
		f.wantRefusal(err, refusal.Forgotten, refusal.RanUnknown)
		f.wantStarts(id, 1)
		if s := f.owner.Stats(); s.KeptBytes > l.KeptBytes || s.Kept > 3 {
			t.Errorf("memory exceeds its bounds: %+v", s)
		}
	}
}

// A sequence that is too far ahead of a running one must not be refused as "not run",
// because it can start once that one has ended: a caller that relied on "not run" and took a
// new identity would run its job twice.
func TestAheadOfTheWindow(t *testing.T) {
	f := newFixture(t, smallLimits)
	tk := f.mint(lake)
	_, _ = f.submit(tk.Job(0), `1`)
	_, err := f.submit(tk.Job(4), `1`)
	f.wantRefusal(err, refusal.WindowFull, refusal.RanUnknown)
	f.runner.finishOldest()
	_, err = f.submit(tk.Job(4), `1`)
	if err != nil {
		t.Error(err)
	}
	f.wantStarts(tk.Job(4), 1)
	_, err = f.submit(tk.Job(100), `1`)
	f.wantRefusal(err, refusal.OutOfRange, refusal.RanNo)
}

// A cancellation arrives before the submission, or before the tasks are queued. As the
// caller was told that the job is cancelled, the job must not run.
func TestCancellationOvertakes(t *testing.T) {
	f := newFixture(t, smallLimits)
	tk := f.mint(lake)
	_, err := f.owner.Cancel(lake, tk.Job(0))
	f.wantRefusal(err, refusal.Cancelled, refusal.RanNo)
	_, err = f.submit(tk.Job(0), `1`)
	f.wantRefusal(err, refusal.Cancelled, refusal.RanNo)
	f.wantStarts(tk.Job(0), 0)

	repeatedEarly := false
	f.runner.onSubmit = func(dispatch.Submission) {
		_, _ = f.owner.Cancel(lake, tk.Job(1))
		repeatedEarly = len(f.runner.cancelled) > 1
	}
	_, _ = f.submit(tk.Job(1), `1`)
	if repeatedEarly || len(f.runner.cancelled) != 2 {
		t.Errorf("cancellations after queueing: %d, want 1", len(f.runner.cancelled)-1)
	}
}

// The result of one task is reported twice while another task still runs. Counted twice, it
// would end the job, and the caller would get a partial answer.
func TestAnswerIsWhole(t *testing.T) {
	f := newFixture(t, smallLimits)
	id := f.mint(lake).Job(0)
	_, _ = f.submit(id, `1`, `2`)
	r := dispatch.Result{Ran: refusal.RanYes, Done: true, Answer: []byte(`"ok"`)}
	f.runner.batches[0].Done(0, r)
	f.runner.batches[0].Done(0, r)
	if a, err := f.owner.Lookup(lake, id); err != nil || a.State != job.Running || len(a.Tasks) > 0 {
		t.Errorf("%+v, %v while a task runs", a, err)
	}
	f.runner.batches[0].Done(1, dispatch.Result{Ran: refusal.RanUnknown, Error: "reset"})
	f.runner.batches[0].Done(1, r)
	a, err := f.submit(id, ` 1 `, `2`)
	if err != nil || a.State != job.Failed || a.Tasks[0].Answer != nil || a.Tasks[1].Ran != refusal.RanUnknown {
		t.Errorf("answer to the failed job: %+v, %v", a, err)
	}
	_, err = f.submit(id, `1`, `3`)
	f.wantRefusal(err, refusal.Mismatch, refusal.RanUnknown)
}

// A process that was started at the owner's address gets calls for the owner's identities.
// It can't know what the owner has started, so it must neither start the job again nor
// answer that the job does not exist.
func TestForeignIdentity(t *testing.T) {
	f := newFixture(t, smallLimits)
	id := f.mint(lake).Job(0)
	id.Incarnation--
	_, err := f.submit(id, `1`)
	f.wantRefusal(err, refusal.OwnerGone, refusal.RanUnknown)
	id.Incarnation += 2
	_, err = f.owner.Lookup(lake, id)
	f.wantRefusal(err, refusal.OwnerUnreachable, refusal.RanUnknown)
	id.Owner, id.Process = self, "hub1"
	_, err = f.owner.Cancel(lake, id)
	f.wantRefusal(err, refusal.OwnerUnreachable, refusal.RanUnknown)
	f.wantStarts(id, 0)
}

// One caller takes a ticket for each job. Others must still get tickets, and a ticket that
// was used recently or has a running job must not be retired.
func TestTicketsAreShared(t *testing.T) {
	f := newFixture(t, smallLimits)
	first := f.mint(lake)
	_, _ = f.submit(first.Job(0), `1`)
	f.mint(lake)
	_, err := f.owner.Mint(lake)
	f.wantRefusal(err, refusal.Overloaded, refusal.RanNo)
	f.mint(job.Caller{Name: "teranga"})
	f.now = f.now.Add(time.Minute)
	f.mint(lake)
	f.runner.finishOldest()
	if _, err := f.submit(first.Job(0), `1`); err != nil {
		t.Errorf("a ticket with a running job was retired: %v", err)
	}
}

// A caller guesses the next identity on the ticket that is reserved for its own keys. If the
// submission were accepted, the next key would get the answer to another job.
func TestReservedIdentityIsNotGuessed(t *testing.T) {
	f := newFixture(t, smallLimits)
	id, err := f.owner.Reserve(lake.Name)
	if err != nil {
		t.Fatal(err)
	}
	_, err = f.submit(id.ID.Job(id.Seq+1), `1`)
	f.wantRefusal(err, refusal.NotFound, refusal.RanUnknown)
	next, _ := f.owner.Reserve(lake.Name)
	if _, err := f.submit(next, `2`); err != nil || next.Seq != id.Seq+1 {
		t.Errorf("%v: %v", next, err)
	}
}
