package cell

import (
	"testing"

	"snipehub.example/catalog"
	"snipehub.example/lease"
)

// newPlannerAfterRestart returns a Planner with one worker, whose holder has just reported that
// incarnation 2 runs; the list still describes incarnation 1, of kind a.
func newPlannerAfterRestart(t *testing.T, guarded bool) (*Planner, lease.Worker) {
	t.Helper()
	pl := newPlannerWithHolders(t, 1, 1)
	pl.SetPools([]catalog.Pool{{Name: "p", EnforcesCapacity: guarded}})
	w := testWorker(0)
	w.Incarnation = 1
	pl.UpdateWorkers(ms(620), memberID(0), WorkerList{Workers: []ListedWorker{{Worker: w}}})
	for i := range int64(2) {
		report(pl, 621+int(i), lease.State{ID: w.ID, Partial: true, Open: true, Incarnation: 1 + i, Described: 1})
	}
	pl.TakeActions()
	return pl, w
}

func report(pl *Planner, at int, s lease.State) {
	pl.Report(ms(at), memberID(0), Report{States: []lease.State{s}})
}

// Guards against grants by the description of a worker's former incarnation, and against a
// worker that idles although any incarnation may run a task.
func TestGrantsAfterARestart(t *testing.T) {
	tests := []struct {
		name    string
		guarded bool
		label   string
		want    int
	}{
		{"label required", true, "a", 0},
		{"nothing required", true, "", 1},
		{"capacity not guarded", false, "", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			pl, _ := newPlannerAfterRestart(t, tt.guarded)
			req := newRequest("a", 1)
			req.Label = tt.label
			pl.Request(ms(700), memberID(0), req)
			grants, _ := place(pl, 700)
			if len(grants) != tt.want {
				t.Fatalf("%d grants, want %d", len(grants), tt.want)
			}
			if tt.want > 0 && grants[0].Incarnation != 0 {
				t.Errorf("granted for incarnation %d only, want any", grants[0].Incarnation)
			}
		})
	}
}

// Guards against a restarted worker that is never used again for tasks that require its label:
// the list's entry of the new incarnation must reach the planner's choice and the holder.
func TestRestartedWorkerIsDescribed(t *testing.T) {
	pl, w := newPlannerAfterRestart(t, true)
	w.Incarnation, w.Kind = 2, "b"
	pl.UpdateWorkers(ms(800), memberID(0), WorkerList{Workers: []ListedWorker{{Worker: w}}})
	told := false
	for _, a := range pl.TakeActions() {
		told = told || a.Description != nil && a.To == memberID(0) && a.Description.Worker == w
	}
	if !told {
		t.Error("the holder was not told")
	}
	req := newRequest("a", 1)
	req.Label = "b"
	pl.Request(ms(801), memberID(0), req)
	if grants, _ := place(pl, 801); len(grants) != 0 {
		t.Errorf("grants %+v before the holder has the description", grants)
	}
	report(pl, 802, lease.State{ID: w.ID, Partial: true, Open: true, Described: 2})
	grants, _ := place(pl, 802)
	if len(grants) != 1 || grants[0].Incarnation != 2 {
		t.Errorf("grants %+v, want one for incarnation 2", grants)
	}
}

// Guards against a holder that refuses every start because the description was lost on its way.
func TestLostDescriptionIsRepeated(t *testing.T) {
	pl, w := newPlannerAfterRestart(t, true)
	w.Incarnation = 2
	pl.UpdateWorkers(ms(800), memberID(0), WorkerList{Workers: []ListedWorker{{Worker: w}}})
	pl.TakeActions()
	report(pl, 1500, lease.State{ID: w.ID, Partial: true, Open: true})
	for _, a := range pl.TakeActions() {
		if a.Description != nil {
			return
		}
	}
	t.Error("the holder was not told again")
}

// Guards against a deputy's copy of the list, older than the holder's report, that makes a new
// planner take the worker for its former incarnation.
func TestOldCopyDoesNotReplaceADescription(t *testing.T) {
	pl, w := newPlannerAfterRestart(t, true)
	former := w
	w.Incarnation, w.Kind = 2, "b"
	report(pl, 700, lease.State{ID: w.ID, Worker: &w, Open: true, Fence: lease.NewFence(9), Incarnation: 2, Described: 2})
	pl.UpdateWorkers(ms(701), memberID(0), WorkerList{FromPlanner: true, Workers: []ListedWorker{{Worker: former}}})
	if got := pl.workers[w.ID].Worker; got != w {
		t.Errorf("described as %+v, want %+v", got, w)
	}
}

// Guards against a worker that stays unused after a planned restart under its ID.
func TestDrainEndsWithItsIncarnation(t *testing.T) {
	pl, w := newPlannerAfterRestart(t, true)
	pl.UpdateWorkers(ms(700), memberID(0), WorkerList{Workers: []ListedWorker{{Worker: w, Draining: true}}})
	if pl.workers[w.ID].drains() {
		t.Error("the drain of the former incarnation holds for the new one")
	}
	w.Incarnation = 2
	pl.UpdateWorkers(ms(710), memberID(0), WorkerList{Workers: []ListedWorker{{Worker: w, Draining: true}}})
	if !pl.workers[w.ID].drains() {
		t.Error("the drain of the incarnation that runs is not known")
	}
}

// Guards against an entry of another writer under a worker's key: without an incarnation, it would turn
// off the comparison and have tasks started by its labels.
func TestEntryWithoutIncarnationDoesNotReplaceADescription(t *testing.T) {
	pl, w := newPlannerAfterRestart(t, true)
	known := w
	w.Incarnation, w.Kind = 0, "c"
	pl.UpdateWorkers(ms(700), memberID(0), WorkerList{Workers: []ListedWorker{{Worker: w, Draining: true}}})
	if got := pl.workers[w.ID]; got.Worker != known || got.drains() {
		t.Errorf("described as %+v, drains %v; want %+v", got.Worker, got.drains(), known)
	}
}

// Guards against a new planner that has read such an entry first, and keeps it although the holder knows
// the worker.
func TestHoldersDescriptionReplacesAnEntryWithoutIncarnation(t *testing.T) {
	pl := newPlannerWithHolders(t, 1, 1)
	w := testWorker(0)
	w.Incarnation, w.Kind = 2, "b"
	report(pl, 620, lease.State{ID: w.ID, Worker: &w, Open: true, Fence: lease.NewFence(9), Incarnation: 2, Described: 2})
	if got := pl.workers[w.ID].Worker; got != w {
		t.Errorf("described as %+v, want %+v", got, w)
	}
}
