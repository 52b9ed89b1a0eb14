package cell

import (
	"testing"
	"time"

	"snipehub.example/catalog"
	"snipehub.example/lease"
)

func evacuated(dcs ...string) catalog.Evacuations {
	e := catalog.Evacuations{End: 10}
	for _, dc := range dcs {
		e.Requested = append(e.Requested, catalog.Evacuation{DataCenter: dc, Offset: 5})
	}
	return e
}

// A third of the workers is evacuated at one instant. Jobs that would need them are refused at
// once, and as soon as the evacuation is taken back the workers are used again.
func TestEvacuatedWorkersGetNothing(t *testing.T) {
	pl := newPlannerWithHolders(t, 2, 4)
	pl.SetEvacuations(evacuated("dc0"))
	pl.Request(ms(2000), memberID(1), newRequest("a", 4))
	grants, refusals := place(pl, 2000)
	if len(grants) != 4 || len(refusals) != 0 {
		t.Fatalf("%d grants, %d refusals, want 4 and 0", len(grants), len(refusals))
	}
	for _, g := range grants {
		if dc := pl.workers[g.Worker].DataCenter; dc != "dc1" {
			t.Errorf("granted on %s in %s", g.Worker, dc)
		}
	}
	// The objective leaves no time to wait for the first job's tasks.
	for i := range 2 {
		r := newRequest(string(rune('b'+i)), 4)
		r.Objective = 150 * time.Millisecond
		pl.Request(ms(2010), memberID(1), r)
	}
	if grants, refusals = place(pl, 2010); len(grants) != 0 || len(refusals) != 2 {
		t.Errorf("%d grants, %d refusals, want 0 and 2", len(grants), len(refusals))
	}
	pl.Request(ms(2020), memberID(1), newRequest("d", 4))
	pl.SetEvacuations(catalog.Evacuations{End: 11})
	if grants, _ = place(pl, 2021); len(grants) != 4 {
		t.Errorf("%d grants after the evacuation, want 4", len(grants))
	}
}

// All data centres are evacuated. Callers are told at once, with the reason and a time that is
// worth waiting for.
func TestAllDataCentersAreEvacuated(t *testing.T) {
	pl := newPlannerWithHolders(t, 2, 4)
	pl.SetEvacuations(evacuated("dc0", "dc1"))
	pl.Request(ms(2000), memberID(1), newRequest("a", 1))
	_, refusals := place(pl, 2000)
	if len(refusals) != 1 || refusals[0].Reason != reasonEvacuated || refusals[0].RetryAfter < evacuatedRetryAfter {
		t.Errorf("refused with %+v", refusals)
	}
}

// A worker appears during the evacuation, in the list or in a holder's report.
func TestNewWorkerInAnEvacuatedDataCenter(t *testing.T) {
	pl := newPlannerWithHolders(t, 2, 1)
	pl.SetEvacuations(evacuated("dc0", "dc1"))
	listed, reported := testWorker(2), testWorker(3)
	pl.UpdateWorkers(ms(700), memberID(0), WorkerList{Workers: []ListedWorker{{Worker: listed}}})
	for _, w := range []lease.Worker{listed, reported} {
		pl.Report(ms(710), memberID(1), Report{States: []lease.State{{ID: w.ID, Worker: &w, Fence: lease.NewFence(9), Open: true}}})
		if pl.workers[w.ID].acceptsTasks() {
			t.Errorf("%s accepts tasks", w.ID)
		}
	}
}

// A new planner has a request before it has read what the operator asks for.
func TestNothingIsGrantedBeforeTheEvacuationsAreKnown(t *testing.T) {
	pl := newPlannerWithHolders(t, 2, 4)
	pl.SetEvacuations(catalog.Evacuations{})
	pl.Request(ms(2000), memberID(1), newRequest("a", 1))
	if grants, refusals := place(pl, 2000); len(grants)+len(refusals) != 0 {
		t.Errorf("%d grants and %d refusals, want none", len(grants), len(refusals))
	}
	pl.SetEvacuations(evacuated("dc0"))
	if grants, _ := place(pl, 2001); len(grants) != 1 {
		t.Errorf("%d grants, want 1", len(grants))
	}
}
