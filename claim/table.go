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
	// completeSince is a record time: claims that were recorded up to then may be
	// missing. It is zero if none was ever missing.
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
func (t *Table) Next() ledger.Offset { return t.nextOffset }

// Len returns the number of stored claims.
func (t *Table) Len() int { return t.byAge.Len() }

// Evicted returns how many claims were evicted to store newer ones.
func (t *Table) Evicted() int64 { return t.evicted }

// Lookup returns the verdict on a key, and its identity if it is claimed.
func (t *Table) Lookup(key CallerKey) (Verdict, ticket.JobID) {
	if e := t.firstClaims[key]; e != nil {
		return Claimed, e.Value.(storedClaim).ID
	}
	switch {
	case !t.hasRead:
		return NothingRead, ticket.JobID{}
	case t.mayHaveMissed(key):
		return TooOld, ticket.JobID{}
	}
	return Unclaimed, ticket.JobID{}
}

// mayHaveMissed reports whether the table may lack an earlier claim of the key. The skew
// counts twice: a claim may be recorded up to maxSkew before the time of its key, and a
// missing record may have a time up to maxSkew after completeSince, if the log's clock
// was fast then and has been set back since.
func (t *Table) mayHaveMissed(key CallerKey) bool {
	if t.hasGap {
		return true
	}
	return !t.completeSince.IsZero() && !KeyTime(key.Key).After(t.completeSince.Add(2*t.maxSkew))
}

// Decision is the verdict on a key after one of its claims was read.
type Decision struct {
	CallerKey CallerKey
	Verdict   Verdict
	ID        ticket.JobID
}

// ApplyPage applies a page of the stream and returns the decisions on its claims, in
// order.
func (t *Table) ApplyPage(p ledger.Page) []Decision {
	t.hasRead = true
	if p.First > t.nextOffset || p.Next < t.nextOffset {
		// The log no longer has records that were not read here: the process was
		// paused for longer than the log's retention, or has just started.
		t.hasGap = true
		t.nextOffset = max(p.First, min(t.nextOffset, p.Next))
	}
	var out []Decision
	for _, r := range p.Records {
		if r.Offset < t.nextOffset {
			continue
		}
		if r.Offset > t.nextOffset || t.hasGap {
			t.hasGap = false
			t.raiseCompleteSince(r.At)
		}
		t.nextOffset = r.Offset + 1
		for _, c := range Decode(r.Data) {
			out = append(out, t.decide(c, r.At))
		}
	}
	return out
}

func (t *Table) decide(c Claim, at time.Time) Decision {
	v, id := t.Lookup(c.CallerKey)
	switch {
	case v != Unclaimed:
		return Decision{c.CallerKey, v, id}
	case KeyTime(c.CallerKey.Key).After(at.Add(t.maxSkew)):
		return Decision{CallerKey: c.CallerKey, Verdict: TooEarly}
	}
	t.firstClaims[c.CallerKey] = t.byAge.PushBack(storedClaim{c, at})
	for t.byAge.Len() > t.maxClaims {
		t.evict()
	}
	return Decision{c.CallerKey, Claimed, c.ID}
}

// evict drops the oldest claim. From then on the table decides about no key that may
// have been claimed when the dropped claim was recorded, or earlier.
func (t *Table) evict() {
	r := t.byAge.Remove(t.byAge.Front()).(storedClaim)
	delete(t.firstClaims, r.CallerKey)
	t.raiseCompleteSince(r.appendedAt)
	t.evicted++
}

func (t *Table) raiseCompleteSince(since time.Time) {
	if since.After(t.completeSince) {
		t.completeSince = since
	}
}
