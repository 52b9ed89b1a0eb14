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

// TestMain fixes the seed, so that the verdict is the same each time. A long
// run: go test ./ticket -rapid.seed=0 -rapid.checks=20000
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
	flag.Parse()
	os.Exit(m.Run())
}

// A caller submits sequences in any order, copies arrive late, and jobs end or
// are refused in between. A sequence that started a second time would send two
// vans; a "not run" that is taken back would do the same by the caller's hand.
func TestWindowStartsEachSequenceOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Uint64Range(1, 100).Draw(t, "limit")
		w := ticket.NewWindow(rapid.IntRange(1, 8).Draw(t, "width"), limit)
		started := make(map[uint64]bool)
		running := make(map[uint64]bool)
		burned := make(map[uint64]bool)
		seq := rapid.Uint64Range(0, limit+2)
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				s := seq.Draw(t, "seq")
				peeked := w.Peek(s)
				v := w.Take(s)
				switch {
				case v != peeked:
					t.Fatalf("peek said %d, take %d", peeked, v)
				case v == ticket.Start && (started[s] || s >= limit):
					t.Fatalf("%d starts again, or out of range", s)
				case (v == ticket.Running) != running[s]:
					t.Fatalf("%d: verdict %d, running %t", s, v, running[s])
				case v == ticket.Burned && !burned[s]:
					t.Fatalf("%d ran, but is called not run", s)
				case (v == ticket.Outside) != (s >= limit):
					t.Fatalf("%d: verdict %d", s, v)
				case v == ticket.Start:
					started[s], running[s] = true, true
				}
			},
			"end": func(t *rapid.T) {
				s := seq.Draw(t, "seq")
				if running[s] {
					delete(running, s)
					burned[s] = rapid.Bool().Draw(t, "burned")
					w.End(s, burned[s])
				}
			},
			"image": func(t *rapid.T) {
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

// A caller jumps to the far end of a huge range. A window that moved one step
// at a time would hold the owner's lock for years.
func TestWindowJump(t *testing.T) {
	w := ticket.NewWindow(4, math.MaxUint64)
	if v := w.Take(math.MaxUint64 - 1); v != ticket.Start {
		t.Fatalf("verdict %d", v)
	}
	if v := w.Take(0); v != ticket.Forgotten {
		t.Errorf("verdict %d for a sequence that was jumped over", v)
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
