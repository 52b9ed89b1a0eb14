package tables

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/ledger"
)

// Errors of records.
var (
	// ErrRecord means that a record is neither an edit nor a snapshot.
	ErrRecord = errors.New("tables: unreadable record")
	// ErrSnapshot means that a snapshot contradicts itself.
	ErrSnapshot = errors.New("tables: unusable snapshot")
)

// Snapshot is the whole tables as its author had them.
type Snapshot struct {
	Version Version `json:"version"`
	// Through is the last offset that the author had read. It is at least
	// Version, and tells a reader which records to replay on top.
	Through ledger.Offset `json:"through"`
	// At is the log's time of the edit that made the version.
	At     time.Time `json:"at"`
	Tables Rows      `json:"tables"`
	Moves  []Move    `json:"moves,omitempty"`
}

// NewSnapshot makes the snapshot of a state that all records through the offset
// make.
func NewSnapshot(s *State, through ledger.Offset) Snapshot {
	snap := Snapshot{Version: s.Version, Through: through, At: s.loggedAt, Tables: s.Rows()}
	for _, m := range s.moves.all {
		snap.Moves = append(snap.Moves, m)
	}
	slices.SortFunc(snap.Moves, compareMoves)
	return snap
}

// state checks the snapshot and makes its state.
func (n Snapshot) state() (*State, error) {
	if n.Version < ledger.None || n.Through < n.Version {
		return nil, errors.Wrapf(ErrSnapshot, "version %d, through %d", n.Version, n.Through)
	}
	s, err := Build(n.Version, n.Tables)
	if err != nil {
		return nil, errors.Wrap(ErrSnapshot, err.Error())
	}
	if len(n.Moves) > maxMoves {
		return nil, errors.Wrapf(ErrSnapshot, "%d moves", len(n.Moves))
	}
	s.loggedAt = n.At
	w := newWriter(s.moves)
	for _, m := range n.Moves {
		w.set(m.Address, m)
		s.lastMove = max(s.lastMove, m.Version)
	}
	s.moves = w.done()
	return s, nil
}

const (
	// maxRecordBytes bounds a record as it stands on the log.
	maxRecordBytes = 8 << 20
	// maxSnapshotBytes bounds an unpacked snapshot: some 13,000 servers take 2 MB.
	maxSnapshotBytes = 64 << 20
)

// gzipMagic begins a packed snapshot; an edit is JSON and begins with a brace.
var gzipMagic = []byte{0x1f, 0x8b}

// Encode packs the snapshot for the log: JSON, compressed because at 13,000
// servers it shrinks to about a tenth.
func (n Snapshot) Encode() ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(n); err != nil {
		return nil, errors.Wrap(err, "tables: snapshot")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "tables: snapshot")
	}
	return b.Bytes(), nil
}

// DecodeSnapshot reads what Encode wrote.
func DecodeSnapshot(b []byte) (Snapshot, error) {
	var n Snapshot
	r, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return n, errors.Wrap(ErrRecord, err.Error())
	}
	text, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes+1))
	switch {
	case err != nil:
		return n, errors.Wrap(ErrRecord, err.Error())
	case len(text) > maxSnapshotBytes:
		return n, errors.Wrap(ErrRecord, "the snapshot is too large")
	}
	if err := json.Unmarshal(text, &n); err != nil {
		return n, errors.Wrap(ErrRecord, err.Error())
	}
	return n, nil
}

func isSnapshot(b []byte) bool { return bytes.HasPrefix(b, gzipMagic) }

// DecodeEdit reads the edit of a record.
func DecodeEdit(rec ledger.Record) (Edit, error) {
	var e Edit
	if len(rec.Data) > maxRecordBytes {
		return e, errors.Wrap(ErrRecord, "the edit is too large")
	}
	if err := json.Unmarshal(rec.Data, &e); err != nil {
		return e, errors.Wrap(ErrRecord, err.Error())
	}
	if e.ID == "" {
		return e, errors.Wrap(ErrRecord, "the edit has no id")
	}
	e.loggedAt = rec.At
	return e, nil
}

// SnapshotSchedule decides when this process puts a snapshot on the log. Every
// dispatcher has one; the jitter lets one of them be first, and the others see
// its record and wait for another interval. Two at once do no harm, because a
// snapshot changes nothing.
type SnapshotSchedule struct {
	interval time.Duration
	rnd      *rand.Rand
	dueAt    time.Time
}

// NewSnapshotSchedule makes a schedule with the given shortest interval between
// snapshots of anybody, which must be well below the log's retention.
func NewSnapshotSchedule(now time.Time, interval time.Duration, rnd *rand.Rand) *SnapshotSchedule {
	s := &SnapshotSchedule{interval: interval, rnd: rnd}
	s.Restart(now)
	return s
}

// Restart tells that a snapshot was read from the log, or that one was tried.
func (s *SnapshotSchedule) Restart(now time.Time) {
	jitter := time.Duration(s.rnd.Int64N(int64(max(s.interval/2, 1))))
	s.dueAt = now.Add(s.interval + jitter)
}

// Due tells whether to append a snapshot now.
func (s *SnapshotSchedule) Due(now time.Time) bool {
	return !now.Before(s.dueAt)
}
