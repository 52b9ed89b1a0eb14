package job

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipehub.example/dispatch"
	"snipehub.example/refusal"
	"snipehub.example/ticket"
)

// placer is what an owner needs of the dispatch package.
type placer interface {
	// Submit takes all tasks of the batch or refuses it whole; the refusal
	// then means that nothing of it will ever be started.
	Submit(b dispatch.Batch) error
	Cancel(job string)
}

// Limits bounds an owner's memory.
type Limits struct {
	Tickets    int
	Range      uint64
	Window     int
	KeptBytes  int64
	KeptFor    time.Duration
	JobTimeout time.Duration
}

// Owner starts the jobs of the tickets that it minted and keeps their answers.
type Owner struct {
	self   ticket.Owner
	place  placer
	limits Limits

	mu       sync.Mutex
	stream   uint64
	tickets  map[uint64]*held
	stopping bool
	running  int
	idle     chan struct{}
}

// held is a minted ticket.
type held struct {
	caller string
	window *ticket.Window
	jobs   map[uint64]*entry
}

// entry is a job that runs or whose answer is kept.
type entry struct {
	sum     uint64
	ended   chan struct{}
	left    int
	results []TaskResult
	answer  Answer
	refused *refusal.Refusal
}

// New makes the owner of all tickets that name self.
func New(self ticket.Owner, place placer, limits Limits) *Owner {
	return &Owner{
		self:    self,
		place:   place,
		limits:  limits,
		tickets: make(map[uint64]*held),
		idle:    make(chan struct{}),
	}
}

// Mint makes a ticket for the caller.
func (o *Owner) Mint(c Caller) (Grant, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopping {
		return Grant{}, refusal.New(refusal.Stopping, "")
	}
	if len(o.tickets) >= o.limits.Tickets {
		return Grant{}, refusal.New(refusal.Overloaded, "too many tickets").After(time.Second)
	}
	o.stream++
	o.tickets[o.stream] = &held{
		caller: c.Name,
		window: ticket.NewWindow(o.limits.Window, o.limits.Range),
		jobs:   make(map[uint64]*entry),
	}
	id := ticket.ID{Owner: o.self, Stream: o.stream}
	return Grant{Ticket: id.String(), First: 0, Limit: o.limits.Range, Window: o.limits.Window}, nil
}

// Submit starts the job, or attaches to the one of the same id.
func (o *Owner) Submit(ctx context.Context, s Submission) (Answer, error) {
	sum := digest(s.Spec)
	o.mu.Lock()
	h, err := o.find(s.Caller, s.ID)
	if err != nil {
		o.mu.Unlock()
		return Answer{}, err
	}
	v := h.window.Take(s.ID.Seq)
	if v != ticket.Start {
		e := h.jobs[s.ID.Seq]
		o.mu.Unlock()
		return o.again(ctx, s, v, e, sum)
	}
	e := &entry{
		sum:     sum,
		ended:   make(chan struct{}),
		left:    len(s.Spec.Tasks),
		results: make([]TaskResult, len(s.Spec.Tasks)),
		answer:  Answer{Job: s.ID.String(), State: Queued},
	}
	h.jobs[s.ID.Seq] = e
	if o.stopping {
		r := refusal.New(refusal.Stopping, "")
		o.burn(h, s.ID.Seq, e, r)
		o.mu.Unlock()
		return Answer{}, r
	}
	o.running++
	o.mu.Unlock()
	if err := o.place.Submit(o.batch(s, h, e)); err != nil {
		o.mu.Lock()
		r := refusal.New(refusal.Overloaded, err.Error())
		if given, ok := err.(*refusal.Refusal); ok {
			r = given
		}
		o.burn(h, s.ID.Seq, e, r)
		o.finished()
		o.mu.Unlock()
		return Answer{}, r
	}
	return o.wait(ctx, s, e)
}

// again answers a submission of an identity that was seen before.
func (o *Owner) again(ctx context.Context, s Submission, v ticket.Verdict, e *entry, sum uint64) (Answer, error) {
	switch {
	case v == ticket.Beyond:
		return Answer{}, refusal.New(refusal.OutOfRange, "")
	case v == ticket.Forgotten || e == nil:
		return Answer{}, refusal.New(refusal.Forgotten, "")
	case v == ticket.Burned:
		return Answer{}, refusal.New(refusal.Burned, e.refused.Sentence)
	case e.sum != sum:
		return Answer{}, refusal.New(refusal.Mismatch, "")
	}
	return o.wait(ctx, s, e)
}

func (o *Owner) wait(ctx context.Context, s Submission, e *entry) (Answer, error) {
	if s.Wait {
		select {
		case <-e.ended:
		case <-ctx.Done():
		}
	}
	return o.show(e)
}

func (o *Owner) show(e *entry) (Answer, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e.refused != nil {
		return Answer{}, e.refused
	}
	return e.answer, nil
}

// Lookup tells where a job stands.
func (o *Owner) Lookup(c Caller, id ticket.JobID) (Answer, error) {
	o.mu.Lock()
	h, err := o.find(c, id)
	if err != nil {
		o.mu.Unlock()
		return Answer{}, err
	}
	e := h.jobs[id.Seq]
	v := h.window.Peek(id.Seq)
	o.mu.Unlock()
	switch {
	case v == ticket.Forgotten:
		return Answer{}, refusal.New(refusal.Forgotten, "")
	case e == nil:
		return Answer{}, refusal.New(refusal.NotFound, "")
	}
	return o.show(e)
}

// Cancel asks that no more tasks of the job start.
func (o *Owner) Cancel(c Caller, id ticket.JobID) (Answer, error) {
	a, err := o.Lookup(c, id)
	if err == nil && a.State == Queued {
		o.place.Cancel(id.String())
	}
	return a, err
}

// Stop refuses new work and waits until what runs has ended or ctx has.
func (o *Owner) Stop(ctx context.Context) error {
	o.mu.Lock()
	if !o.stopping {
		o.stopping = true
		if o.running == 0 {
			close(o.idle)
		}
	}
	o.mu.Unlock()
	select {
	case <-o.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (o *Owner) find(c Caller, id ticket.JobID) (*held, error) {
	h, ok := o.tickets[id.Stream]
	if id.Owner != o.self || !ok || h.caller != c.Name {
		return nil, refusal.New(refusal.NotFound, "")
	}
	return h, nil
}

// burn marks an identity as not run: a late copy of the submission must get
// the same answer, because the caller may by then have submitted the same
// order under a new identity.
func (o *Owner) burn(h *held, seq uint64, e *entry, r *refusal.Refusal) {
	h.window.End(seq, true)
	e.refused = r
	close(e.ended)
}

func (o *Owner) finished() {
	o.running--
	if o.stopping && o.running == 0 {
		close(o.idle)
	}
}

func (o *Owner) batch(s Submission, h *held, e *entry) dispatch.Batch {
	return dispatch.Batch{
		Job:     s.ID.String(),
		Kind:    s.Spec.Kind,
		Caller:  s.Caller.Name,
		Team:    s.Caller.Team,
		Expires: time.Now().Add(s.Spec.Timeout(o.limits.JobTimeout)),
		Tasks:   payloads(s.Spec.Tasks),
		Done:    func(i int, r dispatch.Result) { o.taskDone(h, s.ID.Seq, e, i, r) },
	}
}

func (o *Owner) taskDone(h *held, seq uint64, e *entry, i int, r dispatch.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e.results[i] = TaskResult{Ran: r.Ran, Done: r.Done, Answer: r.Answer, Error: r.Error}
	if r.Done && !json.Valid(r.Answer) {
		e.results[i] = TaskResult{Ran: refusal.RanYes, Error: "the backend server's answer is not JSON"}
	}
	e.left--
	if e.left > 0 {
		return
	}
	e.answer = conclude(e.answer.Job, e.results)
	h.window.End(seq, false)
	close(e.ended)
	o.finished()
}

// conclude builds the answer of a job whose tasks have all ended. The answers
// of single tasks are left out of a failed job, so that nobody takes a part for
// the whole.
func conclude(id string, results []TaskResult) Answer {
	a := Answer{Job: id, State: Done, Tasks: results}
	for _, r := range results {
		if !r.Done {
			a.State = Failed
		}
	}
	if a.State == Done {
		return a
	}
	a.Error = "not every task was done"
	for i := range a.Tasks {
		a.Tasks[i].Answer = nil
	}
	return a
}

func payloads(in []json.RawMessage) [][]byte {
	out := make([][]byte, len(in))
	for i, b := range in {
		out[i] = b
	}
	return out
}

// digest tells whether two submissions of one identity are the same.
func digest(s Spec) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(s.Kind)
	for _, t := range s.Tasks {
		_, _ = d.Write([]byte{0})
		var b bytes.Buffer
		if json.Compact(&b, t) == nil {
			_, _ = d.Write(b.Bytes())
		}
	}
	return d.Sum64()
}
