package cell

import (
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"snipehub.example/catalog"
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
		out = append(out, mesh.Member{ID: memberID(i), DataCenter: fmt.Sprintf("dc%d", i%2), Cores: 1, Number: uint64(i + 1)})
	}
	return out
}

func testWorker(n int) lease.Worker {
	return lease.Worker{ID: fmt.Sprintf("w%d", n), Pool: "p", DataCenter: fmt.Sprintf("dc%d", n%2), Kind: "a", Rack: fmt.Sprintf("r%d", n%3), Resources: lease.Resources{CPU: 60, Memory: 100}}
}

// newIdlePlanner returns a Planner that is not active yet and knows that no data centre is
// evacuated.
func newIdlePlanner(policy Policy) *Planner {
	pl := New(slog.New(slog.DiscardHandler), memberID(0), policy)
	pl.SetEvacuations(catalog.Evacuations{End: 1})
	return pl
}

// newPlanner returns an active Planner with n members and k workers that nobody holds yet.
func newPlanner(t testing.TB, n, k int) *Planner {
	t.Helper()
	pl := newIdlePlanner(Policy{})
	pl.Begin(ms(0))
	pl.SetMembers(ms(0), members(n), members(n), true, false)
	l := WorkerList{Full: true}
	for i := range k {
		l.Workers = append(l.Workers, ListedWorker{Worker: testWorker(i)})
	}
	pl.UpdateWorkers(ms(0), memberID(0), l)
	if a := pl.TakeActions(); len(a) != 0 {
		t.Fatalf("%d actions before the members have reported", len(a))
	}
	return pl
}

// newPlannerWithHolders is newPlanner with each worker held by the member to which it was
// assigned.
func newPlannerWithHolders(t testing.TB, n, k int) *Planner {
	t.Helper()
	pl := newPlanner(t, n, k)
	pl.Tick(ms(600))
	for _, a := range pl.TakeActions() {
		if a.Assignment != nil {
			w := a.Assignment.Worker
			pl.Report(ms(610), a.To, Report{States: []lease.State{{ID: w.ID, Worker: &w, Fence: lease.NewFence(9), Open: true}}})
		}
	}
	pl.TakeActions()
	return pl
}

func newRequest(job string, n int) Request {
	req := Request{Job: job, Queue: "q", Pool: "p", Resources: lease.Resources{CPU: 25}, Estimate: 100 * time.Millisecond, Objective: 300 * time.Millisecond, Timeout: 3 * time.Second}
	for i := range n {
		req.Tasks = append(req.Tasks, lease.Run{Task: lease.Task(fmt.Sprintf("%s.0.0.%d", job, i)), Number: 1})
	}
	return req
}

func place(pl *Planner, at int) (grants []GrantedRun, refusals []Refusal) {
	pl.Place(ms(at))
	for _, a := range pl.TakeActions() {
		switch {
		case a.Grant != nil:
			grants = append(grants, a.Grant.Items...)
		case a.Refusal != nil:
			refusals = append(refusals, *a.Refusal)
		}
	}
	return grants, refusals
}

// Guards against a planner that forgets a run: a task was granted two workers, and its process withdraws
// the grant that it does not use, while the run has not been reported yet.
func TestWithdrawalNamesTheWorker(t *testing.T) {
	tests := []struct {
		name string
		wd   func(unused GrantedRun) Withdrawal
		want int
	}{
		{"with the worker", func(u GrantedRun) Withdrawal {
			return Withdrawal{Job: "a", Runs: []lease.Run{u.Run}, Workers: []string{u.Worker}}
		}, 1},
		{"of a process of an earlier release", func(u GrantedRun) Withdrawal {
			return Withdrawal{Job: "a", Runs: []lease.Run{u.Run}}
		}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			pl := newPlannerWithHolders(t, 2, 2)
			req := newRequest("a", 1)
			req.MaxPerWorker = 1
			var granted []GrantedRun
			for range 2 {
				pl.Request(ms(700), memberID(1), req)
				g, _ := place(pl, 700)
				granted = append(granted, g...)
			}
			if len(granted) != 2 || granted[0].Worker == granted[1].Worker {
				t.Fatalf("granted %+v, want two workers", granted)
			}
			pl.Withdraw(tt.wd(granted[1]))
			next := newRequest("a", 3)
			next.Tasks, next.MaxPerWorker = next.Tasks[1:], 1
			pl.Request(ms(701), memberID(1), next)
			if g, _ := place(pl, 701); len(g) != tt.want {
				t.Errorf("granted %+v, want %d", g, tt.want)
			}
		})
	}
}

// Two grants are made before the holder has reported the first. If grants did not count
// as used, every worker would be granted twice, and half of the starts would be refused.
func TestGrantsCountAtOnce(t *testing.T) {
	pl := newPlannerWithHolders(t, 2, 2)
	pl.Request(ms(700), memberID(1), newRequest("a", 3))
	first, _ := place(pl, 700)
	pl.Request(ms(701), memberID(1), newRequest("b", 3))
	second, _ := place(pl, 701)
	if len(first) != 3 || len(second) != 1 {
		t.Errorf("%d and %d grants, want 3 and 1 on two workers with two slots each", len(first), len(second))
	}
	// The holder reports that one of them has ended already.
	w := first[0].Worker
	var left []lease.RunState
	for _, g := range append(first[1:], second...) {
		if g.Worker == w {
			left = append(left, lease.RunState{Run: g.Run, Resources: lease.Resources{CPU: 25}})
		}
	}
	pl.Report(ms(702), first[0].Holder, Report{States: []lease.State{{ID: w, Fence: lease.NewFence(9), Open: true, Runs: left, Ended: []lease.Run{first[0].Run}}}})
	third, _ := place(pl, 703)
	if len(third) != 1 || third[0].Worker != w {
		t.Errorf("grants %+v, want one on %s", third, w)
	}
}

// A process dies between a grant and its start. The granted resources must become free
// again.
func TestGrantIsForgotten(t *testing.T) {
	pl := newPlannerWithHolders(t, 2, 1)
	pl.Request(ms(700), memberID(1), newRequest("a", 2))
	place(pl, 700)
	waiting := newRequest("b", 1)
	waiting.Objective = time.Second
	pl.Request(ms(710), memberID(1), waiting)
	if g, _ := place(pl, 710); len(g) != 0 {
		t.Fatalf("grants %+v on a full worker", g)
	}
	pl.Tick(ms(700).Add(grantTimeout))
	if g, _ := place(pl, 700+int(grantTimeout.Milliseconds())); len(g) != 1 {
		t.Errorf("%d grants after the first has expired, want 1", len(g))
	}
}

// A job that can't meet its objective any more is refused at once, but not if a part of
// it runs: "not run" would be false.
func TestHopelessJobs(t *testing.T) {
	pl := newPlannerWithHolders(t, 2, 1)
	pl.Request(ms(700), memberID(1), newRequest("a", 2))
	place(pl, 700)
	pl.Request(ms(701), memberID(1), newRequest("b", 1))
	begun := newRequest("c", 1)
	begun.Begun = true
	pl.Request(ms(701), memberID(1), begun)
	if _, r := place(pl, 702); len(r) != 0 {
		t.Fatalf("refusals %+v while the objectives can be met", r)
	}
	pl.Tick(ms(950))
	_, r := place(pl, 950)
	if len(r) != 1 || r[0].Job != "b" || r[0].RetryAfter <= 0 {
		t.Errorf("refusals %+v, want b with a retry delay", r)
	}
}

// The fastest worker as of the last tick turns out to be slow. A job that the other
// workers can serve in time must not be refused because of that worker's factor.
func TestSpeedHasJustChanged(t *testing.T) {
	pl := newPlannerWithHolders(t, 2, 2)
	pl.Tick(ms(650))
	pl.Report(ms(660), pl.workers["w0"].holder, Report{States: []lease.State{{ID: "w0", Fence: lease.NewFence(9), Open: true, Speed: lease.Speed{Factor: 9, Ends: 20}}}})
	pl.Request(ms(661), memberID(1), newRequest("a", 1))
	grants, refusals := place(pl, 661)
	if len(grants) != 1 || len(refusals) != 0 {
		t.Errorf("grants %+v, refusals %+v; want one grant and no refusal", grants, refusals)
	}
}

func TestRequirements(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Request)
		want   int
	}{
		{"nothing", func(*Request) {}, 4},
		{"a kind that all have", func(req *Request) { req.Label = "a" }, 4},
		{"a rack", func(req *Request) { req.Label = "r1" }, 2},
		{"a label that none has", func(req *Request) { req.Label = "z" }, 0},
		{"one task per worker", func(req *Request) { req.MaxPerWorker = 1 }, 2},
		{"another pool", func(req *Request) { req.Pool = "other" }, 0},
		{"avoid one", func(req *Request) { req.Avoid = []string{"w0"} }, 2},
		{"more memory than one has", func(req *Request) { req.Resources.Memory = 101 }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			pl := newPlannerWithHolders(t, 2, 2)
			req := newRequest("a", 6)
			tt.change(&req)
			pl.Request(ms(700), memberID(1), req)
			if g, _ := place(pl, 700); len(g) != tt.want {
				t.Errorf("%d grants, want %d", len(g), tt.want)
			}
		})
	}
}

// BenchmarkPlace plans jobs of four tasks for 350 workers of 41 members, with as many
// ends of runs, as in a cell of today's largest size under peak load; and for 1,100
// workers.
func BenchmarkPlace(b *testing.B) {
	sizes := []struct{ members, workers, running int }{{41, 350, 600}, {147, 1100, 1500}}
	for _, n := range sizes {
		b.Run(fmt.Sprint(n.workers), func(b *testing.B) { benchmarkPlace(b, n.members, n.workers, n.running) })
	}
}

func benchmarkPlace(b *testing.B, n, workers, most int) {
	pl := newIdlePlanner(Policy{})
	pl.Begin(ms(0))
	pl.SetMembers(ms(0), members(n), members(n), true, false)
	l := WorkerList{Full: true}
	for i := range workers {
		l.Workers = append(l.Workers, ListedWorker{Worker: testWorker(i)})
	}
	pl.UpdateWorkers(ms(0), memberID(0), l)
	pl.Tick(ms(600))
	for _, a := range pl.TakeActions() {
		if a.Assignment != nil {
			w := a.Assignment.Worker
			pl.Report(ms(610), a.To, Report{States: []lease.State{{ID: w.ID, Worker: &w, Fence: lease.NewFence(9), Open: true}}})
		}
	}
	pl.Tick(ms(650))
	pl.TakeActions()
	var running []GrantedRun
	now := ms(700)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Millisecond)
		req := newRequest(fmt.Sprint(i), 4)
		req.Timeout, req.Objective = time.Hour, time.Hour
		pl.Request(now, memberID(i%n), req)
		pl.Place(now)
		for _, a := range pl.TakeActions() {
			if a.Grant != nil {
				running = append(running, a.Grant.Items...)
			}
		}
		for len(running) > most {
			g := running[0]
			running = running[1:]
			pl.Report(now, g.Holder, Report{States: []lease.State{{ID: g.Worker, Fence: lease.NewFence(9), Open: true, Ended: []lease.Run{g.Run}}}})
		}
	}
}

func reportBadEnds(pl *Planner, at int, id string, bad int) {
	pl.Report(ms(at), pl.workers[id].holder, Report{States: []lease.State{{ID: id, Fence: lease.NewFence(9), Open: true, Speed: lease.Speed{Factor: 1, Ends: 9, BadJobs: bad}}}})
}

// A worker fails all its tasks at once, so it always looks free and would be given more
// than any other. After the failures of two jobs it must get only probe tasks until one
// succeeds.
func TestFailingWorkerIsEjected(t *testing.T) {
	pl := newPlannerWithHolders(t, 2, 4)
	reportBadEnds(pl, 700, "w0", 2)
	grantsOnW0 := func(at, tasks int) (n int) {
		req := newRequest(fmt.Sprint("job", at), tasks)
		req.Objective = 10 * time.Second
		pl.Request(ms(at), memberID(1), req)
		grants, _ := place(pl, at)
		for _, g := range grants {
			if g.Worker == "w0" {
				n++
			}
		}
		pl.Withdraw(Withdrawal{Job: req.Job})
		return n
	}
	if n := grantsOnW0(710, 9); n != 0 {
		t.Errorf("%d tasks on an ejected worker, want 0", n)
	}
	if n := grantsOnW0(1250, 9); n != 1 {
		t.Errorf("%d probe tasks after half a second, want 1", n)
	}
	reportBadEnds(pl, 1260, "w0", 3)
	if n := grantsOnW0(1800, 9); n != 0 {
		t.Errorf("%d probe tasks before the doubled interval, want 0", n)
	}
	reportBadEnds(pl, 1810, "w0", 0)
	if n := grantsOnW0(1820, 9); n != 2 {
		t.Errorf("%d tasks after a probe has succeeded, want 2", n)
	}
}

// All workers fail, so the fault is not theirs. Ejecting them all would refuse jobs that
// could still be served.
func TestFewWorkersAreEjected(t *testing.T) {
	pl := newPlannerWithHolders(t, 2, 10)
	for i := range 10 {
		reportBadEnds(pl, 700, fmt.Sprintf("w%d", i), 5)
	}
	ejected := 0
	for _, w := range pl.workers {
		if w.ejected {
			ejected++
		}
	}
	if ejected != 3 {
		t.Errorf("%d of 10 workers are ejected, want 3", ejected)
	}
}

// Only a slow worker is free, on which a task would be late. The task waits for a fast
// worker while it could still be in time there; once it is late, it takes any worker.
func TestTasksWaitForAFasterWorker(t *testing.T) {
	pl := newPlannerWithHolders(t, 2, 2)
	fast := newRequest("fast", 2)
	reportSlow := func(at int) {
		pl.Report(ms(at), pl.workers["w1"].holder, Report{States: []lease.State{{ID: "w1", Fence: lease.NewFence(9), Open: true, Speed: lease.Speed{Factor: 5, Ends: 20}}}})
	}
	reportSlow(700)
	pl.Request(ms(700), memberID(1), fast)
	if g, _ := place(pl, 700); len(g) != 2 || g[0].Worker != "w0" {
		t.Fatalf("grants %+v, want two on the fast worker", g)
	}
	pl.Request(ms(710), memberID(1), newRequest("a", 1))
	if g, r := place(pl, 710); len(g) != 0 || len(r) != 0 {
		t.Errorf("grants %+v, refusals %+v; want the task to stay pending", g, r)
	}
	begun := newRequest("late", 1)
	begun.Begun, begun.Objective = true, 20*time.Millisecond
	pl.Request(ms(720), memberID(1), begun)
	if g, _ := place(pl, 720); len(g) != 1 || g[0].Worker != "w1" {
		t.Errorf("grants %+v, want the late task on the slow worker", g)
	}
}

// Many jobs prefer the rack of their data; on other racks their tasks take twice as long.
// A slower worker on the rack is better for them than the fastest one, a task must not
// wait for a full rack if it can be in time on another one, and must not be started there
// if it can't.
func TestTasksGoToTheirData(t *testing.T) {
	tests := []struct {
		name      string
		objective time.Duration
		tasks     int
		// near is how many tasks are placed on the rack, far how many on other racks.
		near, far int
	}{
		{"resources free on the rack", 300 * time.Millisecond, 2, 2, 0},
		{"rack full, time enough", 300 * time.Millisecond, 4, 2, 2},
		{"rack full, too late elsewhere", 180 * time.Millisecond, 4, 2, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			pl := newPlannerWithHolders(t, 2, 3)
			for _, w := range pl.workers {
				w.speed = lease.Speed{Factor: 1, Ends: 9}
				if w.Rack == "r1" {
					w.speed.Factor = 1.5
				}
			}
			pl.sortBySpeed()
			req := newRequest("a", tt.tasks)
			req.Rack, req.Objective = "r1", tt.objective
			pl.Request(ms(700), memberID(1), req)
			grants, _ := place(pl, 700)
			near, far := 0, 0
			for _, g := range grants {
				switch {
				case pl.workers[g.Worker].Rack == "r1" && g.Estimate == 0:
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
