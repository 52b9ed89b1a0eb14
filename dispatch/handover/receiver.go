package handover

import (
	"context"
	"sync"
	"time"

	"snipehub.example/clock"
	"snipehub.example/delivery"
	"snipehub.example/dispatch"
	"snipehub.example/refusal"
	"snipehub.example/ticket"
)

const (
	// maxAnswerDelay is how long an ask is held while there are no results.
	maxAnswerDelay = 2 * time.Second
	// batchingDelay is how long results are kept back for more to come. It delays no
	// caller: a job whose last task of the batch has ended is told at once.
	batchingDelay = time.Second
	// resultRetention is how long a batch with all results is kept for an owner that does
	// not come for them.
	resultRetention = 2 * time.Minute
	// drainPoll is how often a planned stop looks whether batches are open.
	drainPoll = 20 * time.Millisecond
	// maxBatches bounds the open batches of all owners, maxOwners the owners
	// whose lowest number is remembered.
	maxBatches = 1024
	maxOwners  = 16384
)

// submitter is what a receiver needs of the submitter.
type submitter interface {
	Submit(b dispatch.Batch) error
	Free() int
}

// Receiver takes tasks over from peers.
type Receiver struct {
	self       ticket.Owner
	dispatcher submitter
	now        func() time.Time

	mu       sync.Mutex
	stopping bool
	owners   map[ticket.Owner]*owner
}

// owner is what is remembered of a dispatcher that hands over.
type owner struct {
	lowestOpen uint64
	batches    map[uint64]*receivedBatch
	lastAsked  time.Time
}

// receivedBatch is a batch.
type receivedBatch struct {
	mu              sync.Mutex
	unfinished      int
	jobOfTask       []string
	unfinishedByJob map[string]int
	results         []Result
	// delivered is how many results have been given in answers.
	delivered int
	// answerDue wakes who waits when an answer should go out, some when there is
	// any result.
	answerDue chan struct{}
	anyResult chan struct{}
	lastAsked time.Time
}

// NewReceiver makes a receiver that places the tasks it gets.
func NewReceiver(self ticket.Owner, dispatcher submitter, now func() time.Time) *Receiver {
	return &Receiver{self: self, dispatcher: dispatcher, now: now, owners: make(map[ticket.Owner]*owner)}
}

// Stop makes the receiver turn down every batch that it does not have yet.
func (r *Receiver) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// Drain waits until every batch has ended and its owner has been told, or ctx
// ends. It is for a planned stop, which must not cut a peer's tasks.
func (r *Receiver) Drain(ctx context.Context) {
	for r.hasOpenBatches() && ctx.Err() == nil {
		clock.Sleep(ctx, drainPoll)
	}
}

func (r *Receiver) hasOpenBatches() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.owners {
		for _, b := range o.batches {
			if !b.finished() {
				return true
			}
		}
	}
	return false
}

func (b *receivedBatch) finished() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unfinished == 0 && b.delivered >= len(b.results)
}

// Handle answers an ask.
func (r *Receiver) Handle(ctx context.Context, a Ask) (Answer, error) {
	if a.To != r.self {
		return Answer{State: OtherIncarnation}, nil
	}
	b := r.batch(a)
	if b == nil {
		return Answer{State: Forgotten, Free: r.dispatcher.Free()}, nil
	}
	results := b.await(ctx, a.Received)
	b.markDelivered(a.Received+len(results), r.now())
	return Answer{State: Open, Results: results, Free: r.dispatcher.Free()}, nil
}

// batch finds the batch of the ask, or takes it.
//
// The lock is held until the batch stands in the map, and a batch is started
// only by whoever put it there: of two copies of an ask that arrive together,
// one starts the tasks.
func (r *Receiver) batch(a Ask) *receivedBatch {
	r.mu.Lock()
	o := r.owner(a.From)
	o.forgetBelow(a.LowestOpen)
	b, ok := o.batches[a.Batch]
	if ok || a.Batch < o.lowestOpen || len(a.Tasks) == 0 {
		r.mu.Unlock()
		return b
	}
	b = &receivedBatch{
		unfinished:      len(a.Tasks),
		unfinishedByJob: make(map[string]int),
		answerDue:       make(chan struct{}, 1),
		anyResult:       make(chan struct{}, 1),
		lastAsked:       r.now(),
	}
	for _, t := range a.Tasks {
		b.unfinishedByJob[t.Job]++
		b.jobOfTask = append(b.jobOfTask, t.Job)
	}
	refuse := r.stopping || r.full()
	if refuse && r.full() {
		// Not remembered, but over: a late copy must not start it, since
		// the owner may have been told that it did not run.
		o.lowestOpen = a.Batch + 1
	} else {
		o.batches[a.Batch] = b
	}
	r.mu.Unlock()
	for i, t := range a.Tasks {
		r.start(b, i, t, refuse)
	}
	return b
}

func (r *Receiver) start(b *receivedBatch, i int, t Task, refuse bool) {
	if refuse {
		b.addResult(Result{Task: i, Kind: delivery.NotRun, Cause: delivery.Refused, Reason: "the peer takes no tasks now"})
		return
	}
	err := r.dispatcher.Submit(dispatch.Batch{
		Job:      t.ID,
		FromPeer: true,
		Kind:     t.Kind,
		Caller:   t.Caller,
		Team:     t.Team,
		Type:     t.Type,
		Expires:  r.now().Add(t.TimeLeft),
		Request:  true,
		Tasks:    [][]byte{t.Body},
		Done:     func(_ int, d dispatch.Result) { b.addResult(result(i, d)) },
	})
	if err != nil {
		b.addResult(Result{Task: i, Kind: delivery.NotRun, Cause: delivery.Refused, Reason: err.Error()})
	}
}

// result turns the dispatcher's result back into that of an attempt.
func result(i int, d dispatch.Result) Result {
	out := Result{Task: i, Status: d.Status, Type: d.Type, Body: d.Answer, Reason: d.Error}
	switch {
	case d.Ran == refusal.RanNo:
		out.Kind = delivery.NotRun
		out.Cause = delivery.Refused
	case d.Ran != refusal.RanYes:
		out.Kind = delivery.Unknown
		out.Cause = delivery.Broken
	case d.Status == 200:
		out.Kind = delivery.Done
	default:
		// A guest runs as a request, of which the dispatcher tells the answer and no
		// error; the owner's caller is to read the same as without a hand-over.
		out.Kind = delivery.Ran
		out.Cause = delivery.Status
		out.Reason = delivery.StatusReason(d.Status)
	}
	return out
}

func (r *Receiver) owner(from ticket.Owner) *owner {
	o := r.owners[from]
	if o == nil {
		r.evictOwner()
		o = &owner{batches: make(map[uint64]*receivedBatch)}
		r.owners[from] = o
	}
	o.lastAsked = r.now()
	return o
}

// full tells whether no more batches can be remembered, after forgetting what
// nobody has come for.
func (r *Receiver) full() bool {
	n := 0
	for _, o := range r.owners {
		n += len(o.batches)
	}
	if n < maxBatches {
		return false
	}
	for _, o := range r.owners {
		n -= o.dropExpired(r.now())
	}
	return n >= maxBatches
}

// evictOwner forgets the owner that was silent longest when there are too many. An
// owner's lowest number is kept as long as possible, also without any batch: a
// frozen owner may send an old ask when it thaws.
func (r *Receiver) evictOwner() {
	if len(r.owners) < maxOwners {
		return
	}
	var oldest ticket.Owner
	for name, o := range r.owners {
		if e := r.owners[oldest]; e == nil || o.lastAsked.Before(e.lastAsked) {
			oldest = name
		}
	}
	delete(r.owners, oldest)
}

// forgetBelow drops the batches below low; they are over.
func (o *owner) forgetBelow(low uint64) {
	if low <= o.lowestOpen {
		return
	}
	o.lowestOpen = low
	for n := range o.batches {
		if n < low {
			delete(o.batches, n)
		}
	}
}

// dropExpired drops the batches that nobody has come for, and returns their number.
func (o *owner) dropExpired(now time.Time) int {
	dropped := 0
	for n, b := range o.batches {
		if b.expired(now) {
			delete(o.batches, n)
			o.lowestOpen = max(o.lowestOpen, n+1)
			dropped++
		}
	}
	return dropped
}

func (b *receivedBatch) expired(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unfinished == 0 && now.Sub(b.lastAsked) > resultRetention
}

func (b *receivedBatch) addResult(r Result) {
	b.mu.Lock()
	job := b.jobOfTask[r.Task]
	b.results = append(b.results, r)
	b.unfinished--
	b.unfinishedByJob[job]--
	due := b.unfinished == 0 || b.unfinishedByJob[job] == 0 || r.Kind == delivery.NotRun
	b.mu.Unlock()
	signal(b.anyResult)
	if due {
		signal(b.answerDue)
	}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// await returns the results after the first got, once they are worth a message
// or the time is over.
func (b *receivedBatch) await(ctx context.Context, received int) []Result {
	t := time.NewTimer(maxAnswerDelay)
	defer t.Stop()
	if results, due := b.resultsAfter(received); due {
		return results
	}
	firstResult := b.anyResult
	for {
		select {
		case <-b.answerDue:
			if results, due := b.resultsAfter(received); due {
				return results
			}
		case <-firstResult:
			firstResult = nil
			t.Reset(batchingDelay)
		case <-t.C:
			results, _ := b.resultsAfter(received)
			return results
		case <-ctx.Done():
			return nil
		}
	}
}

// markDelivered notes that the owner is told the first n results.
func (b *receivedBatch) markDelivered(n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delivered = max(b.delivered, n)
	b.lastAsked = now
}

// resultsAfter returns the results resultsAfter the first got, and whether they should be
// told at once: the batch is at its end, or a job's part of it is, or a task
// was turned down and waits for another place.
func (b *receivedBatch) resultsAfter(received int) ([]Result, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	received = min(max(received, 0), len(b.results))
	results := append([]Result(nil), b.results[received:]...)
	return results, b.unfinished == 0 || b.worthAnswering(results)
}

func (b *receivedBatch) worthAnswering(results []Result) bool {
	for _, r := range results {
		if b.unfinishedByJob[b.jobOfTask[r.Task]] == 0 || r.Kind == delivery.NotRun {
			return true
		}
	}
	return false
}
