package tables

import (
	"encoding/json"
	"net/netip"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"snipehub.example/ledger"
)

// Apply checks only what an edit changes. If it missed something, a dispatcher would
// accept an edit that another version of the program rejects, and the two would never
// agree again. Apply must therefore give the same result as the reference implementation.
func TestRapidApplyMatchesTheReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, rows := Empty(), Rows{}
		for i := range rapid.IntRange(1, 30).Draw(t, "edits") {
			e := drawEdit(t, s.Version)
			want, wantErr := referenceApply(rows, e)
			next, err := s.Apply(Version(i), e)
			if (wantErr == nil) != (err == nil) {
				t.Fatalf("edit %d: Apply returns %v, the reference %v", i, err, wantErr)
			}
			if err != nil {
				continue
			}
			before := s.Rows()
			if !reflect.DeepEqual(before, sortRows(t, rows)) {
				t.Fatalf("edit %d changed the previous state", i)
			}
			s, rows = next, want
			if got := s.Rows(); !reflect.DeepEqual(got, sortRows(t, rows)) {
				t.Fatalf("edit %d: %+v, want %+v", i, got, rows)
			}
		}
	})
}

func TestRapidDiffLeadsToTheWantedRows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() *State {
			s := Empty()
			for i := range 8 {
				if n, err := s.Apply(Version(i), drawEdit(t, s.Version)); err == nil {
					s = n
				}
			}
			return s
		}
		from, to := draw(), draw()
		e := Edit{Base: from.Version}
		e.Put, e.Drop = Diff(from.Rows(), to.Rows())
		got, err := from.Apply(100, e)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got.Rows(), to.Rows()) {
			t.Fatalf("%+v, want %+v", got.Rows(), to.Rows())
		}
	})
}

func TestBuildRefuses(t *testing.T) {
	pool := []Pool{{Name: "p", Half: "north"}, {Name: "q", Half: "south"}}
	at := func(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }
	server := func(p, a string, slots int) Server { return Server{Pool: p, Address: at(a), Slots: slots} }
	tests := []struct {
		name string
		rows Rows
	}{
		{"a pool without half", Rows{Pools: []Pool{{Name: "p"}}}},
		{"a pool twice", Rows{Pools: []Pool{pool[0], pool[0]}}},
		{"a server without pool", Rows{Servers: []Server{server("p", "10.0.0.1:1", 1)}}},
		{"a server without slots", Rows{Pools: pool, Servers: []Server{server("p", "10.0.0.1:1", 0)}}},
		{"a server in two halves", Rows{Pools: pool, Servers: []Server{server("p", "10.0.0.1:1", 1), server("q", "10.0.0.1:1", 1)}}},
		{"a server in two halves by another spelling", Rows{Pools: pool, Servers: []Server{server("p", "10.0.0.1:1", 1), server("q", "[::ffff:10.0.0.1]:1", 1)}}},
		{"a server twice", Rows{Pools: pool, Servers: []Server{server("p", "10.0.0.1:1", 1), server("p", "10.0.0.1:1", 2)}}},
		{"a route of the other half", Rows{Pools: pool, Routes: []Route{{Kind: "k", Half: "south", Pool: "p"}}}},
		{"a team below zero", Rows{Teams: []Team{{Name: "t", Quota: -1}}}},
	}
	for _, tt := range tests {
		if _, err := Build(0, tt.rows); err == nil {
			t.Errorf("%s: accepted", tt.name)
		}
	}
}

func FuzzRecord(f *testing.F) {
	e, _ := json.Marshal(Edit{ID: "1", Base: ledger.None, Put: benchRows(2, 1)})
	f.Add(e)
	s, _ := Build(3, benchRows(2, 1))
	snap, _ := NewSnapshot(s, 4).Encode()
	f.Add(snap)
	f.Fuzz(func(t *testing.T, b []byte) {
		r := NewReplay()
		r.ApplyPage(ledger.Page{First: 5, Next: 6, Records: []ledger.Record{{Offset: 5, Data: b}}})
		if _, err := r.ApplyReply(FetchReply{Snapshot: b}); err == nil && r.Complete() {
			if _, err := Build(r.State().Version, r.State().Rows()); err != nil {
				t.Fatalf("adopted inconsistent tables: %v", err)
			}
		}
		c := NewReplay()
		for _, result := range c.ApplyPage(ledger.Page{Next: 1, Records: []ledger.Record{{Data: b}}}) {
			if result.Applied != (c.State().Version == 0) {
				t.Fatal("RecordResult.Applied does not tell whether the record took effect")
			}
		}
	})
}
