package cell

import (
	"testing"
	"time"

	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// A planner with a full queue received thousands of reports a second and went over all
// pending requests for each of them. Passes must be bounded, none be lost, and a request that
// arrives while there is room be placed at once.
func TestPassesAreBounded(t *testing.T) {
	pl := newPlannerWithHolders(t, 2, 1)
	pl.Request(ms(700), memberID(1), newRequest("first", 2))
	if grants, _ := place(pl, 700); len(grants) != 2 {
		t.Fatalf("%d grants in an idle cell", len(grants))
	}
	waiting := newRequest("waiting", 1)
	waiting.Objective = 2 * time.Second
	pl.Request(ms(700), memberID(1), waiting)
	before := pl.Counts().Passes
	start := ms(701)
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Microsecond)
		pl.Report(now, memberID(0), Report{})
		pl.Place(now)
	}
	if n := pl.Counts().Passes - before; n < passBurst || n > passBurst+6 {
		t.Errorf("%d passes in 10 ms, want one each 2 ms besides the first ones", n)
	}
	end := start.Add(10 * time.Millisecond)
	pl.Report(end, holderOf(pl, "w0"), Report{States: []lease.State{{ID: "w0", Partial: true, Open: true, Ended: []lease.Run{newRequest("first", 1).Tasks[0]}}}})
	next := pl.NextPass(end)
	if next.IsZero() || next.Sub(end) > passInterval {
		t.Fatalf("next pass at %v, want one within %v", next.Sub(end), passInterval)
	}
	pl.Place(next)
	if len(pl.pending) != 0 {
		t.Error("the request waits although a worker is free")
	}
	if next := pl.NextPass(next); !next.IsZero() {
		t.Errorf("a pass at %v with nothing to do", next)
	}
}

func holderOf(pl *Planner, worker string) mesh.ID {
	id, _ := pl.Holder(worker)
	return id
}
