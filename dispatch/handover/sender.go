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

// ErrNotSent is what a network returns when the peer certainly did not get the
// ask.
var ErrNotSent = errors.New("handover: not sent")

// network carries asks to peers. Every error but ErrNotSent leaves it open
// whether the peer got the ask.
type network interface {
	Ask(ctx context.Context, to roster.Known, a Ask) (Answer, error)
	// Gone tells whether the incarnation is gone for good.
	Gone(o ticket.Owner) bool
}

const (
	askTimeout = 3 * time.Second
	firstPause = 50 * time.Millisecond
	lastPause  = time.Second
	// grace is how long after the tasks' time their results are waited for.
	grace = 2 * time.Second
)

// Sender hands batches over.
type Sender struct {
	self ticket.Owner
	net  network
	now  func() time.Time

	mu   sync.Mutex
	last uint64
	open map[ticket.Owner]map[uint64]struct{}
}

// NewSender makes a sender of the tasks of self.
func NewSender(self ticket.Owner, net network, now func() time.Time) *Sender {
	return &Sender{self: self, net: net, now: now, open: make(map[ticket.Owner]map[uint64]struct{})}
}

// batch is a batch on its way.
type batch struct {
	ask      Ask
	to       roster.Known
	tasks    []dispatch.Guest
	deadline time.Time
	// sent tells that the peer may have got an ask.
	sent bool
	got  []bool
}

// Send hands the tasks over and returns when all have an outcome. It calls
// done once for each, and room with what the peer tells of its free slots.
func (s *Sender) Send(ctx context.Context, to roster.Known, tasks []dispatch.Guest, done func(i int, o delivery.Outcome), room func(free int)) {
	b := s.begin(to, tasks)
	defer s.end(b)
	pause := firstPause
	for {
		answer, err := s.ask(ctx, b)
		if err == nil && answer.State == Open {
			room(answer.Free)
			pause = firstPause
			if b.take(answer, done) {
				return
			}
			continue
		}
		if o, over := s.verdict(ctx, b, answer, err); over {
			b.give(o, done)
			return
		}
		clock.Sleep(ctx, pause)
		pause = min(2*pause, lastPause)
	}
}

func (s *Sender) begin(to roster.Known, tasks []dispatch.Guest) *batch {
	b := &batch{to: to, tasks: tasks, got: make([]bool, len(tasks))}
	for _, t := range tasks {
		if end := t.Expires.Add(grace); end.After(b.deadline) {
			b.deadline = end
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	b.ask = Ask{From: s.self, To: to.Owner, Batch: s.last}
	if s.open[to.Owner] == nil {
		s.open[to.Owner] = make(map[uint64]struct{})
	}
	s.open[to.Owner][s.last] = struct{}{}
	return b
}

func (s *Sender) end(b *batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	open := s.open[b.to.Owner]
	delete(open, b.ask.Batch)
	if len(open) == 0 {
		delete(s.open, b.to.Owner)
	}
}

func (s *Sender) low(to ticket.Owner) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	low := s.last
	for n := range s.open[to] {
		low = min(low, n)
	}
	return low
}

func (s *Sender) ask(ctx context.Context, b *batch) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a := b.ask
	a.Low = s.low(b.to.Owner)
	if a.Got == 0 {
		a.Tasks = b.wire(s.now())
	}
	answer, err := s.net.Ask(ctx, b.to, a)
	b.sent = b.sent || !errors.Is(err, ErrNotSent)
	return answer, err
}

func (b *batch) wire(now time.Time) []Task {
	out := make([]Task, len(b.tasks))
	for i, t := range b.tasks {
		out[i] = Task{
			ID:     delivery.TaskID(t.Job, t.Index, t.Attempt),
			Job:    t.Job,
			Kind:   t.Kind,
			Caller: t.Caller,
			Team:   t.Team,
			Type:   t.Type,
			Body:   t.Body,
			Left:   t.Expires.Sub(now),
		}
	}
	return out
}

// take passes the results on and tells whether all are there.
func (b *batch) take(a Answer, done func(i int, o delivery.Outcome)) bool {
	for _, r := range a.Results {
		if r.Task < 0 || r.Task >= len(b.got) || b.got[r.Task] {
			continue
		}
		b.got[r.Task] = true
		done(r.Task, r.outcome())
	}
	b.ask.Got += len(a.Results)
	return b.ask.Got >= len(b.tasks)
}

// verdict says what becomes of the tasks without a result when an ask has
// failed: nothing yet, while the peer may still answer.
func (s *Sender) verdict(ctx context.Context, b *batch, a Answer, err error) (delivery.Outcome, bool) {
	unknown := delivery.Outcome{Kind: delivery.Unknown, Cause: delivery.Broken}
	switch {
	case !b.sent:
		return delivery.Outcome{Kind: delivery.NotRun, Cause: delivery.NoConnection, Reason: "the peer was not reached"}, true
	case err == nil && a.State == Other:
		unknown.Reason = "the peer was restarted"
		return unknown, true
	case err == nil:
		unknown.Reason = "the peer has forgotten the task"
		return unknown, true
	case ctx.Err() != nil || s.now().After(b.deadline):
		unknown.Cause = delivery.NoTime
		unknown.Reason = "the peer did not answer in time"
		return unknown, true
	case s.net.Gone(b.to.Owner):
		unknown.Reason = "the peer is gone"
		return unknown, true
	}
	return unknown, false
}

// give gives the outcome to all tasks that have none.
func (b *batch) give(o delivery.Outcome, done func(i int, o delivery.Outcome)) {
	for i, got := range b.got {
		if !got {
			done(i, o)
		}
	}
}
