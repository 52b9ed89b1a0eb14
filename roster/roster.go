package roster

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"snipehub.example/ledger"
	"snipehub.example/ticket"
)

// Roster is a book that may be used from any goroutine.
type Roster struct {
	fill func(now time.Time, m *Member)
	// report is told each change, without a lock held.
	report func(Change)

	mu   sync.Mutex
	book *Book
}

// New makes a roster that knows only this process. Fill sets what a heartbeat
// tells of it; report is called for each change.
func New(self Member, cfg Config, rnd *rand.Rand, fill func(time.Time, *Member), report func(Change)) *Roster {
	return &Roster{fill: fill, report: report, book: NewBook(self, cfg, rnd)}
}

func (r *Roster) with(do func(b *Book)) {
	r.mu.Lock()
	do(r.book)
	changes := r.book.Changes()
	r.mu.Unlock()
	for _, c := range changes {
		r.report(c)
	}
}

func (r *Roster) self(now time.Time) Member {
	var m Member
	r.fill(now, &m)
	return m
}

// Beat returns the next heartbeat of this process and up to n addresses to send
// it to; others are addresses at which there may be members.
func (r *Roster) Beat(now time.Time, n int, others []netip.AddrPort) (beat Beat, to []netip.AddrPort) {
	self := r.self(now)
	r.with(func(b *Book) {
		b.Tick(now)
		to = b.Targets(n, others)
		beat = b.Beat(self)
	})
	return beat, to
}

// Answer takes a peer's heartbeat and returns the answer to it.
func (r *Roster) Answer(now time.Time, in Beat) (out Beat) {
	self := r.self(now)
	r.with(func(b *Book) {
		b.Heard(now, in)
		out = b.Answer(self, in)
	})
	return out
}

// Answered takes the answer to a heartbeat that was sent to the address.
func (r *Roster) Answered(sent, now time.Time, to netip.AddrPort, in Beat) {
	r.with(func(b *Book) { b.Answered(sent, now, to, in) })
}

// Failed notes that the address did not answer.
func (r *Roster) Failed(now time.Time, to netip.AddrPort) {
	r.with(func(b *Book) { b.Failed(now, to) })
}

// List takes the platform's VM list.
func (r *Roster) List(now time.Time, vms []ledger.VM) {
	r.with(func(b *Book) { b.List(now, vms) })
}

// Find returns what is known of an incarnation.
func (r *Roster) Find(_ time.Time, o ticket.Owner) (k Known, ok bool) {
	r.with(func(b *Book) { k, ok = b.Find(o) })
	return k, ok
}

// All returns the other members, sorted by address.
func (r *Roster) All(time.Time) (out []Known) {
	r.with(func(b *Book) { out = b.All() })
	return out
}

// Self returns this process as it last spoke.
func (r *Roster) Self() (m Member) {
	r.with(func(b *Book) { m = b.Self() })
	return m
}

// Neighbours returns the other members of the data centre that are not gone.
func (r *Roster) Neighbours() (out []Neighbour) {
	r.with(func(b *Book) { out = b.Neighbours() })
	return out
}

// Len returns how many other members are remembered.
func (r *Roster) Len() (n int) {
	r.with(func(b *Book) { n = b.Len() })
	return n
}
