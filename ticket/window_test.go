package ticket_test

import (
	"encoding/json"
	"flag"
	"math"
	"os"
	"testing"

	"pgregory.net/rapid"

	"snipehub.example/ticket"
)

// TestMain fixes the seed, so that results are reproducible. A long run with random
// seeds: go test ./ticket -rapid.seed=0 -rapid.checks=20000
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
	flag.Parse()
	os.Exit(m.Run())
}

// A caller submits sequences in any order, copies arrive late, and jobs end or are
// refused in between. A sequence must not start twice. One that has run must not be
// called "not run", because the caller would then submit its job again.
func TestWindowStartsEachSequenceOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rangeEnd := rapid.Uint64Range(1, 100).Draw(t, "range end")
		w := ticket.NewWindow(rapid.IntRange(1, 8).Draw(t, "width"), rangeEnd)
		started := make(map[uint64]bool)
		running := make(map[uint64]bool)
		burned := make(map[uint64]bool)
		anySeq := rapid.Uint64Range(0, rangeEnd+2)
		t.Repeat(map[string]func(*rapid.T){
			"try start": func(t *rapid.T) {
				s := anySeq.Draw(t, "seq")
				peeked := w.Peek(s)
				v := w.TryStart(s)
				switch {
				case v != peeked:
					t.Fatalf("Peek returns %d, TryStart %d", peeked, v)
				case v == ticket.Start && (started[s] || s >= rangeEnd):
					t.Fatalf("sequence %d starts a second time or out of range", s)
				case (v == ticket.Running) != running[s]:
					t.Fatalf("sequence %d: verdict %d, running %t", s, v, running[s])
				case v == ticket.Burned && !burned[s]:
					t.Fatalf("sequence %d ran, but its verdict is Burned", s)
				case (v == ticket.BeyondRange) != (s >= rangeEnd):
					t.Fatalf("sequence %d: verdict %d", s, v)
				case v == ticket.Start:
					started[s], running[s] = true, true
				}
			},
			"end": func(t *rapid.T) {
				s := anySeq.Draw(t, "seq")
				if running[s] {
					delete(running, s)
					burned[s] = rapid.Bool().Draw(t, "burned")
					w.End(s, burned[s])
				}
			},
			"marshal": func(t *rapid.T) {
				b, err := json.Marshal(w)
				if err != nil {
					t.Fatal(err)
				}
				w = new(ticket.Window)
				if err := json.Unmarshal(b, w); err != nil {
					t.Fatal(err)
				}
			},
		})
	})
}

// A caller jumps to the far end of a huge range. If the window advanced one sequence at a
// time, the owner's lock would be held for years.
func TestWindowJump(t *testing.T) {
	w := ticket.NewWindow(4, math.MaxUint64)
	if v := w.TryStart(math.MaxUint64 - 1); v != ticket.Start {
		t.Fatalf("verdict %d", v)
	}
	if v := w.TryStart(0); v != ticket.Forgotten {
		t.Errorf("verdict %d for a sequence below the window", v)
	}
}

func FuzzParseJobID(f *testing.F) {
	f.Add("dc1.vm0.hub0.1x.2.3")
	f.Add("...")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ticket.ParseJobID(s)
		if err != nil {
			return
		}
		again, err := ticket.ParseJobID(id.String())
		if err != nil || again != id {
			t.Fatalf("%q reads as %v, then as %v: %v", s, id, again, err)
		}
	})
}
