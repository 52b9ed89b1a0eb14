package node

import (
	"bytes"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"snipehub.example/cell"
	"snipehub.example/entry"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// assignments returns the members to which a core assigns workers, itself included, by
// worker.
func assignments(c *Core, out []Output) map[string]mesh.ID {
	got := make(map[string]mesh.ID)
	for _, o := range out {
		switch {
		case o.Message != nil && o.Message.Assignment != nil:
			got[o.Message.Assignment.Worker.ID] = o.To
		case o.Hold != nil:
			got[o.Worker.ID] = c.Self().ID
		}
	}
	return got
}

// fullList returns a full list of workers with these IDs.
func fullList(ids ...string) cell.WorkerList {
	l := cell.WorkerList{Full: true}
	for _, id := range ids {
		w := testWorker()
		w.ID = id
		l.Workers = append(l.Workers, cell.ListedWorker{Worker: w})
	}
	return l
}

// threeCores returns the cores of members 1, 2 and 3, connected to each other, of which
// the first is the planner.
func threeCores() (planner, second, third *Core) {
	planner, second, third = newCore(1, 2, 3), newCore(2, 1, 3), newCore(3, 1, 2)
	for _, c := range []*Core{planner, second, third} {
		for n := 1; n <= 3; n++ {
			if m := member(n); m.ID != c.Self().ID {
				c.MemberUp(ms(1), m, 1)
			}
		}
		c.Take(ms(1))
	}
	return planner, second, third
}

// listed has a core read a list for itself.
func listed(c *Core, now time.Time, l cell.WorkerList) {
	c.WorkersListed(now, c.ListReading(), now, l)
}

// deliver passes the messages that one core has for another to it.
func deliver(now time.Time, from, to *Core, out []Output) {
	to.Receive(now, from.Self().ID, 1, messagesTo(out, to.Self().ID))
}

// The planner, which also holds workers, is killed while the store is unreachable, so its
// successor can't read the list of workers. Without a copy of the list nobody knows the
// workers of the killed process, and jobs are refused until the store is back.
func TestNextPlannerKnowsTheWorkersWithoutTheStore(t *testing.T) {
	planner, second, third := threeCores()
	listed(planner, ms(10), fullList("w", "x"))
	out := planner.Take(ms(10))
	deliver(ms(11), planner, second, out)
	deliver(ms(11), planner, third, out)
	second.Take(ms(11))

	second.MemberDown(ms(100), planner.Self().ID, 1, ms(90))
	if !second.IsPlanner() {
		t.Fatal("the second process is not the planner")
	}
	second.Receive(ms(101), member(3).ID, 1, []Message{{Report: &cell.Report{Full: true}}})
	second.Tick(ms(3000))
	if got := assignments(second, second.Take(ms(3000))); len(got) != 2 {
		t.Errorf("assigned workers %v, want both", got)
	}
}

// As above, but the new planner has noticed that it can't reach the store. Event 918 must
// name the process whose list is in use, not the new planner itself.
func TestRecalledListNamesThePlannerBefore(t *testing.T) {
	planner, second, _ := threeCores()
	var log bytes.Buffer
	second.log = slog.New(slog.NewTextHandler(&log, nil))
	second.Advertise(ms(5), func(m *mesh.Member) { m.StoreUnreachable = true })
	listed(planner, ms(10), fullList("w"))
	deliver(ms(11), planner, second, planner.Take(ms(10)))
	second.MemberDown(ms(100), planner.Self().ID, 1, ms(90))
	second.Take(ms(100))
	if want := "event=918 workers=1 from=" + planner.Self().ID.String(); strings.Count(log.String(), "event=918") != 1 || !strings.Contains(log.String(), want) {
		t.Errorf("log is %s, want %s once", log.String(), want)
	}
}

// Workers come, drain and leave. The next planner must not start tasks on one that has
// long announced that it drains.
func TestDeputiesAreToldOfChanges(t *testing.T) {
	planner, second, _ := threeCores()
	listed(planner, ms(10), fullList("w", "x"))
	deliver(ms(11), planner, second, planner.Take(ms(10)))
	change := fullList("y", "x")
	change.Full, change.Workers[1].Draining, change.Removed = false, true, []string{"w"}
	listed(planner, ms(20), change)
	deliver(ms(21), planner, second, planner.Take(ms(20)))
	listed(planner, ms(30), fullList("x", "y"))
	if out := planner.Take(ms(30)); len(messagesTo(out, second.Self().ID)) != 1 {
		t.Errorf("sent %+v, want the change of x alone", messagesTo(out, second.Self().ID))
	} else {
		deliver(ms(31), planner, second, out)
	}
	second.Take(ms(31))

	second.MemberDown(ms(100), planner.Self().ID, 1, ms(90))
	second.Receive(ms(101), member(3).ID, 1, []Message{{Report: &cell.Report{Full: true}}})
	second.Tick(ms(3000))
	v := second.Status(ms(3000)).Cell
	if len(v.Holders) != 2 || v.Holders[0].Worker != "x" || v.Holders[1].Worker != "y" {
		t.Errorf("knows %+v, want x and y", v.Holders)
	}
}

// The list of a planner that ended long ago names workers that have left since.
func TestOldListIsNotUsed(t *testing.T) {
	planner, second, _ := threeCores()
	listed(planner, ms(10), fullList("w"))
	deliver(ms(11), planner, second, planner.Take(ms(10)))
	first := planner.Self()
	first.Leaving = true
	large := member(3)
	large.Cores = 4
	second.MemberChanged(ms(20), large)
	second.Take(ms(20))
	later := ms(21).Add(listRetention)
	second.MemberDown(later, large.ID, 1, later)
	second.MemberChanged(later, first)
	if !second.IsPlanner() {
		t.Fatal("the second process is not the planner")
	}
	if v := second.Status(later).Cell; len(v.Holders) > 0 {
		t.Errorf("knows %+v, want nothing", v.Holders)
	}
	fresh := member(9)
	second.MemberUp(later, fresh, 9)
	for _, m := range messagesTo(second.Take(later), fresh.ID) {
		if m.WorkerList != nil {
			t.Errorf("sends a deputy %+v", m.WorkerList)
		}
	}
}

// The planner and its deputies are killed together. A former planner that can't reach the
// store sends its list to the next one.
func TestFormerPlannerTellsTheNext(t *testing.T) {
	planner, second, _ := threeCores()
	listed(planner, ms(10), fullList("w"))
	planner.Advertise(ms(11), func(m *mesh.Member) { m.StoreUnreachable = true })
	planner.Take(ms(11))
	large := second.Self()
	large.Cores = 4
	planner.MemberChanged(ms(20), large)
	out := planner.Take(ms(20))
	second.Advertise(ms(20), func(m *mesh.Member) { m.Cores = 4 })
	second.Take(ms(20))
	deliver(ms(21), planner, second, out)
	second.Take(ms(21))
	if v := second.Status(ms(22)).Cell; v == nil || len(v.Holders) != 1 {
		t.Errorf("knows %+v, want the worker", v)
	}
	// A list read from the store takes precedence.
	listed(second, ms(30), fullList("x"))
	deliver(ms(31), planner, second, []Output{{To: second.Self().ID, Message: &Message{WorkerList: &cell.WorkerList{Full: true, FromPlanner: true, Workers: []cell.ListedWorker{{Worker: lease.Worker{ID: "old"}}}}}}})
	second.Take(ms(31))
	for _, h := range second.Status(ms(32)).Cell.Holders {
		if h.Worker == "old" {
			t.Error("an old list changes the list read from the store")
		}
	}
}

// Copying the list to all members would cause as much traffic as the jobs do. In a
// deployment of hundreds, the planner copies it to the two members that are next in line,
// and to one in each data centre, which plans there if the data centre is cut off.
func TestFewDeputies(t *testing.T) {
	tests := []struct {
		name      string
		processes int
		want      int
	}{
		{"two processes", 2, 1},
		{"eight in two data centres", 8, 2},
		{"a cell of fifty", splitThreshold + 4, 2},
	}
	for _, tt := range tests {
		c, _ := newTwoDataCenterCore(tt.processes)
		c.Advertise(ms(5), func(m *mesh.Member) { m.Cores = 9 })
		c.Take(ms(5))
		listed(c, ms(6), cell.WorkerList{Full: true, Workers: []cell.ListedWorker{{Worker: lease.Worker{ID: "w", DataCenter: "even"}}}})
		notified := make(map[mesh.ID]bool)
		for _, o := range c.Take(ms(6)) {
			if o.Message != nil && o.Message.WorkerList != nil {
				notified[o.To] = true
			}
		}
		if len(notified) != tt.want {
			t.Errorf("%s: %d deputies notified, want %d", tt.name, len(notified), tt.want)
		}
	}
}

// pauses are pauses of a process, and whether others may have planned meanwhile.
var pauses = []struct {
	name  string
	pause time.Duration
	stale bool
}{
	{"short", 600 * time.Millisecond, false},
	{"long", 3 * time.Second, true},
}

// The planner does not run for seconds, and another process plans meanwhile: workers get other
// holders, and some drain. If the planner goes on with what it knew, it assigns and grants
// workers that have long announced that they drain, and takes others from their holders.
func TestPlannerForgetsWhatItKnewBeforeAPause(t *testing.T) {
	for _, tt := range pauses {
		planner, _, _ := threeCores()
		listed(planner, ms(10), fullList("w"))
		planner.Take(ms(10))
		before := planner.ListReading()
		back := ms(20).Add(tt.pause)
		planner.Resumed(back, tt.pause)
		out := planner.Take(back)
		if got := planner.ListReading() != before; got != tt.stale {
			t.Errorf("%s: reads the list anew: %v, want %v", tt.name, got, tt.stale)
		}
		if got := len(planner.Status(back).Cell.Holders) == 0; got != tt.stale {
			t.Errorf("%s: knows no workers: %v, want %v", tt.name, got, tt.stale)
		}
		advertised := slices.ContainsFunc(out, func(o Output) bool { return o.Advertise != nil && o.Advertise.PlannerTerms == 2 })
		if advertised != tt.stale {
			t.Errorf("%s: advertises a new term: %v, want %v", tt.name, advertised, tt.stale)
		}
	}
}

// A deputy does not run for seconds, and plans when it resumes, since its sessions have ended. Its
// copy of the planner's list is as old as the pause.
func TestDeputyForgetsItsListInAPause(t *testing.T) {
	for _, tt := range pauses {
		planner, deputy, _ := threeCores()
		listed(planner, ms(10), fullList("w"))
		deliver(ms(11), planner, deputy, planner.Take(ms(10)))
		deputy.Take(ms(11))
		back := ms(20).Add(tt.pause)
		deputy.Resumed(back, tt.pause)
		deputy.MemberDown(back, planner.Self().ID, 1, ms(20))
		if got := len(deputy.Status(back).Cell.Holders) == 0; got != tt.stale {
			t.Errorf("%s: knows no workers: %v, want %v", tt.name, got, tt.stale)
		}
	}
}

// A holder of a draining worker is lost, and another member gets the worker for the runs there.
// If it is not told that the worker drains, it starts what a planner with an old list grants.
func TestNewHolderOfADrainingWorkerStartsNothing(t *testing.T) {
	for _, held := range []bool{false, true} {
		c := newCore(2, 1)
		c.MemberUp(ms(1), member(1), 1)
		if held {
			c.Receive(ms(2), member(1).ID, 1, []Message{{Assignment: &cell.Assignment{Worker: testWorker()}}})
		}
		c.Receive(ms(2), member(1).ID, 1, []Message{{Assignment: &cell.Assignment{Worker: testWorker(), Draining: true}}})
		for _, o := range c.Take(ms(2)) {
			if o.Hold != nil {
				c.HoldAnswered(ms(3), "w", *o.Hold, lease.Result{Verdict: lease.OK, Clock: 100, Incarnation: 1})
			}
		}
		c.Take(ms(3))
		run := entry.PlacedRun{Run: lease.Run{Task: "j.0.0.0", Number: 1}, Worker: "w", Fence: c.held["w"].Fence()}
		c.Receive(ms(4), member(1).ID, 1, []Message{{Start: &entry.Start{Runs: []entry.PlacedRun{run}}}})
		var why lease.Reason
		for _, m := range messagesTo(c.Take(ms(4)), member(1).ID) {
			if m.Ended != nil {
				why = m.Ended.End.Why
			}
		}
		if why != lease.Draining {
			t.Errorf("held before: %v: the start ends with reason %q, want %q", held, why, lease.Draining)
		}
	}
}

// Guards against deputies whose copy of the list takes an entry of another writer, without an incarnation,
// for the worker.
func TestCopyOfTheListKeepsKnownIncarnations(t *testing.T) {
	known := cell.ListedWorker{Worker: testWorker()}
	known.Incarnation, known.Kind = 1, "a"
	other := known
	other.Incarnation, other.Kind = 0, "c"
	var l workerList
	from := member(1).ID
	l.apply(from, cell.WorkerList{Workers: []cell.ListedWorker{known}})
	changes := l.apply(from, cell.WorkerList{Full: true, Workers: []cell.ListedWorker{other}})
	if got := l.workers[known.ID]; got != known || len(changes.Workers)+len(changes.Removed) != 0 {
		t.Errorf("the copy has %+v and forwards %+v", got, changes)
	}
}
