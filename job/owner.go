package job

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

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

// Owner starts the work of the tickets that it minted and keeps the outcomes.
// It is a lock around a book; its methods may be called from any goroutine.
type Owner struct {
	self  ticket.Owner
	place placer
	now   func() time.Time

	mu       sync.Mutex
	book     *book
	stopping bool
	running  int
	// passed numbers the requests without an identity.
	passed uint64
	idle   chan struct{}
}

// New makes the owner of all tickets that name self.
func New(self ticket.Owner, place placer, limits Limits, now func() time.Time) *Owner {
	return &Owner{
		self:  self,
		place: place,
		now:   now,
		book:  newBook(limits),
		idle:  make(chan struct{}),
	}
}

// Mint makes a ticket for the caller.
func (o *Owner) Mint(c Caller) (Grant, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopping {
		return Grant{}, refusal.New(refusal.Stopping, "")
	}
	limits := o.book.limits
	h, err := o.book.mint(o.now(), c.Name, limits.Range)
	if err != nil {
		return Grant{}, err
	}
	id := ticket.ID{Owner: o.self, Stream: h.stream}
	return Grant{Ticket: id.String(), First: 0, Limit: limits.Range, Window: limits.Window}, nil
}

// Reserve takes an identity for a key of the caller's own. Nothing runs under
// it before it is submitted.
func (o *Owner) Reserve(caller string) (ticket.JobID, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopping {
		return ticket.JobID{}, errors.New("job: stopping")
	}
	stream, seq, err := o.book.reserve(o.now(), caller)
	return ticket.ID{Owner: o.self, Stream: stream}.Job(seq), err
}

// work is what an identity is to do.
type work struct {
	caller Caller
	id     ticket.JobID
	sum    uint64
	batch  dispatch.Batch
	// done takes the result of one task.
	done func(e *entry, i int, r dispatch.Result)
}

// Submit starts the job, or attaches to the one of the same id.
func (o *Owner) Submit(ctx context.Context, s Submission) (Answer, error) {
	bodies := compact(s.Spec.Tasks)
	w := work{
		caller: s.Caller,
		id:     s.ID,
		sum:    digest(s.Spec.Kind, "", bodies),
		batch:  o.batch(s.Caller, s.ID, s.Spec.Kind, s.Spec.Timeout(o.book.limits.JobTimeout)),
		done:   o.taskDone,
	}
	w.batch.Tasks = bodies
	e, err := o.start(w)
	if err != nil {
		return Answer{}, err
	}
	if s.Wait {
		await(ctx, e)
	}
	return o.answer(e)
}

// Request passes one request through under its identity, or attaches to the
// one of the same id. It always waits for the whole reply.
func (o *Owner) Request(ctx context.Context, r Request) (Reply, error) {
	w := work{
		caller: r.Caller,
		id:     *r.ID,
		sum:    r.Sum(),
		batch:  o.batch(r.Caller, *r.ID, r.Kind, r.Time(o.book.limits.JobTimeout)),
		done:   o.replyDone,
	}
	w.batch.Tasks, w.batch.Type, w.batch.Request = [][]byte{r.Body}, r.Type, true
	e, err := o.start(w)
	if err != nil {
		return Reply{}, err
	}
	await(ctx, e)
	o.mu.Lock()
	defer o.mu.Unlock()
	return e.outcome.AsReply()
}

// Pass passes one request through that has no identity: a repetition by its
// caller is another request. Nothing of it is kept.
func (o *Owner) Pass(ctx context.Context, r Request) (Reply, error) {
	o.mu.Lock()
	if o.stopping {
		o.mu.Unlock()
		return Reply{}, refusal.New(refusal.Stopping, "")
	}
	o.running++
	o.passed++
	id := ticket.ID{Owner: o.self}.Job(o.passed)
	o.mu.Unlock()
	c := make(chan Outcome, 1)
	b := o.batch(r.Caller, id, r.Kind, r.Time(o.book.limits.JobTimeout))
	b.Tasks, b.Type, b.Request = [][]byte{r.Body}, r.Type, true
	var once sync.Once
	b.Done = func(_ int, res dispatch.Result) {
		once.Do(func() {
			c <- requestOutcome(b.Job, res)
			o.passDone()
		})
	}
	if err := o.place.Submit(b); err != nil {
		o.passDone()
		return Reply{}, refused(err)
	}
	select {
	case out := <-c:
		return out.AsReply()
	case <-ctx.Done():
		o.place.Cancel(b.Job)
		return Reply{}, refusal.New(refusal.Failed, "the caller has gone")
	}
}

func (o *Owner) passDone() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.finished()
}

// start starts the work unless its identity was taken before, and returns its
// entry.
func (o *Owner) start(w work) (*entry, error) {
	o.mu.Lock()
	if w.id.Owner != o.self {
		o.mu.Unlock()
		return nil, o.foreign(w.id.Owner)
	}
	e, fresh, err := o.book.take(o.now(), w.caller.Name, w.id, w.sum, len(w.batch.Tasks))
	if err != nil || !fresh {
		o.mu.Unlock()
		return e, err
	}
	if o.stopping {
		r := refusal.New(refusal.Stopping, "")
		o.book.end(o.now(), e, Outcome{Refused: r})
		o.mu.Unlock()
		return nil, r
	}
	o.running++
	o.mu.Unlock()
	w.batch.Done = func(i int, r dispatch.Result) { w.done(e, i, r) }
	if err := o.place.Submit(w.batch); err != nil {
		return nil, o.refuse(e, err)
	}
	o.cancelLate(e, w.batch.Job)
	return e, nil
}

// refuse burns the identity of an entry that the dispatch package turned away.
func (o *Owner) refuse(e *entry, cause error) error {
	r := refused(cause)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.book.end(o.now(), e, Outcome{Refused: r})
	o.finished()
	return r
}

// refused turns an error of the dispatch package, by which it refused a batch
// whole, into a refusal that says "not run".
func refused(cause error) *refusal.Refusal {
	var given *refusal.Refusal
	if errors.As(cause, &given) && given.Ran == refusal.RanNo {
		return given
	}
	return refusal.New(refusal.Overloaded, cause.Error()).After(time.Second)
}

// cancelLate repeats a cancellation that came between taking the identity and
// queueing its tasks. It found no tasks in the queue then; without the
// repetition the job would run to its end although its caller cancelled it.
func (o *Owner) cancelLate(e *entry, id string) {
	o.mu.Lock()
	cancelled := e.cancelled
	o.mu.Unlock()
	if cancelled {
		o.place.Cancel(id)
	}
}

func await(ctx context.Context, e *entry) {
	select {
	case <-e.ended:
	case <-ctx.Done():
	}
}

func (o *Owner) answer(e *entry) (Answer, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return e.outcome.AsAnswer()
}

// Lookup tells where a job stands.
func (o *Owner) Lookup(c Caller, id ticket.JobID) (Answer, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if id.Owner != o.self {
		return Answer{}, o.foreign(id.Owner)
	}
	e, err := o.book.lookup(o.now(), c.Name, id)
	if err != nil {
		return Answer{}, err
	}
	return e.outcome.AsAnswer()
}

// Cancel asks that no more tasks of the job start.
func (o *Owner) Cancel(c Caller, id ticket.JobID) (Answer, error) {
	o.mu.Lock()
	if id.Owner != o.self {
		o.mu.Unlock()
		return Answer{}, o.foreign(id.Owner)
	}
	e, err := o.book.cancel(o.now(), c.Name, id)
	if err != nil {
		o.mu.Unlock()
		return Answer{}, err
	}
	a, err := e.outcome.AsAnswer()
	o.mu.Unlock()
	if err == nil && a.State == Queued {
		o.place.Cancel(id.String())
	}
	return a, err
}

// foreign answers about an identity of another owner. A call gets here when
// this process has the address of an earlier one. It can't know what that one
// has started, so it says "unknown", and says for good that the earlier
// incarnation of its own name is gone.
func (o *Owner) foreign(id ticket.Owner) error {
	if id.Precedes(o.self) {
		return refusal.New(refusal.OwnerGone, "")
	}
	return refusal.New(refusal.OwnerUnreachable, "another process has its address").After(foreignRetryAfter)
}

const foreignRetryAfter = time.Second

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

// Stats is what an owner's memory holds, and how often it was at its bounds:
// answers dropped before their time, tickets retired and refused.
type Stats struct {
	Tickets, Running, Kept, KeptBytes int64
	Crowded, Retired, Full            int64
}

// Stats returns the figures for the metrics.
func (o *Owner) Stats() Stats {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.book
	b.sweep(o.now())
	return Stats{
		Tickets:   int64(len(b.tickets)),
		Running:   int64(o.running),
		Kept:      int64(b.kept.Len()),
		KeptBytes: b.keptBytes,
		Crowded:   b.crowded,
		Retired:   b.retired,
		Full:      b.full,
	}
}

func (o *Owner) finished() {
	o.running--
	if o.stopping && o.running == 0 {
		close(o.idle)
	}
}

func (o *Owner) batch(c Caller, id ticket.JobID, kind string, timeout time.Duration) dispatch.Batch {
	return dispatch.Batch{
		Job:     id.String(),
		Kind:    kind,
		Caller:  c.Name,
		Team:    c.Team,
		Expires: o.now().Add(timeout),
	}
}

func (o *Owner) taskDone(e *entry, i int, r dispatch.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !e.fill(i, taskResult(r)) {
		return
	}
	a := conclude(e.outcome.Answer.Job, e.results, e.cancelled)
	o.book.end(o.now(), e, Outcome{Answer: a})
	o.finished()
}

func (o *Owner) replyDone(e *entry, i int, r dispatch.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !e.fill(i, TaskResult{Ran: r.Ran, Done: r.Done}) {
		return
	}
	o.book.end(o.now(), e, requestOutcome(e.outcome.Answer.Job, r))
	o.finished()
}
