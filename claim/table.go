package claim

import (
	"container/list"
	"time"

	"snipehub.example/ledger"
	"snipehub.example/ticket"
)

// Verdict is the state of a key in a Table.
type Verdict int

// The verdicts.
const (
	// Unclaimed means that no claim of the key has been read, and that the next one
	// read would be the first.
	Unclaimed Verdict = iota
	// Claimed means that the first claim of the key is known.
	Claimed
	// TooOld means that the log or this table may have dropped an earlier claim of
	// the key.
	TooOld
	// TooEarly means that the key's time stamp is too far ahead of the log's clock.
	TooEarly
	// NothingRead means that the log has not been read yet.
	NothingRead
)

// Table holds the first claim of each key that one reader has found in the
// stream. It is a deterministic state machine without I/O.
//
// It never mistakes a second claim for the first. All readers ignore a claim whose
// key time is more than maxSkew after the time of its record. The log sets the
// record time, so it is the same for all readers, and every valid claim has a
// record time of at least key time - maxSkew. A table decides about a key only if
// it has read the log without a gap since before that time, and so has read every
// valid claim of the key. Otherwise it returns TooOld or NothingRead, and nothing is
// started. Two tables that both decide therefore name the same identity.
//
// A wrong clock of a caller affects only that caller's keys: if it is slow, they
// become TooOld sooner; if it is fast by more than maxSkew, they are TooEarly.
type Table struct {
	maxClaims int
	maxSkew   time.Duration

	nextOffset ledger.Offset
	hasRead    bool
	// hasGap is set if records before nextOffset may be missing. completeSince is
	// then unknown until the next record is read.
	hasGap bool
	// completeSince is the record time after which no claim is missing; zero if
	// none was ever missing.
	completeSince time.Time

	firstClaims map[CallerKey]*list.Element
	// byAge lists the claims in firstClaims, oldest first.
	byAge   *list.List
	evicted int64
}

// storedClaim is a first claim with the time of its record.
type storedClaim struct {
	Claim
	appendedAt time.Time
}

// NewTable returns an empty table of up to maxClaims claims, for clocks of
// callers and of the log that differ by up to maxSkew.
func NewTable(maxClaims int, maxSkew time.Duration) *Table {
	return &Table{maxClaims: maxClaims, maxSkew: maxSkew, firstClaims: make(map[CallerKey]*list.Element), byAge: list.New()}
}

// Next returns the offset to read from.
func (b *Table) Next() ledger.Offset { return b.nextOffset }

// Len returns the number of stored claims.
func (b *Table) Len() int { return b.byAge.Len() }

// Evicted returns how many claims were evicted to store newer ones.
func (b *Table) Evicted() int64 { return b.evicted }

// Lookup returns the verdict on a key, and its identity if it is claimed.
func (b *Table) Lookup(key CallerKey) (Verdict, ticket.JobID) {
	if e := b.firstClaims[key]; e != nil {
		return Claimed, e.Value.(storedClaim).ID
	}
	switch {
	case !b.hasRead:
		return NothingRead, ticket.JobID{}
	case b.mayHaveMissed(key):
		return TooOld, ticket.JobID{}
	}
	return Unclaimed, ticket.JobID{}
}

// mayHaveMissed reports whether the table may lack an earlier claim of the key.
func (b *Table) mayHaveMissed(key CallerKey) bool {
	if b.hasGap {
		return true
	}
	return !b.completeSince.IsZero() && !KeyTime(key.Key).After(b.completeSince.Add(2*b.maxSkew))
}

// Decision is the verdict on a key after one of its claims was read.
type Decision struct {
	CallerKey CallerKey
	Verdict   Verdict
	ID        ticket.JobID
}

// ApplyPage applies a page of the stream and returns the decisions on its claims, in
// order.
func (b *Table) ApplyPage(p ledger.Page) []Decision {
	b.hasRead = true
	if p.First > b.nextOffset || p.Next < b.nextOffset {
		// The log no longer has records that were not read here: the process was
		// paused for longer than the log's retention, or has just started.
		b.hasGap = true
		b.nextOffset = max(p.First, min(b.nextOffset, p.Next))
	}
	var out []Decision
	for _, r := range p.Records {
		if r.Offset < b.nextOffset {
			continue
		}
		if r.Offset > b.nextOffset || b.hasGap {
			b.hasGap = false
			b.raiseCompleteSince(r.At)
		}
		b.nextOffset = r.Offset + 1
		for _, c := range Decode(r.Data) {
			out = append(out, b.decide(c, r.At))
		}
	}
	return out
}

func (b *Table) decide(c Claim, at time.Time) Decision {
	v, id := b.Lookup(c.CallerKey)
	switch {
	case v != Unclaimed:
		return Decision{c.CallerKey, v, id}
	case KeyTime(c.CallerKey.Key).After(at.Add(b.maxSkew)):
		return Decision{CallerKey: c.CallerKey, Verdict: TooEarly}
	}
	b.firstClaims[c.CallerKey] = b.byAge.PushBack(storedClaim{c, at})
	for b.byAge.Len() > b.maxClaims {
		b.evict()
	}
	return Decision{c.CallerKey, Claimed, c.ID}
}

// evict drops the oldest claim. From then on the table decides about no key that
// may have been claimed at that time or earlier.
func (b *Table) evict() {
	r := b.byAge.Remove(b.byAge.Front()).(storedClaim)
	delete(b.firstClaims, r.CallerKey)
	b.raiseCompleteSince(r.appendedAt)
	b.evicted++
}

func (b *Table) raiseCompleteSince(since time.Time) {
	if since.After(b.completeSince) {
		b.completeSince = since
	}
}
