package job

import (
	"container/list"
	"sync"
	"time"

	"snipehub.example/refusal"
	"snipehub.example/ticket"
)

// Closed is a part of what an owner remembers after it has stopped for good:
// nothing in it is ever started again, by anybody. Two holders of it, or a
// hand-over whose answer was lost, therefore do no harm.
type Closed struct {
	Owner ticket.Owner `json:"owner"`
	// At is the time of the stop.
	At      time.Time      `json:"at"`
	Tickets []ClosedTicket `json:"tickets"`
}

// ClosedTicket is one ticket of a stopped owner.
type ClosedTicket struct {
	Stream   uint64          `json:"stream"`
	Caller   string          `json:"caller"`
	Window   *ticket.Window  `json:"window"`
	Outcomes []ClosedOutcome `json:"outcomes,omitempty"`
}

// ClosedOutcome is what has become of one sequence.
type ClosedOutcome struct {
	Seq     uint64  `json:"seq"`
	Sum     uint64  `json:"sum"`
	Outcome Outcome `json:"outcome"`
}

const (
	// partBytes is about how much goes into one part of a closed state.
	partBytes = 1 << 20
	// ticketOverhead is what a closed ticket costs besides its outcomes.
	ticketOverhead = 512
)

// size estimates the memory of a closed ticket in bytes.
func (t ClosedTicket) size() int64 {
	n := int64(ticketOverhead)
	if t.Window != nil {
		n += int64(t.Window.Width())
	}
	for _, o := range t.Outcomes {
		n += o.Outcome.size()
	}
	return n
}

// Closed returns what this owner remembers, in parts, the tickets that were
// used last first, up to limit bytes. It is called after Stop, when the owner
// starts nothing any more. A sequence that still runs then, because the stop's
// deadline has passed, stays marked as running: its outcome is open.
func (o *Owner) Closed(limit int64) []Closed {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	var parts []Closed
	var part int64
	for el := o.book.idle.Back(); el != nil; el = el.Prev() {
		t := el.Value.(*held).close(limit)
		n := t.size()
		if n > limit {
			break
		}
		limit -= n
		if len(parts) == 0 || part+n > partBytes {
			parts = append(parts, Closed{Owner: o.self, At: now})
			part = 0
		}
		part += n
		last := &parts[len(parts)-1]
		last.Tickets = append(last.Tickets, t)
	}
	return parts
}

// close returns the ticket's closed state, with outcomes of up to limit bytes.
func (h *held) close(limit int64) ClosedTicket {
	t := ClosedTicket{Stream: h.stream, Caller: h.caller, Window: h.window.Clone()}
	n := t.size()
	for seq, e := range h.jobs {
		if e.bytes == 0 || n+e.bytes > limit {
			continue
		}
		n += e.bytes
		t.Outcomes = append(t.Outcomes, ClosedOutcome{Seq: seq, Sum: e.sum, Outcome: e.outcome})
	}
	return t
}

// Holder keeps closed states of other owners and answers from them. It never
// starts anything. Its methods may be called from any goroutine.
type Holder struct {
	limit int64
	keep  time.Duration
	now   func() time.Time

	mu     sync.Mutex
	states map[ticket.Owner]*closedState
	// order has the states, oldest first.
	order *list.List
	bytes int64
	// dropped counts the states that had to go before their time.
	dropped int64
}

// closedState is all parts that came of one owner.
type closedState struct {
	owner   ticket.Owner
	at      time.Time
	until   time.Time
	tickets map[uint64]*closedTicket
	bytes   int64
}

type closedTicket struct {
	ClosedTicket
	outcomes map[uint64]ClosedOutcome
}

// NewHolder makes a holder that keeps up to limit bytes, each state for keep.
func NewHolder(limit int64, keep time.Duration, now func() time.Time) *Holder {
	return &Holder{limit: limit, keep: keep, now: now, states: make(map[ticket.Owner]*closedState), order: list.New()}
}

// Take keeps a part of a closed state; a part that is there already changes
// nothing. Beyond the limit the oldest states go: their identities are then
// answered as "outcome unknown".
func (h *Holder) Take(c Closed) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sweep()
	s := h.states[c.Owner]
	if s == nil {
		s = &closedState{owner: c.Owner, at: c.At, until: h.now().Add(h.keep), tickets: make(map[uint64]*closedTicket)}
		h.states[c.Owner] = s
		h.order.PushBack(s)
	}
	for _, t := range c.Tickets {
		if s.tickets[t.Stream] != nil || t.Window == nil {
			continue
		}
		n := t.size()
		s.tickets[t.Stream] = index(t)
		s.bytes += n
		h.bytes += n
	}
	h.sweep()
}

func index(t ClosedTicket) *closedTicket {
	out := &closedTicket{ClosedTicket: t, outcomes: make(map[uint64]ClosedOutcome, len(t.Outcomes))}
	for _, o := range t.Outcomes {
		out.outcomes[o.Seq] = o
	}
	return out
}

func (h *Holder) sweep() {
	for h.order.Len() > 0 {
		s := h.order.Front().Value.(*closedState)
		if h.bytes <= h.limit && h.now().Before(s.until) {
			return
		}
		if h.now().Before(s.until) {
			h.dropped++
		}
		h.order.Remove(h.order.Front())
		h.bytes -= s.bytes
		delete(h.states, s.owner)
	}
}

// Stats returns the memory that the closed states take, in bytes, and how many
// states had to go before their time.
func (h *Holder) Stats() (held, dropped int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sweep()
	return h.bytes, h.dropped
}

// Answer tells what became of an identity whose owner has stopped; false when
// its ticket is not held here. sum is the digest of a submission, 0 for a
// question that brings no body.
func (h *Holder) Answer(caller string, id ticket.JobID, sum uint64) (Outcome, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sweep()
	s := h.states[id.Owner]
	if s == nil {
		return Outcome{}, false
	}
	t := s.tickets[id.Stream]
	switch {
	case t == nil:
		return Outcome{}, false
	case t.Caller != caller:
		return Outcome{Refused: refusal.New(refusal.NotFound, "")}, true
	}
	return t.answer(id.Seq, sum), true
}

func (t *closedTicket) answer(seq, sum uint64) Outcome {
	o, kept := t.outcomes[seq]
	v := t.Window.Peek(seq)
	code := refusal.Forgotten
	switch {
	case v == ticket.Outside:
		code = refusal.OutOfRange
	case v == ticket.Start || v == ticket.Ahead:
		// The owner starts nothing any more, and had not started this.
		code = refusal.Stopping
	case v == ticket.Running:
		code = refusal.OwnerGone
	case kept && v == ticket.Kept && sum != 0 && o.Sum != sum:
		code = refusal.Mismatch
	case kept && v != ticket.Forgotten:
		return o.Outcome
	case v == ticket.Burned:
		code = refusal.Burned
	}
	return Outcome{Refused: refusal.New(code, "")}
}

// Closed returns all that is held, in parts, so that it can be handed on when
// this process stops too.
func (h *Holder) Closed() []Closed {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sweep()
	var parts []Closed
	for el := h.order.Back(); el != nil; el = el.Prev() {
		s := el.Value.(*closedState)
		for _, t := range s.tickets {
			parts = append(parts, Closed{Owner: s.owner, At: s.at, Tickets: []ClosedTicket{t.ClosedTicket}})
		}
	}
	return parts
}
