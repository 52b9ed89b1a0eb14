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
	// maxAnswerDelay is how long a request waits for a result.
	maxAnswerDelay = 2 * time.Second
	// batchingDelay is how long a result waits for others, to share an answer with them.
	// It delays no caller: an answer is sent at once when the last task of a job in the
	// batch ends.
	batchingDelay = time.Second
	// resultRetention is how long a finished batch is kept if its owner does not ask for
	// the results.
	resultRetention = 2 * time.Minute
	// drainPoll is the interval at which Drain checks for open batches.
	drainPoll = 20 * time.Millisecond
	// maxBatches bounds the batches kept for all owners, maxOwners the owners whose lowest
	// open batch is kept.
	maxBatches = 1024
	maxOwners  = 16384
)

// submitter is the part of the dispatcher that a receiver uses.
type submitter interface {
	Submit(b dispatch.Submission) error
	Free() int
}

// Receiver accepts tasks from peers.
type Receiver struct {
	self       ticket.Owner
	dispatcher submitter
	now        func() time.Time

	mu       sync.Mutex
	stopping bool
	owners   map[ticket.Owner]*owner
}

// owner is the state kept for a dispatcher that hands over tasks.
type owner struct {
	lowestOpen uint64
	batches    map[uint64]*receivedBatch
	lastAsked  time.Time
}

// receivedBatch is a batch and its results.
type receivedBatch struct {
	mu              sync.Mutex
	unfinished      int
	jobOfTask       []string
	unfinishedByJob map[string]int
	results         []Result
	// delivered is how many results have been sent in answers.
	delivered int
	// answerDue wakes the handler when an answer should be sent, anyResult when there is
	// any result.
	answerDue chan struct{}
	anyResult chan struct{}
	lastAsked time.Time
}

// NewReceiver returns a receiver that submits the tasks it gets to the dispatcher.
func NewReceiver(self ticket.Owner, dispatcher submitter, now func() time.Time) *Receiver {
	return &Receiver{self: self, dispatcher: dispatcher, now: now, owners: make(map[ticket.Owner]*owner)}
}

// Stop makes the receiver refuse every batch that it does not have yet.
func (r *Receiver) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// Drain waits until every batch has ended and its results have been sent to the owner, or
// until ctx ends. A planned stop uses it so as not to abort a peer's tasks.
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

// Handle answers a request.
func (r *Receiver) Handle(ctx context.Context, req Request) (Response, error) {
	if req.To != r.self {
		return Response{State: OtherIncarnation}, nil
	}
	b := r.batch(req)
	if b == nil {
		return Response{State: Forgotten, Free: r.dispatcher.Free()}, nil
	}
	results := b.await(ctx, req.Received)
	b.markDelivered(req.Received+len(results), r.now())
	return Response{State: Open, Results: results, Free: r.dispatcher.Free()}, nil
}

// batch returns the batch of the request, and starts it if it is new. It returns nil if the
// batch is over, or if it is not kept here and the request has no tasks.
//
// The lock is held until the batch is in the map, and only the caller that put it there
// starts it: if two copies of a request arrive together, one starts the tasks.
func (r *Receiver) batch(req Request) *receivedBatch {
	r.mu.Lock()
	o := r.owner(req.From)
	o.forgetBelow(req.LowestOpen)
	b, ok := o.batches[req.Batch]
	if ok || req.Batch < o.lowestOpen || len(req.Tasks) == 0 {
		r.mu.Unlock()
		return b
	}
	b = &receivedBatch{
		unfinished:      len(req.Tasks),
		unfinishedByJob: make(map[string]int),
		answerDue:       make(chan struct{}, 1),
		anyResult:       make(chan struct{}, 1),
		lastAsked:       r.now(),
	}
	for _, t := range req.Tasks {
		b.unfinishedByJob[t.Job]++
		b.jobOfTask = append(b.jobOfTask, t.Job)
	}
	refuse := r.stopping || r.full()
	if refuse && r.full() {
		// The batch is not kept, but counts as over: a late copy must not start it, since
		// the owner may already know that it did not run.
		o.lowestOpen = req.Batch + 1
	} else {
		o.batches[req.Batch] = b
	}
	r.mu.Unlock()
	for i, t := range req.Tasks {
		r.start(b, i, t, refuse)
	}
	return b
}

func (r *Receiver) start(b *receivedBatch, i int, t Task, refuse bool) {
	if refuse {
		b.addResult(Result{Task: i, Kind: delivery.NotRun, Cause: delivery.Refused, Reason: "the peer takes no tasks now"})
		return
	}
	err := r.dispatcher.Submit(dispatch.Submission{
		Job:         t.ID,
		FromPeer:    true,
		Kind:        t.Kind,
		Caller:      t.Caller,
		Team:        t.Team,
		Type:        t.Type,
		Expires:     r.now().Add(t.TimeLeft),
		PassThrough: true,
		Tasks:       [][]byte{t.Body},
		Done:        func(_ int, d dispatch.Result) { b.addResult(result(i, d)) },
	})
	if err != nil {
		b.addResult(Result{Task: i, Kind: delivery.NotRun, Cause: delivery.Refused, Reason: err.Error()})
	}
}

// result converts the dispatcher's result back into that of an attempt.
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
		// The task ran as a request, for which the dispatcher reports the answer and no
		// error. The owner's caller must get the same reason as without a handover.
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

// full reports whether no more batches can be kept, after dropping expired ones.
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

// evictOwner drops the owner that has been silent for the longest time if there are too
// many. An owner is kept as long as possible even without batches, because its lowest
// open batch protects against an old request that it sends after a suspension.
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

// forgetBelow drops the batches with numbers below low, which are over.
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

// dropExpired drops the finished batches that nobody has asked for within
// resultRetention, and returns their number.
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

// await returns the results that the owner does not have; received is how many it has. It
// waits until they are worth a message, for batchingDelay after the first one, or for
// maxAnswerDelay if there is none.
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

// markDelivered records that the first n results have been sent to the owner.
func (b *receivedBatch) markDelivered(n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delivered = max(b.delivered, n)
	b.lastAsked = now
}

// resultsAfter returns the results that the owner does not have, received being how many
// it has, and whether they should be sent at once: the batch or a job's part of it has
// ended, or a task was refused and needs another place.
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
