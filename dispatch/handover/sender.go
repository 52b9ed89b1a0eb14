package handover

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/clock"
	"snipehub.example/delivery"
	"snipehub.example/dispatch"
	"snipehub.example/roster"
	"snipehub.example/ticket"
)

// ErrNotSent is returned by a network if the peer certainly did not get the request.
var ErrNotSent = errors.New("handover: not sent")

// network sends requests to peers. After any error other than ErrNotSent, the peer may or
// may not have got the request.
type network interface {
	Ask(ctx context.Context, to roster.Known, req Request) (Response, error)
	// Gone reports whether the incarnation is gone for good.
	Gone(o ticket.Owner) bool
}

const (
	requestTimeout  = 3 * time.Second
	minRetryBackoff = 50 * time.Millisecond
	maxRetryBackoff = time.Second
	// resultGrace is how long after the tasks' deadline the sender still waits for
	// results.
	resultGrace = 2 * time.Second
)

// Sender hands batches over to peers.
type Sender struct {
	self ticket.Owner
	net  network
	now  func() time.Time

	mu          sync.Mutex
	lastBatch   uint64
	openBatches map[ticket.Owner]map[uint64]struct{}
}

// NewSender returns a sender for the tasks of self.
func NewSender(self ticket.Owner, net network, now func() time.Time) *Sender {
	return &Sender{self: self, net: net, now: now, openBatches: make(map[ticket.Owner]map[uint64]struct{})}
}

// batch is a batch that is being handed over.
type batch struct {
	request  Request
	to       roster.Known
	tasks    []dispatch.HandoverTask
	deadline time.Time
	// mayHaveArrived is set if the peer may have got a request.
	mayHaveArrived bool
	hasResult      []bool
}

// Send hands the tasks over and returns when all have an outcome. It calls done once for
// each task, and reportFree with the free slots that each answer reports.
func (s *Sender) Send(ctx context.Context, to roster.Known, tasks []dispatch.HandoverTask, done func(i int, o delivery.Outcome), reportFree func(free int)) {
	b := s.begin(to, tasks)
	defer s.end(b)
	backoff := minRetryBackoff
	for {
		answer, err := s.sendRequest(ctx, b)
		if err == nil && answer.State == Open {
			reportFree(answer.Free)
			backoff = minRetryBackoff
			if b.addResults(answer, done) {
				return
			}
			continue
		}
		if o, final := s.afterFailure(ctx, b, answer, err); final {
			b.endRemaining(o, done)
			return
		}
		clock.Sleep(ctx, backoff)
		backoff = min(2*backoff, maxRetryBackoff)
	}
}

func (s *Sender) begin(to roster.Known, tasks []dispatch.HandoverTask) *batch {
	b := &batch{to: to, tasks: tasks, hasResult: make([]bool, len(tasks))}
	for _, t := range tasks {
		if end := t.Expires.Add(resultGrace); end.After(b.deadline) {
			b.deadline = end
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastBatch++
	b.request = Request{From: s.self, To: to.Owner, Batch: s.lastBatch}
	if s.openBatches[to.Owner] == nil {
		s.openBatches[to.Owner] = make(map[uint64]struct{})
	}
	s.openBatches[to.Owner][s.lastBatch] = struct{}{}
	return b
}

func (s *Sender) end(b *batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := s.openBatches[b.to.Owner]
	delete(open, b.request.Batch)
	if len(open) == 0 {
		delete(s.openBatches, b.to.Owner)
	}
}

func (s *Sender) lowestOpen(to ticket.Owner) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	lowestOpen := s.lastBatch
	for n := range s.openBatches[to] {
		lowestOpen = min(lowestOpen, n)
	}
	return lowestOpen
}

func (s *Sender) sendRequest(ctx context.Context, b *batch) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req := b.request
	req.LowestOpen = s.lowestOpen(b.to.Owner)
	if req.Received == 0 {
		req.Tasks = b.wireTasks(s.now())
	}
	answer, err := s.net.Ask(ctx, b.to, req)
	b.mayHaveArrived = b.mayHaveArrived || !errors.Is(err, ErrNotSent)
	return answer, err
}

func (b *batch) wireTasks(now time.Time) []Task {
	out := make([]Task, len(b.tasks))
	for i, t := range b.tasks {
		out[i] = Task{
			ID:       delivery.TaskID(t.Job, t.Index, t.Attempt),
			Job:      t.Job,
			Kind:     t.Kind,
			Caller:   t.Caller,
			Team:     t.Team,
			Type:     t.Type,
			Body:     t.Body,
			TimeLeft: t.Expires.Sub(now),
		}
	}
	return out
}

// addResults passes new results on and reports whether the batch is complete.
func (b *batch) addResults(a Response, done func(i int, o delivery.Outcome)) bool {
	for _, r := range a.Results {
		if r.Task < 0 || r.Task >= len(b.hasResult) || b.hasResult[r.Task] {
			continue
		}
		b.hasResult[r.Task] = true
		done(r.Task, r.outcome())
	}
	b.request.Received += len(a.Results)
	return b.request.Received >= len(b.tasks)
}

// afterFailure decides on the tasks without a result after a request has failed. It returns
// their outcome and true, or false while the peer may still answer.
func (s *Sender) afterFailure(ctx context.Context, b *batch, a Response, err error) (delivery.Outcome, bool) {
	outcome := delivery.Outcome{Kind: delivery.Unknown, Cause: delivery.Broken}
	switch {
	case !b.mayHaveArrived:
		return delivery.Outcome{Kind: delivery.NotRun, Cause: delivery.NoConnection, Reason: "the peer was not reached"}, true
	case err == nil && a.State == OtherIncarnation:
		outcome.Reason = "the peer was restarted"
		return outcome, true
	case err == nil:
		outcome.Reason = "the peer has forgotten the task"
		return outcome, true
	case ctx.Err() != nil || s.now().After(b.deadline):
		outcome.Cause = delivery.LeaseExpired
		outcome.Reason = "the peer did not answer in time"
		return outcome, true
	case s.net.Gone(b.to.Owner):
		outcome.Reason = "the peer is gone"
		return outcome, true
	}
	return outcome, false
}

// endRemaining gives the outcome to all tasks that have none.
func (b *batch) endRemaining(o delivery.Outcome, done func(i int, o delivery.Outcome)) {
	for i, got := range b.hasResult {
		if !got {
			done(i, o)
		}
	}
}
