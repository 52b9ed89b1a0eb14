package tables

import (
	"cmp"
	"slices"

	"github.com/go-faster/errors"

	"snipehub.example/ledger"
)

// Replay turns the records of the stream into the state in force. It is pure:
// two replays that have read the same records hold the same state, however the
// records reached them.
//
// A replay is complete when its state is what all records below its next
// offset make. It is not while records are missing: at its start, when the log
// has forgotten the first ones, or when it was away for longer than the log
// remembers. It then goes on with the state that it has, and applies nothing
// until a snapshot fills the hole.
type Replay struct {
	state    *State
	complete bool
	next     ledger.Offset

	// readFrom is the first offset from which an incomplete replay has read
	// everything, and held the edits read since.
	readFrom ledger.Offset
	held     recordBuffer

	// recent is the newest edits that took effect, for peers; every one from
	// the offset floor on is there.
	recent     recordBuffer
	recentFrom ledger.Offset
}

// limits bounds a list of records.
type limits struct {
	records, bytes int
}

// The bounds of what a replay keeps besides the state. An edit of one row takes
// about 200 bytes.
var (
	heldLimits   = limits{4096, 4 << 20}
	recentLimits = limits{1024, 1 << 20}
)

// NewReplay makes a replay that has read nothing.
func NewReplay() *Replay { return newReplay(heldLimits, recentLimits) }

func newReplay(held, recent limits) *Replay {
	return &Replay{state: Empty(), complete: true, held: recordBuffer{limits: held}, recent: recordBuffer{limits: recent}}
}

// recordBuffer is the newest records of a kind, bounded.
type recordBuffer struct {
	limits  limits
	records []ledger.Record
	bytes   int
}

// add appends a record. When the list is full it drops the oldest and returns
// the last offset dropped.
func (l *recordBuffer) add(rec ledger.Record) (dropped ledger.Offset, full bool) {
	l.records = append(l.records, rec)
	l.bytes += len(rec.Data)
	for len(l.records) > l.limits.records || l.bytes > l.limits.bytes {
		dropped, full = l.records[0].Offset, true
		l.bytes -= len(l.records[0].Data)
		l.records = l.records[1:]
	}
	return dropped, full
}

func (l *recordBuffer) clear() { l.records, l.bytes = nil, 0 }

// State returns the state in force.
func (r *Replay) State() *State { return r.state }

// Complete tells whether the state is what all records below Next make.
func (r *Replay) Complete() bool { return r.complete }

// Next returns the offset to read from.
func (r *Replay) Next() ledger.Offset { return r.next }

// Note tells what became of one record.
type Note struct {
	Offset ledger.Offset
	Edit   string
	// Applied tells that the edit took effect here.
	Applied bool
	// Snapshot tells that the record is a snapshot.
	Snapshot bool
	// Discarded tells that an older edit that waited for a snapshot was dropped.
	Discarded bool
	// Err is why a record changed nothing.
	Err error
}

// Page takes what was read from Next on, from the log or from a peer.
func (r *Replay) Page(p ledger.Page) []Note {
	if p.First > r.next {
		r.skipTo(p.First)
	}
	var notes []Note
	for _, rec := range p.Records {
		if rec.Offset < r.next {
			continue
		}
		notes = append(notes, r.process(rec))
	}
	r.next = max(r.next, p.Next)
	return notes
}

// skipTo notes that the records between next and first are gone.
func (r *Replay) skipTo(first ledger.Offset) {
	r.complete = false
	r.next = first
	r.readFrom = first
	r.held.clear()
	r.recent.clear()
}

func (r *Replay) process(rec ledger.Record) Note {
	r.next = rec.Offset + 1
	if isSnapshot(rec.Data) {
		return r.processSnapshot(rec)
	}
	if !r.complete {
		return r.holdEdit(rec)
	}
	return r.apply(rec)
}

func (r *Replay) apply(rec ledger.Record) Note {
	n := Note{Offset: rec.Offset}
	e, err := DecodeEdit(rec)
	if err != nil {
		n.Err = err
		return n
	}
	n.Edit = e.ID
	s, err := r.state.Apply(rec.Offset, e)
	if err != nil {
		n.Err = err
		return n
	}
	r.state = s
	r.addRecent(rec)
	n.Applied = true
	return n
}

// holdEdit keeps an edit that can't be judged yet. When there are too many, the
// oldest is given up: the replay then needs a snapshot that was taken later.
func (r *Replay) holdEdit(rec ledger.Record) Note {
	dropped, full := r.held.add(rec)
	if full {
		r.readFrom = dropped + 1
	}
	return Note{Offset: rec.Offset, Discarded: full}
}

// addRecent keeps an edit that took effect for peers that lag.
func (r *Replay) addRecent(rec ledger.Record) {
	if dropped, full := r.recent.add(rec); full {
		r.recentFrom = dropped + 1
	}
}

// processSnapshot adopts a snapshot from the log only when something is missing:
// a complete replay has read all that the snapshot stands for, and more.
func (r *Replay) processSnapshot(rec ledger.Record) Note {
	n := Note{Offset: rec.Offset, Snapshot: true}
	if r.complete {
		return n
	}
	snap, err := DecodeSnapshot(rec.Data)
	if err != nil {
		n.Err = err
		return n
	}
	n.Err = r.AdoptSnapshot(snap)
	return n
}

// ErrGap means that records after a snapshot's last one are missing here.
var ErrGap = errors.New("tables: records after the snapshot are missing")

// AdoptSnapshot takes over the state of a snapshot, from the log or from a peer, and
// replays on top of it what was read after its last offset.
//
// A snapshot may be adopted only if every record after its Through has been
// read here. Counter-example: the author has read up to offset 7 and takes
// version 5; an operator's edit lands at 8 and takes effect everywhere; the
// snapshot lands at 9; the log forgets all below 9. A fresh reader that took
// version 5 from it would miss the edit at 8, reject the next one, whose base
// is 8, and never agree with the others again.
func (r *Replay) AdoptSnapshot(n Snapshot) error {
	after := n.Through + 1
	switch {
	case r.complete && after <= r.next:
		return nil
	case after < r.next && after < r.readFrom:
		return errors.Wrapf(ErrGap, "through %d, read from %d", n.Through, r.readFrom)
	case n.Version < r.state.Version:
		return errors.Wrapf(ErrSnapshot, "version %d is older than %d", n.Version, r.state.Version)
	}
	s, err := n.state()
	if err != nil {
		return err
	}
	held := r.held.records
	r.state, r.complete = s, true
	r.held.clear()
	r.recent.clear()
	r.recentFrom = after
	for _, rec := range held {
		if rec.Offset >= after {
			r.apply(rec)
		}
	}
	r.next = max(r.next, after)
	return nil
}

// SnapshotBasis returns what a snapshot is made of: the state and the last offset read.
// It is false for a replay that is not complete or has no tables yet.
func (r *Replay) SnapshotBasis() (s *State, through ledger.Offset, ok bool) {
	if !r.complete || r.state.Version == ledger.None {
		return nil, ledger.None, false
	}
	return r.state, r.next - 1, true
}

// Ask is what a process asks a peer whose version is newer.
type Ask struct {
	// From is the asker's next offset.
	From ledger.Offset `json:"from"`
	// Whole asks for a snapshot, because the asker can't apply edits.
	Whole bool `json:"whole,omitempty"`
}

// Body is a peer's answer to Ask: the edits from an offset on, a packed
// snapshot, or neither when the peer itself has nothing to give.
type Body struct {
	Page     *ledger.Page `json:"page,omitempty"`
	Snapshot []byte       `json:"snapshot,omitempty"`
}

// Ask returns what to ask a peer.
func (r *Replay) Ask() Ask { return Ask{From: r.next, Whole: !r.complete} }

// EditsSince answers a peer that lags with the edits from an offset on, or false when
// it needs a snapshot. Only edits that took effect are passed on: the others
// change no state, wherever they are read.
func (r *Replay) EditsSince(a Ask) (ledger.Page, bool) {
	if !r.complete || a.Whole || a.From < r.recentFrom {
		return ledger.Page{}, false
	}
	i, _ := slices.BinarySearchFunc(r.recent.records, a.From, func(rec ledger.Record, o ledger.Offset) int {
		return cmp.Compare(rec.Offset, o)
	})
	return ledger.Page{First: a.From, Next: r.next, Records: slices.Clone(r.recent.records[i:])}, true
}

// Take learns from a peer's answer.
func (r *Replay) Take(b Body) ([]Note, error) {
	if b.Page != nil && b.Page.First <= r.next {
		return r.Page(*b.Page), nil
	}
	if len(b.Snapshot) == 0 {
		return nil, nil
	}
	n, err := DecodeSnapshot(b.Snapshot)
	if err != nil {
		return nil, err
	}
	return nil, r.AdoptSnapshot(n)
}
