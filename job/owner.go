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

// submissionRunner is the part of the dispatch package that an Owner uses.
type submissionRunner interface {
	// Submit accepts all tasks of the submission or none. After an error, no task
	// of it will ever be started.
	Submit(b dispatch.Submission) error
	Cancel(job string)
}

// Limits holds the limits of an owner.
type Limits struct {
	Tickets         int
	Range           uint64
	Window          int
	KeptBytes       int64
	AnswerRetention time.Duration
	JobTimeout      time.Duration
}

// Owner starts the jobs and requests of the tickets that it has minted and stores their
// outcomes. It guards a ticketTable with a lock and is safe for concurrent use.
type Owner struct {
	self   ticket.Owner
	runner submissionRunner
	now    func() time.Time

	mu           sync.Mutex
	ticketTable  *ticketTable
	stopping     bool
	runningCount int
	// lastRequestSeq numbers the requests that were submitted without an identity.
	lastRequestSeq uint64
	drained        chan struct{}
}

// New returns the owner of all tickets that name self.
func New(self ticket.Owner, runner submissionRunner, limits Limits, now func() time.Time) *Owner {
	return &Owner{
		self:        self,
		runner:      runner,
		now:         now,
		ticketTable: newTicketTable(limits),
		drained:     make(chan struct{}),
	}
}

// Mint returns a new ticket for the caller.
func (o *Owner) Mint(c Caller) (Grant, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopping {
		return Grant{}, refusal.New(refusal.Stopping, "")
	}
	limits := o.ticketTable.limits
	t, err := o.ticketTable.mint(o.now(), c.Name, limits.Range)
	if err != nil {
		return Grant{}, err
	}
	id := ticket.ID{Owner: o.self, Number: t.stream}
	return Grant{Ticket: id.String(), First: 0, Limit: limits.Range, Window: limits.Window}, nil
}

// Reserve reserves an identity for one of the caller's own keys. Nothing runs under it
// until it is submitted.
func (o *Owner) Reserve(caller string) (ticket.JobID, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.stopping {
		return ticket.JobID{}, errors.New("job: stopping")
	}
	stream, seq, err := o.ticketTable.reserve(o.now(), caller)
	return ticket.ID{Owner: o.self, Number: stream}.Job(seq), err
}

// work is a job or a request to start under an identity.
type work struct {
	caller     Caller
	id         ticket.JobID
	sum        uint64
	submission dispatch.Submission
	// onResult is called with the result of each task.
	onResult func(e *entry, i int, r dispatch.Result)
}

// Submit starts the job, or attaches to the job with the same id.
func (o *Owner) Submit(ctx context.Context, s Submission) (Answer, error) {
	bodies := compactJSON(s.Spec.Tasks)
	w := work{
		caller:     s.Caller,
		id:         s.ID,
		sum:        submissionDigest(s.Spec.Kind, "", bodies),
		submission: o.submission(s.Caller, s.ID, s.Spec.Kind, s.Spec.Timeout(o.ticketTable.limits.JobTimeout)),
		onResult:   o.taskDone,
	}
	w.submission.Tasks = bodies
	e, err := o.start(w)
	if err != nil {
		return Answer{}, err
	}
	if s.Wait {
		awaitEnd(ctx, e)
	}
	return o.answer(e)
}

// Request passes one request through under its identity, or attaches to the request with
// the same id. It waits for the complete reply until ctx ends.
func (o *Owner) Request(ctx context.Context, r Request) (Reply, error) {
	w := work{
		caller:     r.Caller,
		id:         *r.ID,
		sum:        r.Digest(),
		submission: o.submission(r.Caller, *r.ID, r.Kind, r.TimeoutOr(o.ticketTable.limits.JobTimeout)),
		onResult:   o.replyDone,
	}
	w.submission.Tasks, w.submission.Type, w.submission.PassThrough = [][]byte{r.Body}, r.Type, true
	e, err := o.start(w)
	if err != nil {
		return Reply{}, err
	}
	awaitEnd(ctx, e)
	o.mu.Lock()
	defer o.mu.Unlock()
	return e.outcome.AsReply()
}

// PassThrough passes through one request that has no identity: if its caller repeats it, it
// is another request. Its outcome is not stored.
func (o *Owner) PassThrough(ctx context.Context, r Request) (Reply, error) {
	o.mu.Lock()
	if o.stopping {
		o.mu.Unlock()
		return Reply{}, refusal.New(refusal.Stopping, "")
	}
	o.runningCount++
	o.lastRequestSeq++
	id := ticket.ID{Owner: o.self}.Job(o.lastRequestSeq)
	o.mu.Unlock()
	outcomes := make(chan Outcome, 1)
	s := o.submission(r.Caller, id, r.Kind, r.TimeoutOr(o.ticketTable.limits.JobTimeout))
	s.Tasks, s.Type, s.PassThrough = [][]byte{r.Body}, r.Type, true
	var once sync.Once
	s.Done = func(_ int, res dispatch.Result) {
		once.Do(func() {
			outcomes <- requestOutcome(s.Job, res)
			o.requestFinished()
		})
	}
	if err := o.runner.Submit(s); err != nil {
		o.requestFinished()
		return Reply{}, notRunRefusal(err)
	}
	select {
	case out := <-outcomes:
		return out.AsReply()
	case <-ctx.Done():
		o.runner.Cancel(s.Job)
		return Reply{}, refusal.New(refusal.Failed, "the caller has gone")
	}
}

// requestFinished is workFinished for a call without o.mu.
func (o *Owner) requestFinished() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.workFinished()
}

// start starts the work unless its identity was started before, and returns its entry.
func (o *Owner) start(w work) (*entry, error) {
	o.mu.Lock()
	if w.id.Owner != o.self {
		o.mu.Unlock()
		return nil, o.foreignRefusal(w.id.Owner)
	}
	e, created, err := o.ticketTable.getOrCreate(o.now(), w.caller.Name, w.id, w.sum, len(w.submission.Tasks))
	if err != nil || !created {
		o.mu.Unlock()
		return e, err
	}
	if o.stopping {
		r := refusal.New(refusal.Stopping, "")
		o.ticketTable.setOutcome(o.now(), e, Outcome{Refused: r})
		o.mu.Unlock()
		return nil, r
	}
	o.runningCount++
	o.mu.Unlock()
	w.submission.Done = func(i int, r dispatch.Result) { w.onResult(e, i, r) }
	if err := o.runner.Submit(w.submission); err != nil {
		return nil, o.endRefused(e, err)
	}
	o.repeatCancel(e, w.submission.Job)
	return e, nil
}

// endRefused burns the identity of an entry whose submission the dispatch package refused.
func (o *Owner) endRefused(e *entry, cause error) error {
	r := notRunRefusal(cause)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ticketTable.setOutcome(o.now(), e, Outcome{Refused: r})
	o.workFinished()
	return r
}

// notRunRefusal converts the error with which the dispatch package refused a submission to
// a "not run" refusal.
func notRunRefusal(cause error) *refusal.Refusal {
	var dispatchRefusal *refusal.Refusal
	if errors.As(cause, &dispatchRefusal) && dispatchRefusal.Ran == refusal.RanNo {
		return dispatchRefusal
	}
	return refusal.New(refusal.Overloaded, cause.Error()).WithRetryAfter(time.Second)
}

// repeatCancel repeats a cancellation that arrived after the entry was created and before
// its tasks were queued. It found no tasks to cancel then; unless it is repeated, the job
// would run to its end although its caller cancelled it.
func (o *Owner) repeatCancel(e *entry, id string) {
	o.mu.Lock()
	cancelled := e.cancelled
	o.mu.Unlock()
	if cancelled {
		o.runner.Cancel(id)
	}
}

func awaitEnd(ctx context.Context, e *entry) {
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

// Lookup returns the answer to a job so far.
func (o *Owner) Lookup(c Caller, id ticket.JobID) (Answer, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if id.Owner != o.self {
		return Answer{}, o.foreignRefusal(id.Owner)
	}
	e, err := o.ticketTable.lookup(o.now(), c.Name, id)
	if err != nil {
		return Answer{}, err
	}
	return e.outcome.AsAnswer()
}

// Cancel requests that no more tasks of the job are started, and returns the job's answer so
// far.
func (o *Owner) Cancel(c Caller, id ticket.JobID) (Answer, error) {
	o.mu.Lock()
	if id.Owner != o.self {
		o.mu.Unlock()
		return Answer{}, o.foreignRefusal(id.Owner)
	}
	e, err := o.ticketTable.cancel(o.now(), c.Name, id)
	if err != nil {
		o.mu.Unlock()
		return Answer{}, err
	}
	a, err := e.outcome.AsAnswer()
	o.mu.Unlock()
	if err == nil && a.State == Running {
		o.runner.Cancel(id.String())
	}
	return a, err
}

// foreignRefusal returns the refusal for an identity of another owner. Such a call arrives
// if this process has the address of an earlier one. It can't know what that one has
// started, so the refusal says "unknown". If the owner is an earlier incarnation of this
// process, the refusal is final, because that incarnation is gone.
func (o *Owner) foreignRefusal(owner ticket.Owner) error {
	if owner.Precedes(o.self) {
		return refusal.New(refusal.OwnerGone, "")
	}
	return refusal.New(refusal.OwnerUnreachable, "another process has its address").WithRetryAfter(foreignRetryAfter)
}

const foreignRetryAfter = time.Second

// Stop refuses new work from now on and waits until all running work has ended or ctx ends.
func (o *Owner) Stop(ctx context.Context) error {
	o.mu.Lock()
	if !o.stopping {
		o.stopping = true
		if o.runningCount == 0 {
			close(o.drained)
		}
	}
	o.mu.Unlock()
	select {
	case <-o.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stats describes the memory of an owner and how often it has reached its bounds:
// EvictedAnswers counts answers dropped before their retention period was over,
// RetiredTickets counts tickets dropped for new ones, RefusedTickets counts refused
// requests for a ticket.
type Stats struct {
	Tickets, Running, Kept, KeptBytes              int64
	EvictedAnswers, RetiredTickets, RefusedTickets int64
}

// Stats returns the values for the metrics.
func (o *Owner) Stats() Stats {
	o.mu.Lock()
	defer o.mu.Unlock()
	tt := o.ticketTable
	tt.evictAnswers(o.now())
	return Stats{
		Tickets:        int64(len(tt.tickets)),
		Running:        int64(o.runningCount),
		Kept:           int64(tt.ended.Len()),
		KeptBytes:      tt.keptBytes,
		EvictedAnswers: tt.evictedAnswers,
		RetiredTickets: tt.retiredTickets,
		RefusedTickets: tt.refusedTickets,
	}
}

// workFinished counts one running job or request fewer. The caller must hold o.mu.
func (o *Owner) workFinished() {
	o.runningCount--
	if o.stopping && o.runningCount == 0 {
		close(o.drained)
	}
}

func (o *Owner) submission(c Caller, id ticket.JobID, kind string, timeout time.Duration) dispatch.Submission {
	return dispatch.Submission{
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
	if !e.setResult(i, taskResult(r)) {
		return
	}
	a := jobAnswer(e.outcome.Answer.Job, e.results, e.cancelled)
	o.ticketTable.setOutcome(o.now(), e, Outcome{Answer: a})
	o.workFinished()
}

func (o *Owner) replyDone(e *entry, i int, r dispatch.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !e.setResult(i, TaskResult{Ran: r.Ran, Done: r.Done}) {
		return
	}
	o.ticketTable.setOutcome(o.now(), e, requestOutcome(e.outcome.Answer.Job, r))
	o.workFinished()
}
