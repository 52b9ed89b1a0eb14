package job

import (
	"container/list"
	"time"

	"snipehub.example/refusal"
	"snipehub.example/ticket"
)

// book is what an owner remembers of its tickets: a pure structure, without a
// lock, goroutine or clock.
//
// Everything in it is bounded. Beyond the bounds answers and idle tickets are
// forgotten, oldest first; what was forgotten is answered as "outcome unknown"
// or, where the window still says so, "not run", and never starts.
type book struct {
	limits Limits
	// stream is the newest ticket's number. A ticket up to it that is not in
	// the map is a retired one.
	stream  uint64
	tickets map[uint64]*held
	// holds counts the tickets of each caller.
	holds map[string]int
	// idle has the tickets, least recently used first.
	idle *list.List
	// kept has the ended entries, oldest first.
	kept      *list.List
	keptBytes int64
	// crowded counts the answers that were dropped before their time, retired
	// the tickets, full the tickets that were refused.
	crowded, retired, full int64
	// keyed has each caller's ticket from which identities for its own keys
	// are taken.
	keyed map[string]*held
}

// held is a minted ticket.
type held struct {
	stream  uint64
	caller  string
	window  *ticket.Window
	jobs    map[uint64]*entry
	running int
	used    time.Time
	place   *list.Element
	// keyed tickets give out their sequences one by one up to next; the
	// caller may not take others by itself.
	keyed bool
	next  uint64
}

func newBook(limits Limits) *book {
	return &book{
		limits:  limits,
		tickets: make(map[uint64]*held),
		holds:   make(map[string]int),
		idle:    list.New(),
		kept:    list.New(),
		keyed:   make(map[string]*held),
	}
}

// mint makes a ticket for the caller, or refuses when the memory for tickets
// is used up by tickets that are all in use.
func (b *book) mint(now time.Time, caller string, limit uint64) (*held, error) {
	if b.holds[caller] >= max(1, b.limits.Tickets/callerPart) && !b.retire(now, caller) {
		b.full++
		return nil, refusal.New(refusal.Overloaded, "too many tickets of this caller").After(time.Second)
	}
	if len(b.tickets) >= b.limits.Tickets && !b.retire(now, "") {
		b.full++
		return nil, refusal.New(refusal.Overloaded, "too many tickets").After(time.Second)
	}
	b.stream++
	b.holds[caller]++
	h := &held{
		stream: b.stream,
		caller: caller,
		window: ticket.NewWindow(b.limits.Window, limit),
		jobs:   make(map[uint64]*entry),
		used:   now,
	}
	h.place = b.idle.PushBack(h)
	b.tickets[b.stream] = h
	return h, nil
}

// callerPart is the part of all tickets that one caller may hold, as a divisor.
// Without it a caller that takes a ticket for each job would shut out the rest.
const callerPart = 4

// retire drops the ticket that was not used for the longest time, of the caller
// or of all when caller is empty, if that is at least as long as answers are
// kept. A younger one is spared: its caller may
// have it in hand, and would be told "outcome unknown" for work that never ran.
func (b *book) retire(now time.Time, caller string) bool {
	for el := b.idle.Front(); el != nil; el = el.Next() {
		h := el.Value.(*held)
		if now.Sub(h.used) < b.limits.KeptFor {
			return false
		}
		if h.running > 0 || caller != "" && h.caller != caller {
			continue
		}
		b.drop(h)
		b.retired++
		return true
	}
	return false
}

func (b *book) drop(h *held) {
	b.idle.Remove(h.place)
	delete(b.tickets, h.stream)
	b.holds[h.caller]--
	if b.holds[h.caller] == 0 {
		delete(b.holds, h.caller)
	}
	if b.keyed[h.caller] == h {
		delete(b.keyed, h.caller)
	}
	for _, e := range h.jobs {
		b.release(e)
	}
}

// reserve takes a sequence for a key of the caller's own.
func (b *book) reserve(now time.Time, caller string) (stream, seq uint64, err error) {
	h := b.keyed[caller]
	if h == nil || h.next >= uint64(b.limits.Window) {
		// As long as the window, so that its low mark never moves.
		h, err = b.mint(now, caller, uint64(b.limits.Window))
		if err != nil {
			return 0, 0, err
		}
		h.keyed = true
		b.keyed[caller] = h
	}
	h.next++
	b.touch(now, h)
	return h.stream, h.next - 1, nil
}

func (b *book) touch(now time.Time, h *held) {
	h.used = now
	b.idle.MoveToBack(h.place)
}

// find returns the caller's ticket.
func (b *book) find(caller string, id ticket.JobID) (*held, error) {
	h, ok := b.tickets[id.Stream]
	switch {
	case ok && h.caller != caller:
		return nil, refusal.New(refusal.NotFound, "")
	case ok && h.keyed && id.Seq >= h.next:
		return nil, refusal.New(refusal.NotFound, "")
	case ok:
		return h, nil
	case id.Stream >= 1 && id.Stream <= b.stream:
		return nil, refusal.New(refusal.Forgotten, "its ticket was idle for too long")
	}
	return nil, refusal.New(refusal.NotFound, "")
}

// take asks to start the identity. Without an error, fresh tells whether the
// entry was made by this call.
func (b *book) take(now time.Time, caller string, id ticket.JobID, sum uint64, tasks int) (e *entry, fresh bool, err error) {
	h, err := b.find(caller, id)
	if err != nil {
		return nil, false, err
	}
	b.touch(now, h)
	low := h.window.Low()
	v := h.window.Take(id.Seq)
	if v != ticket.Start {
		e, err = h.seen(id.Seq, v)
		if err == nil && e.sum != sum {
			return nil, false, refusal.New(refusal.Mismatch, "")
		}
		return e, false, err
	}
	b.forget(h, low)
	h.running++
	e = &entry{
		held:    h,
		seq:     id.Seq,
		sum:     sum,
		ended:   make(chan struct{}),
		left:    tasks,
		results: make([]TaskResult, tasks),
		filled:  make([]bool, tasks),
		outcome: Outcome{Answer: &Answer{Job: id.String(), State: Queued}},
	}
	h.jobs[id.Seq] = e
	return e, true, nil
}

// seen answers for an identity about which the window says v.
func (h *held) seen(seq uint64, v ticket.Verdict) (*entry, error) {
	e := h.jobs[seq]
	switch {
	case v == ticket.Outside:
		return nil, refusal.New(refusal.OutOfRange, "")
	case v == ticket.Ahead:
		return nil, refusal.New(refusal.WindowFull, "").After(windowRetryAfter)
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

// lookup tells about an identity without starting it.
func (b *book) lookup(now time.Time, caller string, id ticket.JobID) (*entry, error) {
	h, err := b.find(caller, id)
	if err != nil {
		return nil, err
	}
	b.touch(now, h)
	v := h.window.Peek(id.Seq)
	if v == ticket.Ahead {
		v = ticket.Start
	}
	return h.seen(id.Seq, v)
}

// end sets the outcome of an entry. A refusal burns the identity: a late copy
// of the submission must get the same answer, because the caller may by then
// have submitted the same order under a new identity.
func (b *book) end(now time.Time, e *entry, o Outcome) {
	e.outcome = o
	e.held.window.End(e.seq, o.Refused != nil)
	e.held.running--
	b.keep(now, e)
	close(e.ended)
}

func (b *book) keep(now time.Time, e *entry) {
	e.results, e.filled = nil, nil
	e.at = now
	e.bytes = e.outcome.size()
	b.keptBytes += e.bytes
	e.place = b.kept.PushBack(e)
	b.sweep(now)
}

// sweep forgets answers that are too old or for which there is no room.
func (b *book) sweep(now time.Time) {
	for b.kept.Len() > 0 {
		e := b.kept.Front().Value.(*entry)
		if b.keptBytes <= b.limits.KeptBytes && now.Sub(e.at) < b.limits.KeptFor {
			return
		}
		if now.Sub(e.at) < b.limits.KeptFor {
			b.crowded++
		}
		b.release(e)
	}
}

// release takes an ended entry out of its ticket; the window still knows that
// it ended, and how. Whoever waits for the entry holds it and reads its outcome
// all the same.
func (b *book) release(e *entry) {
	b.kept.Remove(e.place)
	b.keptBytes -= e.bytes
	delete(e.held.jobs, e.seq)
}

// forget releases the entries that the window has passed since low.
func (b *book) forget(h *held, low uint64) {
	width := uint64(b.limits.Window)
	for s := low; s < h.window.Low() && s-low < width; s++ {
		if e := h.jobs[s]; e != nil {
			b.release(e)
		}
	}
}

// cancel returns the entry of a running job, marked as cancelled. An identity
// that has not been submitted is burned: a copy of its submission may still be
// on the way, and the caller has just been told that it won't run.
func (b *book) cancel(now time.Time, caller string, id ticket.JobID) (*entry, error) {
	h, err := b.find(caller, id)
	if err != nil {
		return nil, err
	}
	if h.window.Peek(id.Seq) != ticket.Start {
		e, err := b.lookup(now, caller, id)
		if err == nil {
			e.cancelled = true
		}
		return e, err
	}
	e, _, err := b.take(now, caller, id, 0, 0)
	if err != nil {
		return nil, err
	}
	r := refusal.New(refusal.Cancelled, "")
	b.end(now, e, Outcome{Refused: r})
	return nil, r
}
