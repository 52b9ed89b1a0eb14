package claim

import (
	"container/list"
	"time"

	"snipehub.example/ledger"
	"snipehub.example/ticket"
)

// Verdict is what a book says about a key.
type Verdict int

// The verdicts.
const (
	// Open means that no claim of the key has been read, and that one that is
	// read from now on would be the first.
	Open Verdict = iota
	// Held means that the first claim of the key is known.
	Held
	// TooOld means that an earlier claim of the key may have been forgotten.
	TooOld
	// TooEarly means that the key's time stamp is ahead of the log's clock.
	TooEarly
	// Unread means that nothing has been read of the log yet.
	Unread
)

// Book is what one reader knows of the stream: a pure structure.
//
// Why it never takes a second claim for the first: all readers ignore a claim
// whose key was made later than skew after the record's own time, which is the
// log's and the same for all. So every claim that counts has a record time of
// at least made-skew. A book decides about a key only if it has read, without a
// gap, everything of the log's from before made-skew on; then it has read every
// claim of that key which counts. Whoever has less says TooOld and starts
// nothing. Two books that both decide therefore name the same identity.
//
// The caller's clock decides only about itself: a key whose stamp is behind is
// refused earlier, one whose stamp is ahead by more than skew not yet taken.
type Book struct {
	limit int
	skew  time.Duration

	next ledger.Offset
	read bool
	// gap tells that records before next may be missing; since is then not
	// known until the next record shows its time.
	gap bool
	// since is the record time after which nothing is missing; zero when
	// nothing was ever missing.
	since time.Time

	first map[Name]*list.Element
	// order has the claims in first, oldest first.
	order   *list.List
	evicted int64
}

// row is a first claim.
type row struct {
	Claim
	at time.Time
}

// NewBook makes an empty book of up to limit claims, for clocks of callers and
// of the log that differ by up to skew.
func NewBook(limit int, skew time.Duration) *Book {
	return &Book{limit: limit, skew: skew, first: make(map[Name]*list.Element), order: list.New()}
}

// Next returns the offset to read from.
func (b *Book) Next() ledger.Offset { return b.next }

// Len returns how many claims are held.
func (b *Book) Len() int { return b.order.Len() }

// Evicted returns how many claims had to make room for newer ones.
func (b *Book) Evicted() int64 { return b.evicted }

// Judge tells about a key.
func (b *Book) Judge(n Name) (Verdict, ticket.JobID) {
	if e := b.first[n]; e != nil {
		return Held, e.Value.(row).ID
	}
	switch {
	case !b.read:
		return Unread, ticket.JobID{}
	case b.missed(n):
		return TooOld, ticket.JobID{}
	}
	return Open, ticket.JobID{}
}

// missed tells whether a claim of the key may have been missed.
func (b *Book) missed(n Name) bool {
	if b.gap {
		return true
	}
	return !b.since.IsZero() && !Made(n.Key).After(b.since.Add(2*b.skew))
}

// Decision is what became of a claim that was read.
type Decision struct {
	Name    Name
	Verdict Verdict
	ID      ticket.JobID
}

// Take reads a page of the stream and returns what was decided by it, in order.
func (b *Book) Take(p ledger.Page) []Decision {
	b.read = true
	if p.First > b.next || p.Next < b.next {
		// The log has forgotten what was not yet read here: the process was
		// paused for longer than the log remembers, or has just started.
		b.gap = true
		b.next = max(p.First, min(b.next, p.Next))
	}
	var out []Decision
	for _, r := range p.Records {
		if r.Offset < b.next {
			continue
		}
		if r.Offset > b.next || b.gap {
			b.gap = false
			b.raise(r.At)
		}
		b.next = r.Offset + 1
		for _, c := range Decode(r.Data) {
			out = append(out, b.decide(c, r.At))
		}
	}
	return out
}

func (b *Book) decide(c Claim, at time.Time) Decision {
	v, id := b.Judge(c.Name)
	switch {
	case v != Open:
		return Decision{c.Name, v, id}
	case Made(c.Name.Key).After(at.Add(b.skew)):
		return Decision{Name: c.Name, Verdict: TooEarly}
	}
	b.first[c.Name] = b.order.PushBack(row{c, at})
	for b.order.Len() > b.limit {
		b.evict()
	}
	return Decision{c.Name, Held, c.ID}
}

// evict forgets the oldest claim. From then on this book decides about no key
// that can have been claimed as early as that.
func (b *Book) evict() {
	r := b.order.Remove(b.order.Front()).(row)
	delete(b.first, r.Name)
	b.raise(r.at)
	b.evicted++
}

func (b *Book) raise(since time.Time) {
	if since.After(b.since) {
		b.since = since
	}
}
