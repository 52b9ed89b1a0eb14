package tables

import (
	"cmp"
	"slices"

	"github.com/go-faster/errors"

	"snipehub.example/ledger"
)

// Replay is a deterministic state machine without I/O that turns the records of the
// stream into the state in force: two replays that have read the same records hold the
// same state, however the records reached them.
//
// A replay is complete if its state is the result of all records below its next offset.
// It is incomplete while records are missing, because the log had already dropped the
// first ones when it started, or because it did not read for longer than the log's
// retention. It then keeps its state and applies nothing until a snapshot fills the gap.
type Replay struct {
	state    *State
	complete bool
	next     ledger.Offset

	// An incomplete replay has read every record from readFrom up to next. pendingEdits
	// is the newest edits among them, which wait for a snapshot.
	readFrom     ledger.Offset
	pendingEdits recordBuffer

	// recent is the newest edits that took effect, for peers. It holds every one from the
	// offset recentFrom on.
	recent     recordBuffer
	recentFrom ledger.Offset
}

// limits bounds a buffer of records.
type limits struct {
	records, bytes int
}

// The limits of the records that a replay keeps besides the state. The record of an
// edit of one row takes about 200 bytes.
var (
	pendingLimits = limits{4096, 4 << 20}
	recentLimits  = limits{1024, 1 << 20}
)

// NewReplay returns a replay that has read nothing.
func NewReplay() *Replay { return newReplay(pendingLimits, recentLimits) }

func newReplay(pending, recent limits) *Replay {
	return &Replay{state: Empty(), complete: true, pendingEdits: recordBuffer{limits: pending}, recent: recordBuffer{limits: recent}}
}

// recordBuffer holds the newest records within its limits.
type recordBuffer struct {
	limits  limits
	records []ledger.Record
	bytes   int
}

// add appends a record. If that exceeds the limits it drops the oldest records and
// returns the last offset dropped; overflowed reports whether it dropped any.
func (b *recordBuffer) add(rec ledger.Record) (dropped ledger.Offset, overflowed bool) {
	b.records = append(b.records, rec)
	b.bytes += len(rec.Data)
	for len(b.records) > b.limits.records || b.bytes > b.limits.bytes {
		dropped, overflowed = b.records[0].Offset, true
		b.bytes -= len(b.records[0].Data)
		b.records = b.records[1:]
	}
	return dropped, overflowed
}

func (b *recordBuffer) clear() { b.records, b.bytes = nil, 0 }

// State returns the state in force.
func (r *Replay) State() *State { return r.state }

// Complete reports whether the state is the result of all records below Next.
func (r *Replay) Complete() bool { return r.complete }

// Next returns the offset to read from.
func (r *Replay) Next() ledger.Offset { return r.next }

// RecordResult is the result of processing one record.
type RecordResult struct {
	Offset ledger.Offset
	Edit   string
	// Applied is set if the edit took effect here.
	Applied bool
	// Snapshot is set if the record is a snapshot.
	Snapshot bool
	// Discarded is set if an older edit that waited for a snapshot was dropped.
	Discarded bool
	// Err is the reason why the record changed nothing.
	Err error
}

// ApplyPage processes records read from Next on, from the log or from a peer.
func (r *Replay) ApplyPage(p ledger.Page) []RecordResult {
	if p.First > r.next {
		r.skipTo(p.First)
	}
	var results []RecordResult
	for _, rec := range p.Records {
		if rec.Offset < r.next {
			continue
		}
		results = append(results, r.process(rec))
	}
	r.next = max(r.next, p.Next)
	return results
}

// skipTo continues at first, because the records between next and first are gone.
func (r *Replay) skipTo(first ledger.Offset) {
	r.complete = false
	r.next = first
	r.readFrom = first
	r.pendingEdits.clear()
	r.recent.clear()
}

func (r *Replay) process(rec ledger.Record) RecordResult {
	r.next = rec.Offset + 1
	if isSnapshot(rec.Data) {
		return r.processSnapshot(rec)
	}
	if !r.complete {
		return r.addPending(rec)
	}
	return r.apply(rec)
}

func (r *Replay) apply(rec ledger.Record) RecordResult {
	result := RecordResult{Offset: rec.Offset}
	e, err := DecodeEdit(rec)
	if err != nil {
		result.Err = err
		return result
	}
	result.Edit = e.ID
	s, err := r.state.Apply(rec.Offset, e)
	if err != nil {
		result.Err = err
		return result
	}
	r.state = s
	r.addRecent(rec)
	result.Applied = true
	return result
}

// addPending keeps an edit that can't be checked yet. If there are too many, it drops the
// oldest: the replay then needs a snapshot that was taken later.
func (r *Replay) addPending(rec ledger.Record) RecordResult {
	dropped, overflowed := r.pendingEdits.add(rec)
	if overflowed {
		r.readFrom = dropped + 1
	}
	return RecordResult{Offset: rec.Offset, Discarded: overflowed}
}

// addRecent keeps an edit that took effect for peers that lag.
func (r *Replay) addRecent(rec ledger.Record) {
	if dropped, overflowed := r.recent.add(rec); overflowed {
		r.recentFrom = dropped + 1
	}
}

// processSnapshot adopts a snapshot from the log only if records are missing: a complete
// replay has read everything that the snapshot contains, and more.
func (r *Replay) processSnapshot(rec ledger.Record) RecordResult {
	result := RecordResult{Offset: rec.Offset, Snapshot: true}
	if r.complete {
		return result
	}
	snap, err := DecodeSnapshot(rec.Data)
	if err != nil {
		result.Err = err
		return result
	}
	result.Err = r.AdoptSnapshot(snap)
	return result
}

// ErrGap is returned for a snapshot if records after its last one are missing here.
var ErrGap = errors.New("tables: records after the snapshot are missing")

// AdoptSnapshot replaces the state by that of a snapshot, from the log or from a peer,
// and replays on top of it the records that were read after its last offset.
//
// A snapshot may be adopted only if no record between its Through and Next is missing
// here. Counter-example: the author has read up to offset 7 and takes a snapshot of
// version 5; an operator's edit lands at 8 and takes effect everywhere; the snapshot lands
// at 9; the log drops everything below 9. A new reader that adopted version 5 from it
// would miss the edit at 8, reject the next one, whose base is 8, and never agree with the
// others again.
func (r *Replay) AdoptSnapshot(snap Snapshot) error {
	after := snap.Through + 1
	switch {
	case r.complete && after <= r.next:
		return nil
	case after < r.next && after < r.readFrom:
		return errors.Wrapf(ErrGap, "through %d, read from %d", snap.Through, r.readFrom)
	case snap.Version < r.state.Version:
		return errors.Wrapf(ErrSnapshot, "version %d is older than %d", snap.Version, r.state.Version)
	}
	s, err := snap.state()
	if err != nil {
		return err
	}
	pending := r.pendingEdits.records
	r.state, r.complete = s, true
	r.pendingEdits.clear()
	r.recent.clear()
	r.recentFrom = after
	for _, rec := range pending {
		if rec.Offset >= after {
			r.apply(rec)
		}
	}
	r.next = max(r.next, after)
	return nil
}

// SnapshotBasis returns what a snapshot is made from: the state and the last offset read.
// ok is false if the replay is incomplete or has no tables yet.
func (r *Replay) SnapshotBasis() (s *State, through ledger.Offset, ok bool) {
	if !r.complete || r.state.Version == ledger.None {
		return nil, ledger.None, false
	}
	return r.state, r.next - 1, true
}

// FetchRequest is a process's request to a peer that has a newer version.
type FetchRequest struct {
	// From is the next offset that the requester needs.
	From ledger.Offset `json:"from"`
	// NeedSnapshot requests a snapshot, because the requester can't apply edits.
	NeedSnapshot bool `json:"whole,omitempty"`
}

// FetchReply is the answer to a FetchRequest: the edits from an offset on, a compressed
// snapshot, or neither if the peer has nothing to give.
type FetchReply struct {
	Page     *ledger.Page `json:"page,omitempty"`
	Snapshot []byte       `json:"snapshot,omitempty"`
}

// FetchRequest returns the request to send to a peer.
func (r *Replay) FetchRequest() FetchRequest {
	return FetchRequest{From: r.next, NeedSnapshot: !r.complete}
}

// EditsSince answers a peer that lags with the edits from an offset on. It returns false
// if the peer needs a snapshot, or if this replay is incomplete or no longer keeps all of
// these edits. Only edits that took effect are sent: the others change no state, wherever
// they are read.
func (r *Replay) EditsSince(req FetchRequest) (ledger.Page, bool) {
	if !r.complete || req.NeedSnapshot || req.From < r.recentFrom {
		return ledger.Page{}, false
	}
	i, _ := slices.BinarySearchFunc(r.recent.records, req.From, func(rec ledger.Record, o ledger.Offset) int {
		return cmp.Compare(rec.Offset, o)
	})
	return ledger.Page{First: req.From, Next: r.next, Records: slices.Clone(r.recent.records[i:])}, true
}

// ApplyReply applies a peer's answer.
func (r *Replay) ApplyReply(reply FetchReply) ([]RecordResult, error) {
	if reply.Page != nil && reply.Page.First <= r.next {
		return r.ApplyPage(*reply.Page), nil
	}
	if len(reply.Snapshot) == 0 {
		return nil, nil
	}
	snap, err := DecodeSnapshot(reply.Snapshot)
	if err != nil {
		return nil, err
	}
	return nil, r.AdoptSnapshot(snap)
}
