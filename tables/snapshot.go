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
	// ErrRecord is returned for a record that is neither an edit nor a snapshot.
	ErrRecord = errors.New("tables: unreadable record")
	// ErrSnapshot is returned for a snapshot that contradicts itself or is older than the
	// state here.
	ErrSnapshot = errors.New("tables: unusable snapshot")
)

// Snapshot is the content of the tables as its author had it.
type Snapshot struct {
	Version Version `json:"version"`
	// Through is the last offset that the author had read. It is at least Version; a
	// reader replays the records after it on top of the snapshot.
	Through ledger.Offset `json:"through"`
	// At is the log's time of the edit that made the version.
	At     time.Time `json:"at"`
	Tables Rows      `json:"tables"`
	Moves  []Move    `json:"moves,omitempty"`
}

// NewSnapshot returns the snapshot of a state that results from all records up to and
// including the offset.
func NewSnapshot(s *State, through ledger.Offset) Snapshot {
	snap := Snapshot{Version: s.Version, Through: through, At: s.loggedAt, Tables: s.Rows()}
	for _, m := range s.moves.all {
		snap.Moves = append(snap.Moves, m)
	}
	slices.SortFunc(snap.Moves, compareMoves)
	return snap
}

// state checks the snapshot and returns its state.
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
	// maxRecordBytes bounds an edit's record on the log.
	maxRecordBytes = 8 << 20
	// maxSnapshotBytes bounds a decompressed snapshot: some 13,000 servers take 2 MB.
	maxSnapshotBytes = 64 << 20
)

// gzipMagic begins a compressed snapshot; an edit is JSON and begins with a brace.
var gzipMagic = []byte{0x1f, 0x8b}

// Encode returns the snapshot as compressed JSON for the log. With 13,000 servers
// compression reduces it to about a tenth.
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

// DecodeEdit reads the edit in a record.
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

// SnapshotSchedule decides when this process appends a snapshot to the log. Every
// dispatcher has one. Its jitter makes one dispatcher the first; the others read that
// snapshot and wait for another interval. Two snapshots at once do no harm, since a
// snapshot changes nothing.
type SnapshotSchedule struct {
	interval time.Duration
	rnd      *rand.Rand
	dueAt    time.Time
}

// NewSnapshotSchedule returns a schedule. The interval is the shortest time between the
// snapshots of all dispatchers and must be well below the log's retention.
func NewSnapshotSchedule(now time.Time, interval time.Duration, rnd *rand.Rand) *SnapshotSchedule {
	s := &SnapshotSchedule{interval: interval, rnd: rnd}
	s.Restart(now)
	return s
}

// Restart starts a new interval. It is called when a snapshot was read from the log, or
// when this process attempts to append one.
func (s *SnapshotSchedule) Restart(now time.Time) {
	jitter := time.Duration(s.rnd.Int64N(int64(max(s.interval/2, 1))))
	s.dueAt = now.Add(s.interval + jitter)
}

// Due reports whether to append a snapshot now.
func (s *SnapshotSchedule) Due(now time.Time) bool {
	return !now.Before(s.dueAt)
}
