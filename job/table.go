package job

import (
	"container/list"
	"time"

	"snipehub.example/refusal"
	"snipehub.example/ticket"
)

// ticketTable holds the tickets of an owner and the outcomes of their sequences. It is a
// deterministic state machine without a lock, goroutine or clock.
//
// Its memory is bounded. Beyond the bounds, answers are evicted and idle tickets are
// retired, oldest first. Identities whose state was dropped never start; they are
// answered with "outcome unknown" or, if the window still knows it, "not run".
type ticketTable struct {
	limits Limits
	// stream is the number of the newest ticket. A ticket with a number up to
	// it that is not in tickets was retired.
	stream  uint64
	tickets map[uint64]*mintedTicket
	// ticketCounts has the number of tickets of each caller.
	ticketCounts map[string]int
	// byLastUse lists the tickets, least recently used first.
	byLastUse *list.List
	// ended lists the ended entries, oldest first. keptBytes is their total size.
	ended     *list.List
	keptBytes int64
	// evictedAnswers counts the answers that were dropped before their retention
	// period was over, retiredTickets the tickets that were dropped for new ones,
	// refusedTickets the requests for a ticket that were refused.
	evictedAnswers, retiredTickets, refusedTickets int64
	// forKeys has, for each caller, the ticket whose sequences are reserved for
	// the caller's own keys.
	forKeys map[string]*mintedTicket
}

// mintedTicket is the state of a ticket that the owner has minted.
type mintedTicket struct {
	stream         uint64
	caller         string
	window         *ticket.Window
	entries        map[uint64]*entry
	runningEntries int
	lastUsed       time.Time
	element        *list.Element
	// forKeys is set if the ticket's sequences are reserved one by one for the
	// caller's own keys. The caller may not use sequences from nextSeq on.
	forKeys bool
	nextSeq uint64
}

func newTicketTable(limits Limits) *ticketTable {
	return &ticketTable{
		limits:       limits,
		tickets:      make(map[uint64]*mintedTicket),
		ticketCounts: make(map[string]int),
		byLastUse:    list.New(),
		ended:        list.New(),
		forKeys:      make(map[string]*mintedTicket),
	}
}

// mint returns a new ticket for the caller. It refuses if the caller or all callers
// together have reached their maximum of tickets and none can be retired.
func (tt *ticketTable) mint(now time.Time, caller string, rangeEnd uint64) (*mintedTicket, error) {
	if tt.ticketCounts[caller] >= max(1, tt.limits.Tickets/callerShareDivisor) && !tt.retireOldest(now, caller) {
		tt.refusedTickets++
		return nil, refusal.New(refusal.Overloaded, "too many tickets of this caller").WithRetryAfter(time.Second)
	}
	if len(tt.tickets) >= tt.limits.Tickets && !tt.retireOldest(now, "") {
		tt.refusedTickets++
		return nil, refusal.New(refusal.Overloaded, "too many tickets").WithRetryAfter(time.Second)
	}
	tt.stream++
	tt.ticketCounts[caller]++
	t := &mintedTicket{
		stream:   tt.stream,
		caller:   caller,
		window:   ticket.NewWindow(tt.limits.Window, rangeEnd),
		entries:  make(map[uint64]*entry),
		lastUsed: now,
	}
	t.element = tt.byLastUse.PushBack(t)
	tt.tickets[tt.stream] = t
	return t, nil
}

// callerShareDivisor limits one caller to a quarter of all tickets, but at least one. Without
// this limit a caller that takes a ticket for each job would use up the tickets of the others.
const callerShareDivisor = 4

// retireOldest drops the least recently used ticket without running entries, of the caller
// or of all callers if caller is empty. It reports whether there was one. A ticket that
// was used within the retention period of answers is not dropped: its caller may be about
// to use it, and would get "outcome unknown" for work that never ran.
func (tt *ticketTable) retireOldest(now time.Time, caller string) bool {
	for el := tt.byLastUse.Front(); el != nil; el = el.Next() {
		t := el.Value.(*mintedTicket)
		if now.Sub(t.lastUsed) < tt.limits.AnswerRetention {
			return false
		}
		if t.runningEntries > 0 || caller != "" && t.caller != caller {
			continue
		}
		tt.remove(t)
		tt.retiredTickets++
		return true
	}
	return false
}

func (tt *ticketTable) remove(t *mintedTicket) {
	tt.byLastUse.Remove(t.element)
	delete(tt.tickets, t.stream)
	tt.ticketCounts[t.caller]--
	if tt.ticketCounts[t.caller] == 0 {
		delete(tt.ticketCounts, t.caller)
	}
	if tt.forKeys[t.caller] == t {
		delete(tt.forKeys, t.caller)
	}
	for _, e := range t.entries {
		tt.removeEntry(e)
	}
}

// reserve reserves a sequence for one of the caller's own keys.
func (tt *ticketTable) reserve(now time.Time, caller string) (stream, seq uint64, err error) {
	t := tt.forKeys[caller]
	if t == nil || t.nextSeq >= uint64(tt.limits.Window) {
		// The range is as long as the window, so that the low mark never moves.
		t, err = tt.mint(now, caller, uint64(tt.limits.Window))
		if err != nil {
			return 0, 0, err
		}
		t.forKeys = true
		tt.forKeys[caller] = t
	}
	t.nextSeq++
	tt.markUsed(now, t)
	return t.stream, t.nextSeq - 1, nil
}

func (tt *ticketTable) markUsed(now time.Time, t *mintedTicket) {
	t.lastUsed = now
	tt.byLastUse.MoveToBack(t.element)
}

// find returns the ticket of the identity, if it belongs to the caller.
func (tt *ticketTable) find(caller string, id ticket.JobID) (*mintedTicket, error) {
	t, ok := tt.tickets[id.Number]
	switch {
	case ok && t.caller != caller:
		return nil, refusal.New(refusal.NotFound, "")
	case ok && t.forKeys && id.Seq >= t.nextSeq:
		return nil, refusal.New(refusal.NotFound, "")
	case ok:
		return t, nil
	case id.Number >= 1 && id.Number <= tt.stream:
		return nil, refusal.New(refusal.Forgotten, "its ticket was idle for too long")
	}
	return nil, refusal.New(refusal.NotFound, "")
}

// getOrCreate returns the entry of the identity, and creates it if the identity is new; created
// reports whether it did. It refuses a submission whose digest differs from that of the entry.
func (tt *ticketTable) getOrCreate(now time.Time, caller string, id ticket.JobID, sum uint64, tasks int) (e *entry, created bool, err error) {
	t, err := tt.find(caller, id)
	if err != nil {
		return nil, false, err
	}
	tt.markUsed(now, t)
	low := t.window.Low()
	v := t.window.TryStart(id.Seq)
	if v != ticket.Start {
		e, err = t.entryFor(id.Seq, v)
		if err == nil && e.sum != sum {
			return nil, false, refusal.New(refusal.Mismatch, "")
		}
		return e, false, err
	}
	tt.removePassed(t, low)
	t.runningEntries++
	e = &entry{
		mintedTicket: t,
		seq:          id.Seq,
		sum:          sum,
		ended:        make(chan struct{}),
		remaining:    tasks,
		results:      make([]TaskResult, tasks),
		reported:     make([]bool, tasks),
		outcome:      Outcome{Answer: &Answer{Job: id.String(), State: Running}},
	}
	t.entries[id.Seq] = e
	return e, true, nil
}

// entryFor returns the entry of a sequence that has the verdict v, or a refusal.
func (t *mintedTicket) entryFor(seq uint64, v ticket.Verdict) (*entry, error) {
	e := t.entries[seq]
	switch {
	case v == ticket.BeyondRange:
		return nil, refusal.New(refusal.OutOfRange, "")
	case v == ticket.TooFarAhead:
		return nil, refusal.New(refusal.WindowFull, "").WithRetryAfter(windowRetryAfter)
	case v == ticket.Start:
		return nil, refusal.New(refusal.NotSubmitted, "")
	case v == ticket.Burned && e == nil:
		return nil, refusal.New(refusal.Burned, "")
	case v == ticket.Burned:
		return nil, e.outcome.Refused
	case e == nil:
		return nil, refusal.New(refusal.Forgotten, "")
	}
	return e, nil
}

const windowRetryAfter = 250 * time.Millisecond

// lookup returns the entry of the identity, without starting it.
func (tt *ticketTable) lookup(now time.Time, caller string, id ticket.JobID) (*entry, error) {
	t, err := tt.find(caller, id)
	if err != nil {
		return nil, err
	}
	tt.markUsed(now, t)
	v := t.window.Peek(id.Seq)
	if v == ticket.TooFarAhead {
		v = ticket.Start
	}
	return t.entryFor(id.Seq, v)
}

// setOutcome ends an entry with the outcome. A refusal burns the identity: a late copy of
// the submission must get the same answer, because the caller may have submitted the same
// work under a new identity since.
func (tt *ticketTable) setOutcome(now time.Time, e *entry, o Outcome) {
	e.outcome = o
	e.mintedTicket.window.End(e.seq, o.Refused != nil)
	e.mintedTicket.runningEntries--
	tt.keepOutcome(now, e)
	close(e.ended)
}

func (tt *ticketTable) keepOutcome(now time.Time, e *entry) {
	e.results, e.reported = nil, nil
	e.endedAt = now
	e.sizeBytes = e.outcome.size()
	tt.keptBytes += e.sizeBytes
	e.element = tt.ended.PushBack(e)
	tt.evictAnswers(now)
}

// evictAnswers removes ended entries that are older than the retention period or exceed
// the memory bound.
func (tt *ticketTable) evictAnswers(now time.Time) {
	for tt.ended.Len() > 0 {
		e := tt.ended.Front().Value.(*entry)
		if tt.keptBytes <= tt.limits.KeptBytes && now.Sub(e.endedAt) < tt.limits.AnswerRetention {
			return
		}
		if now.Sub(e.endedAt) < tt.limits.AnswerRetention {
			tt.evictedAnswers++
		}
		tt.removeEntry(e)
	}
}

// removeEntry removes an ended entry from its ticket. The window still knows that the
// sequence has ended, and whether it was burned. Callers that wait for the entry have a
// reference to it and can still read its outcome.
func (tt *ticketTable) removeEntry(e *entry) {
	tt.ended.Remove(e.element)
	tt.keptBytes -= e.sizeBytes
	delete(e.mintedTicket.entries, e.seq)
}

// removePassed removes the entries that the window has moved past since its low mark was
// low.
func (tt *ticketTable) removePassed(t *mintedTicket, low uint64) {
	width := uint64(tt.limits.Window)
	for s := low; s < t.window.Low() && s-low < width; s++ {
		if e := t.entries[s]; e != nil {
			tt.removeEntry(e)
		}
	}
}

// cancel marks the entry of the identity as cancelled and returns it. An identity that has
// not been submitted is burned: its submission may still arrive, after the caller was told
// that it won't run.
func (tt *ticketTable) cancel(now time.Time, caller string, id ticket.JobID) (*entry, error) {
	t, err := tt.find(caller, id)
	if err != nil {
		return nil, err
	}
	if t.window.Peek(id.Seq) != ticket.Start {
		e, err := tt.lookup(now, caller, id)
		if err == nil {
			e.cancelled = true
		}
		return e, err
	}
	e, _, err := tt.getOrCreate(now, caller, id, 0, 0)
	if err != nil {
		return nil, err
	}
	r := refusal.New(refusal.Cancelled, "")
	tt.setOutcome(now, e, Outcome{Refused: r})
	return nil, r
}
