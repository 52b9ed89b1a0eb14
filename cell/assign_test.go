package cell

import (
	"slices"
	"testing"

	"snipehub.example/lease"
	"snipehub.example/mesh"
)

func takeAssignments(pl *Planner) map[string]mesh.ID {
	out := make(map[string]mesh.ID)
	for _, a := range pl.TakeActions() {
		if a.Assignment != nil {
			out[a.Assignment.Worker.ID] = a.To
		}
	}
	return out
}

// A planner has just begun. Workers are assigned evenly to the members of their data
// centre.
func TestAssignmentsAreSpread(t *testing.T) {
	pl := newPlanner(t, 4, 12)
	pl.Tick(ms(600))
	got := takeAssignments(pl)
	count := make(map[mesh.ID]int)
	for id, m := range got {
		count[m]++
		if w := pl.workers[id]; w.DataCenter != pl.members[m].DataCenter {
			t.Errorf("%s of %s is held in %s", id, w.DataCenter, pl.members[m].DataCenter)
		}
	}
	for _, m := range members(4) {
		if count[m.ID] != 3 {
			t.Errorf("%v holds %d workers, want 3", m.ID, count[m.ID])
		}
	}
}

// A process that is cut off reaches nobody and acts as the planner. It must not reassign
// the workers of members that it can't reach: they would take them back, and so on in
// turns.
func TestCutOffPlannerTakesNothing(t *testing.T) {
	pl := newPlannerWithHolders(t, 4, 8)
	pl.SetMembers(ms(1000), members(1), members(1), false, false)
	pl.Tick(ms(3000))
	if got := takeAssignments(pl); len(got) != 0 {
		t.Errorf("assignments %v, want none", got)
	}
	pl.SetMembers(ms(3100), members(1), members(1), true, false)
	pl.Tick(ms(3200))
	if got := takeAssignments(pl); len(got) != 6 {
		t.Errorf("%d assignments once the others are known to be gone, want their 6 workers", len(got))
	}
}

// The planner was cut off, and another process planned for the others. When the cut heals, the
// planner must not assign workers from what it knew before: their holders have not reported yet,
// some of them drain, and they would be taken from the holders that they have.
func TestPlannerThatWasCutOffWaitsForReports(t *testing.T) {
	pl := newPlannerWithHolders(t, 4, 8)
	pl.SetMembers(ms(1000), members(1), members(1), false, false)
	pl.Tick(ms(5000))
	pl.SetMembers(ms(5010), members(3), members(3), true, false)
	pl.Tick(ms(5050))
	if got := takeAssignments(pl); len(got) != 0 {
		t.Errorf("assignments %v before anybody has reported, want none", got)
	}
	pl.SetMembers(ms(5060), members(4), members(4), true, true)
	for i := range 4 {
		pl.Report(ms(5070), memberID(i), Report{Full: true, States: []lease.State{
			{ID: testWorker(i).ID, Fence: lease.NewFence(10), Open: true, Draining: i == 1},
		}})
	}
	got := takeAssignments(pl)
	for i := range 4 {
		if m, ok := got[testWorker(i).ID]; ok {
			t.Errorf("%s is assigned to %v although its holder has reported it", testWorker(i).ID, m)
		}
	}
	if len(got) != 4 {
		t.Errorf("%d assignments once all have reported, want the 4 workers without holder", len(got))
	}
}

// All processes have restarted. Once each has reported, the workers must be assigned
// without further delay, since no caller is served before.
func TestAllReportedEndsGracePeriod(t *testing.T) {
	pl := newPlanner(t, 3, 6)
	pl.SetMembers(ms(1), members(3), members(3), true, true)
	for i := range 3 {
		if got := takeAssignments(pl); len(got) != 0 {
			t.Fatalf("assignments %v before all have reported", got)
		}
		pl.Report(ms(2), memberID(i), Report{Full: true})
	}
	if got := takeAssignments(pl); len(got) != 6 {
		t.Errorf("%d assignments when all have reported, want 6", len(got))
	}
}

// All VMs have lost power and come back one after the other. Once more than half have reported,
// none of which holds a worker, callers must not be refused until the last one is there.
func TestWorkersAreAssignedWhenMostHaveRestarted(t *testing.T) {
	tests := []struct {
		name string
		// waiting is set if a caller waits.
		waiting bool
		// held is set if a member has kept a worker, so that some have not restarted.
		held bool
		// cutOff is set if this planner was cut off before.
		cutOff bool
		// members is how many are there.
		members int
		want    int
	}{
		{"nobody holds a worker", true, false, false, 3, 6},
		{"no member in one data centre yet", true, false, false, 1, 3},
		{"nobody waits", false, false, false, 3, 0},
		{"somebody holds a worker", true, true, false, 3, 0},
		{"the planner was cut off", true, false, true, 3, 0},
	}
	for _, tt := range tests {
		pl := newIdlePlanner(Policy{})
		pl.Begin(ms(0))
		pl.SetMembers(ms(1), members(1), members(1), false, false)
		l := WorkerList{Full: true}
		for i := range 6 {
			l.Workers = append(l.Workers, ListedWorker{Worker: testWorker(i)})
		}
		pl.UpdateWorkers(ms(1), memberID(0), l)
		if tt.cutOff {
			pl.SetMembers(ms(2), members(3), members(3), true, false)
			pl.SetMembers(ms(3), members(1), members(1), false, false)
			pl.TakeActions()
		}
		pl.SetMembers(ms(4), members(tt.members), members(tt.members), true, false)
		if tt.waiting {
			pl.Request(ms(4), memberID(0), newRequest("a", 1))
		}
		for i := range tt.members {
			r := Report{Full: true}
			if tt.held && i == 2 {
				r.States = []lease.State{{ID: testWorker(0).ID, Fence: lease.NewFence(9), Open: true}}
			}
			pl.Report(ms(5), memberID(i), r)
		}
		if got := takeAssignments(pl); len(got) != tt.want {
			t.Errorf("%s: %d assignments, want %d", tt.name, len(got), tt.want)
		}
	}
}

// A leaving member is asked to release its workers. They are assigned to other members
// once it has released them, and not back to it.
func TestLeavingMember(t *testing.T) {
	pl := newPlannerWithHolders(t, 4, 4)
	all := members(4)
	all[2].Leaving = true
	pl.SetMembers(ms(1000), all, all, true, false)
	var releasing []string
	for _, a := range pl.TakeActions() {
		if a.Release != nil {
			if a.To != memberID(2) {
				t.Errorf("%v is asked to release a worker, want only the leaving member", a.To)
			}
			releasing = append(releasing, a.Release.Worker)
		}
	}
	if len(releasing) == 0 {
		t.Fatal("the leaving member is not asked to release its workers")
	}
	for _, id := range releasing {
		pl.Report(ms(1010), memberID(2), Report{States: []lease.State{{ID: id, Fence: lease.NewFence(9), Released: true}}})
		if got := takeAssignments(pl); got[id] == memberID(2) || got[id] == (mesh.ID{}) {
			t.Errorf("%s is assigned to %v, want another member", id, got[id])
		}
	}
}

// A new planner learns of the workers from their holders before it has read the
// platform's list. Tasks that it started on a draining worker would be killed with the
// worker.
func TestDrainingIsKnownFromTheHolder(t *testing.T) {
	pl := newIdlePlanner(Policy{})
	pl.Begin(ms(0))
	pl.SetMembers(ms(0), members(2), members(2), true, false)
	w := testWorker(0)
	pl.Report(ms(1), memberID(1), Report{Full: true, States: []lease.State{{ID: w.ID, Worker: &w, Fence: lease.NewFence(9), Open: true, Draining: true}}})
	pl.Request(ms(2), memberID(1), newRequest("j", 1))
	if grants, _ := place(pl, 2); len(grants) != 0 {
		t.Errorf("grants %+v on a draining worker", grants)
	}
}

// The holder of a draining worker is lost while tasks run there. The next holder must know that
// the worker drains from the beginning, or it starts more.
func TestAssignmentOfADrainingWorkerSaysSo(t *testing.T) {
	pl := newPlannerWithHolders(t, 3, 1)
	w := pl.workers["w0"]
	run := lease.RunState{Run: lease.Run{Task: "j.0.0.0", Number: 1}, Resources: lease.Resources{CPU: 1}}
	pl.Report(ms(690), w.holder, Report{States: []lease.State{{ID: "w0", Fence: lease.NewFence(9), Open: true, Runs: []lease.RunState{run}}}})
	pl.UpdateWorkers(ms(700), memberID(0), WorkerList{Workers: []ListedWorker{{Worker: testWorker(0), Draining: true}}})
	pl.TakeActions()
	left := slices.DeleteFunc(members(3), func(m mesh.Member) bool { return m.ID == w.holder })
	pl.SetMembers(ms(710), left, left, true, false)
	for _, a := range pl.TakeActions() {
		if a.Assignment != nil && a.Assignment.Draining {
			return
		}
	}
	t.Error("no assignment says that the worker drains")
}

// The platform's list says that a worker drains: its holder must be told, and told again
// if it reports the worker as not draining.
func TestHolderIsToldOfDraining(t *testing.T) {
	pl := newPlannerWithHolders(t, 2, 1)
	pl.UpdateWorkers(ms(700), memberID(0), WorkerList{Workers: []ListedWorker{{Worker: testWorker(0), Draining: true}}})
	told := func() (n int) {
		for _, a := range pl.TakeActions() {
			if a.Drain != nil {
				n++
			}
		}
		return n
	}
	if told() != 1 {
		t.Error("the holder is not told of the drain")
	}
	pl.Report(ms(710), memberID(0), Report{States: []lease.State{{ID: "w0", Fence: lease.NewFence(9), Open: true}}})
	if told() != 1 {
		t.Error("the holder is not told of the drain again")
	}
}

// A worker that its holder can't reach takes no tasks. It must be moved to another member
// of its data centre, which may have a path to it.
func TestUnreachableWorker(t *testing.T) {
	pl := newPlannerWithHolders(t, 4, 1)
	w := testWorker(0)
	h := pl.workers["w0"].holder
	bad := Report{States: []lease.State{{ID: w.ID, Fence: lease.NewFence(9), Failures: 3}}}
	for at := 4700; at < 6500; at += 100 {
		pl.Report(ms(at), h, bad)
		pl.Tick(ms(at))
	}
	releasing := false
	for _, a := range pl.TakeActions() {
		releasing = releasing || a.Release != nil && a.To == h
	}
	if !releasing {
		t.Fatal("the holder is not asked to release the worker")
	}
	pl.Report(ms(6500), h, Report{States: []lease.State{{ID: w.ID, Fence: lease.NewFence(9), Released: true}}})
	if got := takeAssignments(pl); got["w0"] == h || got["w0"] == (mesh.ID{}) {
		t.Errorf("the worker is assigned to %v, want another member", got["w0"])
	}
}

// The report of a former holder arrives late. It must not change the holder.
func TestReportOfAFormerHolder(t *testing.T) {
	pl := newPlannerWithHolders(t, 4, 1)
	h := pl.workers["w0"].holder
	from := memberID(2)
	if h == from {
		from = memberID(0)
	}
	pl.Report(ms(700), from, Report{States: []lease.State{{ID: "w0", Fence: lease.NewFence(5), Open: true}}})
	if got := pl.workers["w0"].holder; got != h {
		t.Errorf("holder is %v, want %v", got, h)
	}
}

// A worker changes its holder. What was learned of its speed must be sent to the new one.
func TestAssignmentCarriesSpeed(t *testing.T) {
	pl := newPlannerWithHolders(t, 4, 1)
	h := pl.workers["w0"].holder
	slow := lease.Speed{Factor: 3, Ends: 40}
	pl.Report(ms(700), h, Report{States: []lease.State{{ID: "w0", Fence: lease.NewFence(9), Open: true, Speed: slow}}})
	pl.Report(ms(710), h, Report{States: []lease.State{{ID: "w0", Fence: lease.NewFence(9), Released: true}}})
	for _, a := range pl.TakeActions() {
		if a.Assignment != nil && a.Assignment.Speed.Factor == slow.Factor {
			return
		}
	}
	t.Error("the assignment does not hold the speed")
}

// A worker has restarted and is still listed under its former incarnation. Each member
// that is to hold it finds another incarnation there and releases it at once, so it was
// assigned to two members in turns, 450 times in a second, which took a good part of the
// planner's processor time.
func TestWorkerThatNobodyCanHold(t *testing.T) {
	pl := newPlannerWithHolders(t, 2, 1)
	w := testWorker(0)
	assigned := 0
	holder := pl.workers["w0"].holder
	for at := 5000; at < 7000; at += 2 {
		if holder != (mesh.ID{}) {
			pl.Report(ms(at), holder, Report{States: []lease.State{{ID: w.ID, Fence: pl.workers["w0"].fence + 1, Released: true}}})
			holder = mesh.ID{}
		}
		if at%50 == 0 {
			pl.Tick(ms(at))
		}
		for _, a := range pl.TakeActions() {
			if a.Assignment != nil {
				assigned++
				holder = a.To
			}
		}
	}
	if assigned < 2 || assigned > 8 {
		t.Errorf("assigned %d times in two seconds, want 2 to 8", assigned)
	}
}
