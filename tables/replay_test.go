package tables

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"snipehub.example/ledger"
)

// replaySim is a log that has dropped the records below first, its readers, and the
// tables that the reference implementation gives for each prefix of the log.
type replaySim struct {
	records []ledger.Record
	first   ledger.Offset
	// versions holds the version after each record; rows holds the rows of each version,
	// and sorted holds them in the order of State.Rows.
	versions []Version
	rows     map[Version]Rows
	sorted   map[Version]Rows

	readers []*Replay
	// lastVersions holds the last version seen of each reader.
	lastVersions []Version
	// unappendedSnapshots were taken but not yet appended; pendingReplies are peers'
	// answers that are still on the way.
	unappendedSnapshots [][]byte
	pendingReplies      []peerReply
}

type peerReply struct {
	to      int
	payload FetchReply
}

func newReplaySim(readers int) *replaySim {
	w := &replaySim{rows: map[Version]Rows{ledger.None: {}}, sorted: map[Version]Rows{ledger.None: {}}}
	for range readers {
		w.readers = append(w.readers, w.newReader())
		w.lastVersions = append(w.lastVersions, ledger.None)
	}
	return w
}

func (w *replaySim) newReader() *Replay { return newReplay(limits{3, 1 << 20}, limits{3, 1 << 20}) }

// version returns the version that the first n records make.
func (w *replaySim) version(n ledger.Offset) Version {
	if n == 0 {
		return ledger.None
	}
	return w.versions[n-1]
}

func (w *replaySim) append(t *rapid.T, data []byte) {
	off := ledger.Offset(len(w.records))
	w.records = append(w.records, ledger.Record{Offset: off, Data: data})
	v := w.version(off)
	var e Edit
	if json.Unmarshal(data, &e) == nil && e.ID != "" && e.Base == v {
		if rows, err := referenceApply(w.rows[v], e); err == nil {
			v = off
			w.rows[v], w.sorted[v] = rows, sortRows(t, rows)
		}
	}
	w.versions = append(w.versions, v)
}

func (w *replaySim) page(from ledger.Offset, n int) ledger.Page {
	end := ledger.Offset(len(w.records))
	from = min(max(from, w.first), end)
	next := min(end, from+ledger.Offset(n))
	return ledger.Page{First: w.first, Next: next, End: end, Records: w.records[from:next]}
}

func (w *replaySim) answer(from int, req FetchRequest) FetchReply {
	r := w.readers[from]
	if p, ok := r.EditsSince(req); ok {
		return FetchReply{Page: &p}
	}
	if s, through, ok := r.SnapshotBasis(); ok {
		b, _ := NewSnapshot(s, through).Encode()
		return FetchReply{Snapshot: b}
	}
	return FetchReply{}
}

// check compares every reader with the reference: a complete one has the version that the
// records below its next offset result in; the rows of any reader are those of its
// version; and no version ever goes down.
func (w *replaySim) check(t *rapid.T) {
	for i, r := range w.readers {
		v := r.State().Version
		if v < w.lastVersions[i] {
			t.Fatalf("reader %d went from version %d to %d", i, w.lastVersions[i], v)
		}
		w.lastVersions[i] = v
		if r.Complete() && v != w.version(r.Next()) {
			t.Fatalf("reader %d read below %d and has version %d, want %d", i, r.Next(), v, w.version(r.Next()))
		}
		if want, ok := w.sorted[v]; !ok || !reflect.DeepEqual(r.State().Rows(), want) {
			t.Fatalf("reader %d: version %d is %+v, want %+v", i, v, r.State().Rows(), want)
		}
	}
}

// Operators race, appends are repeated because their answers were lost, the log drops
// records, snapshots are appended late, peers forward what they have, and processes pause
// and restart. Readers that reached different tables would send requests to backend
// servers of the wrong half for as long as they run.
func TestRapidReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { readersAgree(t) })
}

func readersAgree(t *rapid.T) {
	w := newReplaySim(3)
	reader := rapid.IntRange(0, len(w.readers)-1)
	actions := map[string]func(*rapid.T){
		"": w.check,
		"edit": func(t *rapid.T) {
			e := drawEdit(t, w.readers[reader.Draw(t, "editor")].State().Version)
			e.ID = fmt.Sprint(len(w.records))
			b, _ := json.Marshal(e)
			w.append(t, b)
		},
		"good edit": func(t *rapid.T) {
			r := w.readers[reader.Draw(t, "editor")]
			r.ApplyPage(w.page(r.Next(), len(w.records)))
			name := fmt.Sprint("pool", len(w.records))
			b, _ := json.Marshal(Edit{ID: name, Base: r.State().Version, Put: Rows{Pools: []Pool{{Name: name, Half: "north"}}}})
			w.append(t, b)
		},
		"append again": func(t *rapid.T) {
			if len(w.records) > 0 {
				w.append(t, rapid.SampledFrom(w.records).Draw(t, "record").Data)
			}
		},
		"append junk": func(t *rapid.T) { w.append(t, []byte("junk")) },
		"read": func(t *rapid.T) {
			r := w.readers[reader.Draw(t, "reader")]
			r.ApplyPage(w.page(r.Next(), rapid.IntRange(0, 4).Draw(t, "records")))
		},
		"forget": func(t *rapid.T) {
			w.first = ledger.Offset(rapid.IntRange(int(w.first), len(w.records)).Draw(t, "first"))
		},
		"take snapshot": func(t *rapid.T) {
			if s, through, ok := w.readers[reader.Draw(t, "author")].SnapshotBasis(); ok {
				b, _ := NewSnapshot(s, through).Encode()
				w.unappendedSnapshots = append(w.unappendedSnapshots, b)
			}
		},
		"append snapshot": func(t *rapid.T) {
			if len(w.unappendedSnapshots) > 0 {
				w.append(t, rapid.SampledFrom(w.unappendedSnapshots).Draw(t, "snapshot"))
			}
		},
		"ask peer": func(t *rapid.T) {
			i, j := reader.Draw(t, "asker"), reader.Draw(t, "peer")
			reply := peerReply{i, w.answer(j, w.readers[i].FetchRequest())}
			w.pendingReplies = append(w.pendingReplies, reply)
			if rapid.Bool().Draw(t, "at once") {
				_, _ = w.readers[i].ApplyReply(reply.payload)
			}
		},
		"deliver": func(t *rapid.T) {
			if len(w.pendingReplies) > 0 {
				reply := rapid.SampledFrom(w.pendingReplies).Draw(t, "reply")
				_, _ = w.readers[reply.to].ApplyReply(reply.payload)
			}
		},
		"restart": func(t *rapid.T) {
			i := reader.Draw(t, "reader")
			w.readers[i], w.lastVersions[i] = w.newReader(), ledger.None
		},
	}
	t.Repeat(actions)
	w.endFaults(t)
}

// endFaults ends the faults. One complete reader must be enough for all of them to reach
// the newest version.
func (w *replaySim) endFaults(t *rapid.T) {
	for _, r := range w.readers {
		r.ApplyPage(w.page(r.Next(), len(w.records)))
	}
	snapshotAppended := false
	for _, r := range w.readers {
		if s, through, ok := r.SnapshotBasis(); ok && !snapshotAppended {
			b, _ := NewSnapshot(s, through).Encode()
			w.append(t, b)
			snapshotAppended = true
		}
	}
	for i, r := range w.readers {
		r.ApplyPage(w.page(r.Next(), len(w.records)))
		if snapshotAppended && r.State().Version != w.version(ledger.Offset(len(w.records))) {
			t.Fatalf("reader %d stays at version %d", i, r.State().Version)
		}
	}
	w.check(t)
}

// The author of a snapshot had read up to offset 0 when an edit landed at 1 and took
// effect everywhere; the snapshot landed at 2 and the log dropped everything below. A new
// reader that adopted the snapshot would miss the edit for good.
func TestSnapshotThatMissesAnEditIsNotAdopted(t *testing.T) {
	edit := func(base Version, pool string) []byte {
		b, _ := json.Marshal(Edit{ID: pool, Base: base, Put: Rows{Pools: []Pool{{Name: pool, Half: "north"}}}})
		return b
	}
	author := NewReplay()
	author.ApplyPage(ledger.Page{Next: 1, Records: []ledger.Record{{Offset: 0, Data: edit(ledger.None, "a")}}})
	s, through, _ := author.SnapshotBasis()
	snap, err := NewSnapshot(s, through).Encode()
	if err != nil {
		t.Fatal(err)
	}
	fresh := NewReplay()
	fresh.ApplyPage(ledger.Page{First: 2, Next: 3, Records: []ledger.Record{{Offset: 2, Data: snap}}})
	if fresh.Complete() {
		t.Fatal("the reader is complete without the edit at offset 1")
	}
	informed := NewReplay()
	informed.ApplyPage(ledger.Page{First: 1, Next: 3, Records: []ledger.Record{{Offset: 1, Data: edit(0, "b")}, {Offset: 2, Data: snap}}})
	if !informed.Complete() || informed.State().Version != 1 {
		t.Fatalf("a reader that has the edit is at version %d", informed.State().Version)
	}
}
