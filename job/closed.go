package job

import (
	"container/list"
	"sync"
	"time"

	"snipehub.example/refusal"
	"snipehub.example/ticket"
)

// ClosedPart is a part of the state of an owner that has stopped for good. No process ever
// starts anything under its identities again, so it does no harm if two processes hold it,
// or if a handover is repeated because its response was lost.
type ClosedPart struct {
	Owner ticket.Owner `json:"owner"`
	// At is the time of the stop.
	At      time.Time      `json:"at"`
	Tickets []ClosedTicket `json:"tickets"`
}

// ClosedTicket is one ticket of a stopped owner.
type ClosedTicket struct {
	Number   uint64          `json:"stream"`
	Caller   string          `json:"caller"`
	Window   *ticket.Window  `json:"window"`
	Outcomes []ClosedOutcome `json:"outcomes,omitempty"`
}

// ClosedOutcome is the outcome of one sequence.
type ClosedOutcome struct {
	Seq     uint64  `json:"seq"`
	Sum     uint64  `json:"sum"`
	Outcome Outcome `json:"outcome"`
}

const (
	// targetPartBytes is the approximate size of one part of a closed state.
	targetPartBytes = 1 << 20
	// ticketOverheadBytes is the estimated memory of a closed ticket without its
	// window and outcomes.
	ticketOverheadBytes = 512
)

// size estimates the memory of a closed ticket in bytes.
func (t ClosedTicket) size() int64 {
	n := int64(ticketOverheadBytes)
	if t.Window != nil {
		n += int64(t.Window.Width())
	}
	for _, o := range t.Outcomes {
		n += o.Outcome.size()
	}
	return n
}

// ClosedParts returns the state of this owner in parts of up to maxBytes in total, most
// recently used tickets first. It is called after Stop, when the owner starts nothing any
// more. A sequence that still runs then, because the deadline of the stop has passed,
// stays marked as running: its outcome is unknown.
func (o *Owner) ClosedParts(maxBytes int64) []ClosedPart {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	var parts []ClosedPart
	var partSize int64
	for el := o.ticketTable.byLastUse.Back(); el != nil; el = el.Prev() {
		t := el.Value.(*mintedTicket).close(maxBytes)
		n := t.size()
		if n > maxBytes {
			break
		}
		maxBytes -= n
		if len(parts) == 0 || partSize+n > targetPartBytes {
			parts = append(parts, ClosedPart{Owner: o.self, At: now})
			partSize = 0
		}
		partSize += n
		last := &parts[len(parts)-1]
		last.Tickets = append(last.Tickets, t)
	}
	return parts
}

// close returns the closed state of the ticket, with as many outcomes as fit into
// maxBytes.
func (t *mintedTicket) close(maxBytes int64) ClosedTicket {
	closed := ClosedTicket{Number: t.stream, Caller: t.caller, Window: t.window.Clone()}
	n := closed.size()
	for seq, e := range t.entries {
		// The size of a running entry is 0.
		if e.sizeBytes == 0 || n+e.sizeBytes > maxBytes {
			continue
		}
		n += e.sizeBytes
		closed.Outcomes = append(closed.Outcomes, ClosedOutcome{Seq: seq, Sum: e.sum, Outcome: e.outcome})
	}
	return closed
}

// ClosedStore stores closed states of other owners and answers from them. It never starts
// anything. It is safe for concurrent use.
type ClosedStore struct {
	maxBytes  int64
	retention time.Duration
	now       func() time.Time

	mu     sync.Mutex
	states map[ticket.Owner]*closedState
	// byAge lists the states, oldest first.
	byAge *list.List
	bytes int64
	// evicted counts the states that were evicted before their retention period was
	// over.
	evicted int64
}

// closedState is the union of all parts that were received of one owner.
type closedState struct {
	owner     ticket.Owner
	stoppedAt time.Time
	expiresAt time.Time
	tickets   map[uint64]*indexedTicket
	bytes     int64
}

// indexedTicket is a closed ticket with its outcomes by sequence.
type indexedTicket struct {
	ClosedTicket
	outcomes map[uint64]ClosedOutcome
}

// NewClosedStore returns a store that stores up to maxBytes, each state for the retention
// period.
func NewClosedStore(maxBytes int64, retention time.Duration, now func() time.Time) *ClosedStore {
	return &ClosedStore{maxBytes: maxBytes, retention: retention, now: now, states: make(map[ticket.Owner]*closedState), byAge: list.New()}
}

// AddPart adds a part of a closed state. Tickets that are stored already are ignored.
// Beyond the maximum size the oldest states are evicted: their identities are then
// answered with "outcome unknown".
func (cs *ClosedStore) AddPart(c ClosedPart) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.evict()
	s := cs.states[c.Owner]
	if s == nil {
		s = &closedState{owner: c.Owner, stoppedAt: c.At, expiresAt: cs.now().Add(cs.retention), tickets: make(map[uint64]*indexedTicket)}
		cs.states[c.Owner] = s
		cs.byAge.PushBack(s)
	}
	for _, t := range c.Tickets {
		if s.tickets[t.Number] != nil || t.Window == nil {
			continue
		}
		n := t.size()
		s.tickets[t.Number] = indexOutcomes(t)
		s.bytes += n
		cs.bytes += n
	}
	cs.evict()
}

func indexOutcomes(t ClosedTicket) *indexedTicket {
	out := &indexedTicket{ClosedTicket: t, outcomes: make(map[uint64]ClosedOutcome, len(t.Outcomes))}
	for _, o := range t.Outcomes {
		out.outcomes[o.Seq] = o
	}
	return out
}

func (cs *ClosedStore) evict() {
	for cs.byAge.Len() > 0 {
		s := cs.byAge.Front().Value.(*closedState)
		if cs.bytes <= cs.maxBytes && cs.now().Before(s.expiresAt) {
			return
		}
		if cs.now().Before(s.expiresAt) {
			cs.evicted++
		}
		cs.byAge.Remove(cs.byAge.Front())
		cs.bytes -= s.bytes
		delete(cs.states, s.owner)
	}
}

// Stats returns the memory of the closed states in bytes, and how many states were evicted
// before their retention period was over.
func (cs *ClosedStore) Stats() (bytes, evicted int64) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.evict()
	return cs.bytes, cs.evicted
}

// Answer returns the outcome of an identity whose owner has stopped, and false if its
// ticket is not stored here. sum is the digest of a submission, or 0 for a call without a
// body.
func (cs *ClosedStore) Answer(caller string, id ticket.JobID, sum uint64) (Outcome, bool) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.evict()
	s := cs.states[id.Owner]
	if s == nil {
		return Outcome{}, false
	}
	t := s.tickets[id.Number]
	switch {
	case t == nil:
		return Outcome{}, false
	case t.Caller != caller:
		return Outcome{Refused: refusal.New(refusal.NotFound, "")}, true
	}
	return t.answer(id.Seq, sum), true
}

func (t *indexedTicket) answer(seq, sum uint64) Outcome {
	o, hasOutcome := t.outcomes[seq]
	v := t.Window.Peek(seq)
	code := refusal.Forgotten
	switch {
	case v == ticket.BeyondRange:
		code = refusal.OutOfRange
	case v == ticket.Start || v == ticket.TooFarAhead:
		// The owner has not started this sequence and starts nothing any more.
		code = refusal.Stopping
	case v == ticket.Running:
		code = refusal.OwnerGone
	case hasOutcome && v == ticket.Ended && sum != 0 && o.Sum != sum:
		code = refusal.Mismatch
	case hasOutcome && v != ticket.Forgotten:
		return o.Outcome
	case v == ticket.Burned:
		code = refusal.Burned
	}
	return Outcome{Refused: refusal.New(code, "")}
}

// ClosedParts returns all stored states in parts, for the handover when this process stops
// too.
func (cs *ClosedStore) ClosedParts() []ClosedPart {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.evict()
	var parts []ClosedPart
	for el := cs.byAge.Back(); el != nil; el = el.Prev() {
		s := el.Value.(*closedState)
		for _, t := range s.tickets {
			parts = append(parts, ClosedPart{Owner: s.owner, At: s.stoppedAt, Tickets: []ClosedTicket{t.ClosedTicket}})
		}
	}
	return parts
}
