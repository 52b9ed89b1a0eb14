package cell

import (
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"snipehub.example/lease"
	"snipehub.example/mesh"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ms(n int) time.Time { return epoch.Add(time.Duration(n) * time.Millisecond) }

func memberID(n int) mesh.ID {
	return mesh.ID{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1), Boot: 1}
}

func members(n int) []mesh.Member {
	out := make([]mesh.Member, 0, n)
	for i := range n {
		out = append(out, mesh.Member{ID: memberID(i), DataCenter: fmt.Sprintf("dc%d", i%2), Share: 1, Number: uint64(i + 1)})
	}
	return out
}

func testWorker(n int) lease.Worker {
	return lease.Worker{ID: fmt.Sprintf("w%d", n), Pool: "p", DataCenter: fmt.Sprintf("dc%d", n%2), Kind: "a", Rack: fmt.Sprintf("r%d", n%3), Room: lease.Room{CPU: 60, Memory: 100}}
}

// planning is a book that plans for n members and k workers, which nobody holds yet.
func planning(t testing.TB, n, k int) *Book {
	t.Helper()
	b := New(slog.New(slog.DiscardHandler), memberID(0), Policy{})
	b.Begin(ms(0))
	b.Members(ms(0), members(n), members(n), true, false)
	l := Listing{Whole: true}
	for i := range k {
		l.Listed = append(l.Listed, Listed{Worker: testWorker(i)})
	}
	b.Workers(ms(0), l)
	if a := b.Take(); len(a) != 0 {
		t.Fatalf("%d actions before the members have reported", len(a))
	}
	return b
}

// allHeld is planning with all workers held, as told.
func allHeld(t testing.TB, n, k int) *Book {
	t.Helper()
	b := planning(t, n, k)
	b.Tick(ms(600))
	for _, a := range b.Take() {
		if a.Duty != nil {
			w := a.Duty.Worker
			b.Report(ms(610), a.To, Report{States: []lease.State{{ID: w.ID, Worker: &w, Fence: lease.NewFence(9), Open: true}}})
		}
	}
	b.Take()
	return b
}

func ask(job string, n int) Ask {
	a := Ask{Job: job, Queue: "q", Pool: "p", Room: lease.Room{CPU: 25}, Estimate: 100 * time.Millisecond, Aim: 300 * time.Millisecond, Limit: 3 * time.Second}
	for i := range n {
		a.Tasks = append(a.Tasks, lease.Run{Task: lease.Task(fmt.Sprintf("%s.0.0.%d", job, i)), Number: 1})
	}
	return a
}

func place(b *Book, at int) (grants []Granted, refusals []Refusal) {
	b.Place(ms(at))
	for _, a := range b.Take() {
		switch {
		case a.Grant != nil:
			grants = append(grants, a.Grant.Items...)
		case a.Refusal != nil:
			refusals = append(refusals, *a.Refusal)
		}
	}
	return grants, refusals
}

func duties(b *Book) map[string]mesh.ID {
	out := make(map[string]mesh.ID)
	for _, a := range b.Take() {
		if a.Duty != nil {
			out[a.Duty.Worker.ID] = a.To
		}
	}
	return out
}

// A planner has just begun. Workers go to members of their data centre, evenly.
func TestDutiesAreSpread(t *testing.T) {
	b := planning(t, 4, 12)
	b.Tick(ms(600))
	got := duties(b)
	count := make(map[mesh.ID]int)
	for id, m := range got {
		count[m]++
		if w := b.workers[id]; w.DataCenter != b.members[m].DataCenter {
			t.Errorf("%s of %s is held in %s", id, w.DataCenter, b.members[m].DataCenter)
		}
	}
	for _, m := range members(4) {
		if count[m.ID] != 3 {
			t.Errorf("%v holds %d workers, want 3", m.ID, count[m.ID])
		}
	}
}

// A process that is cut off alone sees nobody and takes itself for the planner. It
// must not take the workers of those whom it does not see: they would take them back,
// and so on in turns.
func TestCutOffPlannerTakesNothing(t *testing.T) {
	b := allHeld(t, 4, 8)
	b.Members(ms(1000), members(1), members(1), false, false)
	b.Tick(ms(3000))
	if got := duties(b); len(got) != 0 {
		t.Errorf("duties %v", got)
	}
	b.Members(ms(3100), members(1), members(1), true, false)
	b.Tick(ms(3200))
	if got := duties(b); len(got) != 6 {
		t.Errorf("%d duties once the others are known to be gone, want their 6 workers", len(got))
	}
}

// All processes have started anew. When each has reported there is nothing to wait
// for; every moment more is one in which nobody is served.
func TestNobodyIsMissing(t *testing.T) {
	b := planning(t, 3, 6)
	b.Members(ms(1), members(3), members(3), true, true)
	for i := range 3 {
		if got := duties(b); len(got) != 0 {
			t.Fatalf("duties %v before all have reported", got)
		}
		b.Report(ms(2), memberID(i), Report{Whole: true})
	}
	if got := duties(b); len(got) != 6 {
		t.Errorf("%d duties when all have reported, want 6", len(got))
	}
}

// A member that leaves is relieved of its workers first; they are given on when it has
// let go, and not back to it.
func TestLeavingMember(t *testing.T) {
	b := allHeld(t, 4, 4)
	all := members(4)
	all[2].Leaving = true
	b.Members(ms(1000), all, all, true, false)
	var relieved []string
	for _, a := range b.Take() {
		if a.Relief != nil {
			if a.To != memberID(2) {
				t.Errorf("%v is relieved", a.To)
			}
			relieved = append(relieved, a.Relief.Worker)
		}
	}
	if len(relieved) == 0 {
		t.Fatal("nobody is relieved")
	}
	for _, id := range relieved {
		b.Report(ms(1010), memberID(2), Report{States: []lease.State{{ID: id, Fence: lease.NewFence(9), Gone: true}}})
		if got := duties(b); got[id] == memberID(2) || got[id] == (mesh.ID{}) {
			t.Errorf("%s goes to %v", id, got[id])
		}
	}
}

// A new planner knows the workers from their holders before it has read the
// platform's list. Starting tasks on one that has said that it leaves, they would be
// cut off with it.
func TestDrainingIsKnownFromTheHolder(t *testing.T) {
	b := New(slog.New(slog.DiscardHandler), memberID(0), Policy{})
	b.Begin(ms(0))
	b.Members(ms(0), members(2), members(2), true, false)
	w := testWorker(0)
	b.Report(ms(1), memberID(1), Report{Whole: true, States: []lease.State{{ID: w.ID, Worker: &w, Fence: lease.NewFence(9), Open: true, Draining: true}}})
	b.Ask(ms(2), memberID(1), ask("j", 1))
	if grants, _ := place(b, 2); len(grants) != 0 {
		t.Errorf("grants %+v on a draining worker", grants)
	}
}

// The list says that a worker drains: its holder is told, and told again if it reports
// the worker without it.
func TestHolderIsToldOfDraining(t *testing.T) {
	b := allHeld(t, 2, 1)
	b.Workers(ms(700), Listing{Listed: []Listed{{Worker: testWorker(0), Draining: true}}})
	told := func() (n int) {
		for _, a := range b.Take() {
			if a.Drain != nil {
				n++
			}
		}
		return n
	}
	if told() != 1 {
		t.Error("the holder is not told")
	}
	b.Report(ms(710), memberID(0), Report{States: []lease.State{{ID: "w0", Fence: lease.NewFence(9), Open: true}}})
	if told() != 1 {
		t.Error("the holder is not told again")
	}
}

// Two grants go out before the holder has reported the first. Without counting what
// was granted, every worker would be promised twice and turn half of the starts down.
func TestGrantsCountAtOnce(t *testing.T) {
	b := allHeld(t, 2, 2)
	b.Ask(ms(700), memberID(1), ask("a", 3))
	first, _ := place(b, 700)
	b.Ask(ms(701), memberID(1), ask("b", 3))
	second, _ := place(b, 701)
	if len(first) != 3 || len(second) != 1 {
		t.Errorf("%d and %d grants, want 3 and 1 on two workers of two places", len(first), len(second))
	}
	// The holder reports that one of them has ended already.
	w := first[0].Worker
	var left []lease.Holding
	for _, g := range append(first[1:], second...) {
		if g.Worker == w {
			left = append(left, lease.Holding{Run: g.Run, Room: lease.Room{CPU: 25}})
		}
	}
	b.Report(ms(702), first[0].Holder, Report{States: []lease.State{{ID: w, Fence: lease.NewFence(9), Open: true, Runs: left, Ended: []lease.Run{first[0].Run}}}})
	third, _ := place(b, 703)
	if len(third) != 1 || third[0].Worker != w {
		t.Errorf("grants %+v, want one on %s", third, w)
	}
}

// A process dies between a grant and its start. The room must come back.
func TestGrantIsForgotten(t *testing.T) {
	b := allHeld(t, 2, 1)
	b.Ask(ms(700), memberID(1), ask("a", 2))
	place(b, 700)
	patient := ask("b", 1)
	patient.Aim = time.Second
	b.Ask(ms(710), memberID(1), patient)
	if g, _ := place(b, 710); len(g) != 0 {
		t.Fatalf("grants %+v on a full worker", g)
	}
	b.Tick(ms(700).Add(grantFor))
	if g, _ := place(b, 700+int(grantFor.Milliseconds())); len(g) != 1 {
		t.Errorf("%d grants after the first was forgotten, want 1", len(g))
	}
}

// What can't be ready in time any more is refused at once, but not once a part of it
// runs: "not run" would be false.
func TestHopelessJobs(t *testing.T) {
	b := allHeld(t, 2, 1)
	b.Ask(ms(700), memberID(1), ask("a", 2))
	place(b, 700)
	b.Ask(ms(701), memberID(1), ask("b", 1))
	begun := ask("c", 1)
	begun.Begun = true
	b.Ask(ms(701), memberID(1), begun)
	if _, r := place(b, 702); len(r) != 0 {
		t.Fatalf("refusals %+v while there is time", r)
	}
	b.Tick(ms(950))
	_, r := place(b, 950)
	if len(r) != 1 || r[0].Job != "b" || r[0].After <= 0 {
		t.Errorf("refusals %+v, want b with a time to come back", r)
	}
}

// The worker that was the fastest a moment ago turns out to be slow. A job that the
// others can serve in time must not be refused by its measure.
func TestSpeedHasJustChanged(t *testing.T) {
	b := allHeld(t, 2, 2)
	b.Tick(ms(650))
	b.Report(ms(660), b.workers["w0"].holder, Report{States: []lease.State{{ID: "w0", Fence: lease.NewFence(9), Open: true, Speed: lease.Speed{Factor: 9, Ends: 20}}}})
	b.Ask(ms(661), memberID(1), ask("a", 1))
	grants, refusals := place(b, 661)
	if len(grants) != 1 || len(refusals) != 0 {
		t.Errorf("grants %+v, refusals %+v", grants, refusals)
	}
}

func TestRequirements(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Ask)
		want   int
	}{
		{"nothing", func(*Ask) {}, 4},
		{"a kind that all have", func(a *Ask) { a.Label = "a" }, 4},
		{"a rack", func(a *Ask) { a.Label = "r1" }, 2},
		{"a label that none has", func(a *Ask) { a.Label = "z" }, 0},
		{"apart", func(a *Ask) { a.Apart = 1 }, 2},
		{"another pool", func(a *Ask) { a.Pool = "other" }, 0},
		{"avoid one", func(a *Ask) { a.Avoid = []string{"w0"} }, 2},
		{"more memory than one has", func(a *Ask) { a.Room.Memory = 101 }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := allHeld(t, 2, 2)
			a := ask("a", 6)
			tt.change(&a)
			b.Ask(ms(700), memberID(1), a)
			if g, _ := place(b, 700); len(g) != tt.want {
				t.Errorf("%d grants, want %d", len(g), tt.want)
			}
		})
	}
}

// A worker that its holder can't reach takes nothing, and is given to another member
// of its data centre, which may have a path to it.
func TestUnreachableWorker(t *testing.T) {
	b := allHeld(t, 4, 1)
	w := testWorker(0)
	h := b.workers["w0"].holder
	bad := Report{States: []lease.State{{ID: w.ID, Fence: lease.NewFence(9), Failures: 3}}}
	for at := 4700; at < 6500; at += 100 {
		b.Report(ms(at), h, bad)
		b.Tick(ms(at))
	}
	relieved := false
	for _, a := range b.Take() {
		relieved = relieved || a.Relief != nil && a.To == h
	}
	if !relieved {
		t.Fatal("its holder keeps it")
	}
	b.Report(ms(6500), h, Report{States: []lease.State{{ID: w.ID, Fence: lease.NewFence(9), Gone: true}}})
	if got := duties(b); got["w0"] == h || got["w0"] == (mesh.ID{}) {
		t.Errorf("it goes to %v", got["w0"])
	}
}

// The report of a holder that was replaced arrives late.
func TestReportOfAFormerHolder(t *testing.T) {
	b := allHeld(t, 4, 1)
	h := b.workers["w0"].holder
	from := memberID(2)
	if h == from {
		from = memberID(0)
	}
	b.Report(ms(700), from, Report{States: []lease.State{{ID: "w0", Fence: lease.NewFence(5), Open: true}}})
	if got := b.workers["w0"].holder; got != h {
		t.Errorf("%v counts as holder in place of %v", got, h)
	}
}

// BenchmarkPlace plans jobs of four tasks for 350 workers of 41 members, with as many
// ends of runs, as in a cell of today's largest size at its busiest.
func BenchmarkPlace(b *testing.B) {
	sizes := []struct{ members, workers, running int }{{41, 350, 600}, {147, 1100, 1500}}
	for _, n := range sizes {
		b.Run(fmt.Sprint(n.workers), func(b *testing.B) { benchmarkPlace(b, n.members, n.workers, n.running) })
	}
}

func benchmarkPlace(b *testing.B, n, workers, most int) {
	book := New(slog.New(slog.DiscardHandler), memberID(0), Policy{})
	book.Begin(ms(0))
	book.Members(ms(0), members(n), members(n), true, false)
	l := Listing{Whole: true}
	for i := range workers {
		l.Listed = append(l.Listed, Listed{Worker: testWorker(i)})
	}
	book.Workers(ms(0), l)
	book.Tick(ms(600))
	for _, a := range book.Take() {
		if a.Duty != nil {
			w := a.Duty.Worker
			book.Report(ms(610), a.To, Report{States: []lease.State{{ID: w.ID, Worker: &w, Fence: lease.NewFence(9), Open: true}}})
		}
	}
	book.Tick(ms(650))
	book.Take()
	var running []Granted
	now := ms(700)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		a := ask(fmt.Sprint(i), 4)
		a.Limit, a.Aim = time.Hour, time.Hour
		book.Ask(now, memberID(i%n), a)
		book.Place(now)
		for _, a := range book.Take() {
			if a.Grant != nil {
				running = append(running, a.Grant.Items...)
			}
		}
		for len(running) > most {
			g := running[0]
			running = running[1:]
			book.Report(now, g.Holder, Report{States: []lease.State{{ID: g.Worker, Fence: lease.NewFence(9), Open: true, Ended: []lease.Run{g.Run}}}})
		}
	}
}

func sick(b *Book, at int, id string, bad int) {
	b.Report(ms(at), b.workers[id].holder, Report{States: []lease.State{{ID: id, Fence: lease.NewFence(9), Open: true, Speed: lease.Speed{Factor: 1, Ends: 9, Bad: bad}}}})
}

// A worker fails all that it is given, at once, so it always looks free and would be
// given more than any other. After the failures of two jobs it gets one task now and
// then, until one is done.
func TestSickWorkerIsPutAside(t *testing.T) {
	b := allHeld(t, 2, 4)
	sick(b, 700, "w0", 2)
	on := func(at, tasks int) (n int) {
		a := ask(fmt.Sprint("job", at), tasks)
		a.Aim = 10 * time.Second
		b.Ask(ms(at), memberID(1), a)
		grants, _ := place(b, at)
		for _, g := range grants {
			if g.Worker == "w0" {
				n++
			}
		}
		b.Withdraw(Withdrawal{Job: a.Job})
		return n
	}
	if n := on(710, 9); n != 0 {
		t.Errorf("%d tasks on a worker that was put aside", n)
	}
	if n := on(1250, 9); n != 1 {
		t.Errorf("%d tasks try it after half a second, want 1", n)
	}
	sick(b, 1260, "w0", 3)
	if n := on(1800, 9); n != 0 {
		t.Errorf("%d tasks try it again too soon", n)
	}
	sick(b, 1810, "w0", 0)
	if n := on(1820, 9); n != 2 {
		t.Errorf("%d tasks on it after it was well again, want 2", n)
	}
}

// All workers fail: the fault is not theirs. Putting them all aside would refuse what
// some callers could still be served.
func TestFewAreAside(t *testing.T) {
	b := allHeld(t, 2, 10)
	for i := range 10 {
		sick(b, 700, fmt.Sprintf("w%d", i), 5)
	}
	aside := 0
	for _, w := range b.workers {
		if w.aside {
			aside++
		}
	}
	if aside != 3 {
		t.Errorf("%d of 10 workers are aside, want 3", aside)
	}
}

// A worker changes its holder. What was learned of its speed must go with it.
func TestSpeedGoesWithADuty(t *testing.T) {
	b := allHeld(t, 4, 1)
	h := b.workers["w0"].holder
	slow := lease.Speed{Factor: 3, Ends: 40}
	b.Report(ms(700), h, Report{States: []lease.State{{ID: "w0", Fence: lease.NewFence(9), Open: true, Speed: slow}}})
	b.Report(ms(710), h, Report{States: []lease.State{{ID: "w0", Fence: lease.NewFence(9), Gone: true}}})
	for _, a := range b.Take() {
		if a.Duty != nil && a.Duty.Speed.Factor == slow.Factor {
			return
		}
	}
	t.Error("the new holder is not told the speed")
}

// Only a slow worker is free, on which a task would be late. It waits for a fast one
// while it still could be in time there; once it is late, any worker will do.
func TestTasksWaitForAFasterWorker(t *testing.T) {
	b := allHeld(t, 2, 2)
	fast := ask("fast", 2)
	slowly := func(at int) {
		b.Report(ms(at), b.workers["w1"].holder, Report{States: []lease.State{{ID: "w1", Fence: lease.NewFence(9), Open: true, Speed: lease.Speed{Factor: 5, Ends: 20}}}})
	}
	slowly(700)
	b.Ask(ms(700), memberID(1), fast)
	if g, _ := place(b, 700); len(g) != 2 || g[0].Worker != "w0" {
		t.Fatalf("grants %+v", g)
	}
	b.Ask(ms(710), memberID(1), ask("a", 1))
	if g, r := place(b, 710); len(g) != 0 || len(r) != 0 {
		t.Errorf("grants %+v, refusals %+v, want it to wait", g, r)
	}
	begun := ask("late", 1)
	begun.Begun, begun.Aim = true, 20*time.Millisecond
	b.Ask(ms(720), memberID(1), begun)
	if g, _ := place(b, 720); len(g) != 1 || g[0].Worker != "w1" {
		t.Errorf("grants %+v, want the late task on the slow worker", g)
	}
}

// Two jobs that have begun will use the only worker for longer than a third one has
// time. It is refused at once, while its caller can still turn elsewhere; a job that
// fits behind them waits.
func TestLookingAhead(t *testing.T) {
	b := allHeld(t, 2, 1)
	first := ask("first", 2)
	first.Estimate, first.Aim = time.Second, 2*time.Second
	b.Ask(ms(700), memberID(1), first)
	place(b, 700)
	short, long := ask("short", 1), ask("long", 1)
	short.Aim, long.Aim = 500*time.Millisecond, 1500*time.Millisecond
	b.Ask(ms(720), memberID(1), short)
	b.Ask(ms(720), memberID(1), long)
	_, refusals := place(b, 720)
	if len(refusals) != 1 || refusals[0].Job != "short" || refusals[0].Why != lateWord {
		t.Errorf("refusals %+v, want only that of the job without time", refusals)
	}
	if len(b.waits) != 1 {
		t.Errorf("%d jobs wait", len(b.waits))
	}
}

// What is left of a run is foreseen from its progress, else from its estimate; one that
// is overdue does not count as free.
func TestEndOfARun(t *testing.T) {
	tests := []struct {
		name string
		h    held
		at   int
		want int
	}{
		{"by estimate", held{began: ms(0), estimate: 100 * time.Millisecond}, 40, 200},
		{"by progress", held{began: ms(0), estimate: 100 * time.Millisecond, percent: 50, seen: ms(30)}, 40, 60},
		{"too early to tell", held{began: ms(0), estimate: 100 * time.Millisecond, percent: 5, seen: ms(30)}, 40, 200},
		{"overdue", held{began: ms(0), estimate: 100 * time.Millisecond}, 400, 440},
	}
	for _, tt := range tests {
		if got := tt.h.end(ms(tt.at), 2); !got.Equal(ms(tt.want)) {
			t.Errorf("%s: ends at %v, want %v", tt.name, got.Sub(epoch), ms(tt.want).Sub(epoch))
		}
	}
}

// Many jobs want the rack where their data is; elsewhere their tasks take twice as long.
// A slower worker there is better for them than the fastest one, a full rack is no reason
// to wait if the task can be in time elsewhere, and one that can't isn't started in vain.
func TestTasksGoToTheirData(t *testing.T) {
	tests := []struct {
		name  string
		aim   time.Duration
		tasks int
		// near is how many are placed on the rack, far how many elsewhere.
		near, far int
	}{
		{"room on the rack", 300 * time.Millisecond, 2, 2, 0},
		{"rack full, time enough", 300 * time.Millisecond, 4, 2, 2},
		{"rack full, too late elsewhere", 180 * time.Millisecond, 4, 2, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := allHeld(t, 2, 3)
			for _, w := range b.workers {
				w.speed = lease.Speed{Factor: 1, Ends: 9}
				if w.Rack == "r1" {
					w.speed.Factor = 1.5
				}
			}
			b.sortSeats()
			a := ask("a", tt.tasks)
			a.Rack, a.Aim = "r1", tt.aim
			b.Ask(ms(700), memberID(1), a)
			grants, _ := place(b, 700)
			near, far := 0, 0
			for _, g := range grants {
				switch {
				case b.workers[g.Worker].Rack == "r1" && g.Estimate == 0:
					near++
				case g.Estimate == 200*time.Millisecond:
					far++
				}
			}
			if near != tt.near || far != tt.far || len(grants) != near+far {
				t.Errorf("%d near, %d far of %d grants; want %d, %d", near, far, len(grants), tt.near, tt.far)
			}
		})
	}
}

// The planner leaves or dies, and the next one is asked for workers by one process before
// another has reported those that it holds. It saw no room at all and refused jobs for
// which there was plenty; callers got "too busy" from an idle system.
func TestNewPlannerWaitsForReports(t *testing.T) {
	b := planning(t, 2, 4)
	b.Report(ms(1), memberID(0), Report{Whole: true})
	b.Ask(ms(1), memberID(0), ask("a", 2))
	if _, refused := place(b, 2); len(refused) != 0 {
		t.Fatalf("refused before all have reported: %+v", refused)
	}
	b.Report(ms(3), memberID(1), Report{Whole: true})
	if _, refused := place(b, 20); len(refused) != 0 {
		t.Errorf("refused while four workers are being taken: %+v", refused)
	}
	for i := range 4 {
		w := testWorker(i)
		b.Report(ms(30), b.workers[w.ID].holder, Report{States: []lease.State{{ID: w.ID, Fence: lease.NewFence(9), Open: true, Draining: true}}})
	}
	a := ask("b", 2)
	a.Aim = 10 * time.Second
	b.Ask(ms(1100), memberID(0), a)
	if _, refused := place(b, 1100); len(refused) != 2 {
		t.Errorf("%d refusals though no worker takes tasks, want 2", len(refused))
	}
}

// All processes were restarted. The first planner has met nobody yet and knows of no
// worker; half a second later all of them are held again. A fifth of the callers of these
// seconds was refused at once, most of whom could have been served in time.
func TestNobodyIsRefusedBeforeTheWorkersAreThere(t *testing.T) {
	b := New(slog.New(slog.DiscardHandler), memberID(0), Policy{})
	b.Begin(ms(0))
	b.Members(ms(0), members(1), members(1), false, false)
	b.Report(ms(1), memberID(0), Report{Whole: true})
	for _, c := range []struct{ at, aim, refused int }{
		{20, 900, 0},
		{400, 600, 0},
		{1100, 600, 3},
	} {
		a := ask(fmt.Sprint("job", c.at), 2)
		a.Aim = time.Duration(c.aim) * time.Millisecond
		b.Ask(ms(c.at), memberID(0), a)
		if _, refused := place(b, c.at); len(refused) != c.refused {
			t.Errorf("at %d ms %d refusals, want %d", c.at, len(refused), c.refused)
		}
	}
}

// The holder of a worker leaves as planned. Until the next one has it, some milliseconds
// later, nothing can be started there; jobs that came meanwhile were refused.
func TestWorkerThatChangesHands(t *testing.T) {
	b := allHeld(t, 2, 1)
	w := b.workers["w0"]
	b.Report(ms(700), w.holder, Report{States: []lease.State{{ID: w.ID, Fence: lease.NewFence(9), Gone: true}}})
	b.Ask(ms(701), memberID(1), ask("a", 2))
	if _, refused := place(b, 701); len(refused) != 0 {
		t.Errorf("refused while the worker changes hands: %+v", refused)
	}
	a := ask("b", 2)
	a.Aim = time.Hour
	b.Ask(ms(2000), memberID(1), a)
	if _, refused := place(b, 2000); len(refused) != 2 {
		t.Errorf("%d refusals long after the worker was lost, want 2", len(refused))
	}
}

// A worker has started again and is still listed under its former life. Whoever is told to
// hold it finds another life there and lets go at once, so that it was given to two members
// in turns, 450 times in a second, which took a good part of the planner's processor.
func TestWorkerThatNobodyCanHold(t *testing.T) {
	b := allHeld(t, 2, 1)
	w := testWorker(0)
	given := 0
	holder := b.workers["w0"].holder
	for at := 5000; at < 7000; at += 2 {
		if holder != (mesh.ID{}) {
			b.Report(ms(at), holder, Report{States: []lease.State{{ID: w.ID, Fence: b.workers["w0"].fence + 1, Gone: true}}})
			holder = mesh.ID{}
		}
		if at%50 == 0 {
			b.Tick(ms(at))
		}
		for _, a := range b.Take() {
			if a.Duty != nil {
				given++
				holder = a.To
			}
		}
	}
	if given < 2 || given > 8 {
		t.Errorf("given %d times in two seconds, want 2 to 8", given)
	}
}

// No worker has a holder, long after the planner began: their holders are lost and the store
// is away. Callers were told that others come before them, and who was on call looked for a
// load that was not there.
func TestRefusalTellsThatNoWorkerTakesTasks(t *testing.T) {
	b := New(slog.New(slog.DiscardHandler), memberID(0), Policy{})
	b.Begin(ms(0))
	b.Members(ms(0), members(1), members(1), false, false)
	b.Report(ms(1), memberID(0), Report{Whole: true})
	b.Ask(ms(2000), memberID(0), ask("a", 2))
	_, refused := place(b, 2000)
	if len(refused) == 0 || refused[0].Why != noWorkersWord {
		t.Errorf("refused %+v, want %s", refused, noWorkersWord)
	}
}

// All processes have started together, and a job comes when one worker takes tasks and the
// others have a holder that waits for their first answer. Callers were refused for want of
// room that was there some milliseconds later.
func TestWorkersWhoseHolderHasJustBegunCount(t *testing.T) {
	b := planning(t, 2, 2)
	b.Tick(ms(600))
	for _, a := range b.Take() {
		if a.Duty != nil {
			w := a.Duty.Worker
			b.Report(ms(610), a.To, Report{States: []lease.State{{ID: w.ID, Worker: &w, Fence: lease.NewFence(9), Open: w.ID == "w0"}}})
		}
	}
	for i, job := range []string{"a", "b"} {
		at := 620 + 10*i
		next := ask(job, 2)
		next.Estimate = 200 * time.Millisecond
		b.Ask(ms(at), memberID(1), next)
		if _, refused := place(b, at); len(refused) != 0 {
			t.Errorf("refused %+v, want it to wait for the other worker", refused)
		}
	}
	b.Tick(ms(2000))
	for _, job := range []string{"c", "d"} {
		next := ask(job, 2)
		next.Estimate, next.Aim = time.Second, 1500*time.Millisecond
		b.Ask(ms(2000), memberID(1), next)
	}
	grants, refused := place(b, 2000)
	if len(grants) != 2 || len(refused) != 2 || refused[1].Why != lateWord {
		t.Errorf("long after the holder began %d grants, refused %+v; want b and one of c and d refused", len(grants), refused)
	}
}
