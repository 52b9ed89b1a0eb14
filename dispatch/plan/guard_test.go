package plan

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"snipehub.example/delivery"
	"snipehub.example/refusal"
	"snipehub.example/tables"
)

// busyPlanner returns a planner that has learned a service time of 100 ms and a rate of
// 40 tasks a second, and that has the given number of waiting tasks of caller "x".
func busyPlanner(t *testing.T, waiting int) (*Planner, time.Time) {
	t.Helper()
	p := planner(config("share"), state(t, 1, 4))
	now := epoch
	var a Actions
	submit := func(id string, n int) {
		j := Job{ID: id, Kind: "price", Caller: "x", Team: "x", Tasks: n, Expires: now.Add(time.Hour)}
		if err := p.Submit(now, j); err != nil {
			t.Fatal(err)
		}
	}
	submit("warm", 130)
	for now.Before(epoch.Add(3 * time.Second)) {
		p.Tick(now)
		p.Decide(now, &a)
		starts := append([]Start(nil), a.Starts...)
		now = now.Add(100 * time.Millisecond)
		for _, s := range starts {
			p.AttemptEnded(now, s.AttemptID, delivery.Outcome{Kind: delivery.Done})
		}
	}
	p.Decide(now, &a)
	submit("backlog", waiting)
	return p, now
}

// Work that cannot be done, or not in time, is refused on submission rather than at its
// deadline, while the caller can still send it to another dispatcher. Each refusal is a
// true "not run".
func TestRefusals(t *testing.T) {
	hour := time.Hour
	tests := []struct {
		name    string
		waiting int
		set     func(p *Planner, now time.Time)
		job     Job
		left    time.Duration
		want    refusal.Code
	}{
		{"accepted", 10, nil, Job{Kind: "price", Tasks: 1}, hour, ""},
		{"no route", 10, nil, Job{Kind: "none", Tasks: 1}, hour, refusal.NoRoute},
		{"no tasks", 10, nil, Job{Kind: "price"}, hour, refusal.BadRequest},
		{"no server", 10, func(p *Planner, now time.Time) { p.SetCluster(now, clusterState(state(t, 0, 1))) }, Job{Kind: "price", Tasks: 1}, hour, refusal.NoServer},
		{"cut off", 10, func(p *Planner, _ time.Time) { p.SetMayPlace(false) }, Job{Kind: "price", Tasks: 1}, hour, refusal.CutOff},
		{"time over", 10, nil, Job{Kind: "price", Tasks: 1}, 0, refusal.Hopeless},
		{"shorter than a task", 10, nil, Job{Kind: "price", Tasks: 1}, 20 * time.Millisecond, refusal.Hopeless},
		{"more tasks than fit", 10, nil, Job{Kind: "price", Tasks: 1300}, 10 * time.Second, refusal.Hopeless},
		{"longest wait", 500, nil, Job{Kind: "price", Tasks: 1}, hour, refusal.Overloaded},
		{"deadline behind the queue", 200, nil, Job{Kind: "price", Tasks: 1}, 2 * time.Second, refusal.Overloaded},
		{"another caller's backlog", 500, nil, Job{Kind: "price", Caller: "y", Tasks: 1}, 2 * time.Second, ""},
		{"quota", 300, func(p *Planner, _ time.Time) { p.teams["x"].quotaShare = 2 }, Job{Kind: "price", Tasks: 1}, hour, refusal.OverQuota},
		{"within the quota", 10, func(p *Planner, _ time.Time) { p.teams["x"].quotaShare = 2 }, Job{Kind: "price", Tasks: 1}, hour, ""},
		{"too many tasks", 10, func(p *Planner, _ time.Time) { p.cfg.QueuedTasks = 20 }, Job{Kind: "price", Tasks: 30}, hour, refusal.Overloaded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, now := busyPlanner(t, tt.waiting)
			if tt.set != nil {
				tt.set(p, now)
			}
			j := tt.job
			j.ID = "new"
			if j.Caller == "" {
				j.Caller = "x"
			}
			j.Team = j.Caller
			j.Expires = now.Add(tt.left)
			err := p.Submit(now, j)
			var r *refusal.Refusal
			code := refusal.Code("")
			if errors.As(err, &r) {
				code = r.Code
			}
			if code != tt.want {
				t.Fatalf("%v, want %q", err, tt.want)
			}
			if r != nil && (r.Ran != refusal.RanNo || r.Code == refusal.Overloaded && r.RetryAfterMS == 0) {
				t.Errorf("ran %s, retry after %d ms", r.Ran, r.RetryAfterMS)
			}
		})
	}
}

// startsOf counts the first n starts by the name that it derives from the job, and ends
// each of them at once.
func startsOf(p *Planner, n int, name func(job string) string) map[string]int {
	out := make(map[string]int)
	now := epoch
	var a Actions
	for started := 0; started < n; {
		p.Decide(now, &a)
		now = now.Add(10 * time.Millisecond)
		for _, s := range append([]Start(nil), a.Starts...) {
			started++
			out[name(s.Job)]++
			p.AttemptEnded(now, s.AttemptID, delivery.Outcome{Kind: delivery.Done})
		}
	}
	return out
}

// Two teams fill the queue. The one with a third of the weight has fifty times as many
// tasks. Without weighted shares it would get more starts, and the other team's callers
// would wait behind its backlog.
func TestWeightedShare(t *testing.T) {
	p := planner(config("share"), state(t, 1, 1, tables.Team{Name: "red", Weight: 3}, tables.Team{Name: "blue", Weight: 1}))
	for i := range 50 {
		_ = p.Submit(epoch, Job{ID: fmt.Sprint("blue", i), Kind: "price", Caller: "b", Team: "blue", Tasks: 1000, Expires: epoch.Add(time.Hour)})
	}
	_ = p.Submit(epoch, Job{ID: "red", Kind: "price", Caller: "r", Team: "red", Tasks: 1000, Expires: epoch.Add(time.Hour)})
	got := startsOf(p, 400, func(job string) string { return job[:3] })
	if n := got["red"]; n < 295 || n > 305 {
		t.Errorf("%d of 400 starts for three quarters of the weight", n)
	}
}

// A caller submits a single task after its job of 1,300 tasks and must not wait for that
// job. A stream of single tasks, on the other hand, must not delay the large job for
// ever.
func TestSmallBeforeLarge(t *testing.T) {
	p := planner(config("share"), state(t, 1, 1))
	_ = p.Submit(epoch, Job{ID: "large", Kind: "price", Caller: "x", Tasks: 1300, Expires: epoch.Add(time.Hour)})
	_ = p.Submit(epoch.Add(time.Second), Job{ID: "small", Kind: "price", Caller: "x", Tasks: 1, Expires: epoch.Add(time.Hour)})
	if got := startsOf(p, 1, func(job string) string { return job }); got["small"] != 1 {
		t.Errorf("first start: %v", got)
	}
	late := epoch.Add(20 * time.Second)
	_ = p.Submit(late, Job{ID: "late", Kind: "price", Caller: "x", Tasks: 1, Expires: late.Add(time.Hour)})
	if got := startsOf(p, 1, func(job string) string { return job }); got["large"] != 1 {
		t.Errorf("a job that arrived 20 s later goes first: %v", got)
	}
}

// A team has a quota for the whole system, which two dispatchers serve. Each keeps to its
// share without asking the other.
func TestQuota(t *testing.T) {
	p := planner(config("share"), state(t, 4, 4, tables.Team{Name: "red", Quota: 6}))
	w := p.cluster
	w.Dispatchers = 2
	p.SetCluster(epoch, w)
	_ = p.Submit(epoch, Job{ID: "red", Kind: "price", Caller: "r", Team: "red", Tasks: 20, Expires: epoch.Add(time.Hour)})
	var a Actions
	p.Decide(epoch, &a)
	if len(a.Starts) != 3 {
		t.Fatalf("%d tasks at once, want 3", len(a.Starts))
	}
	p.AttemptEnded(epoch, a.Starts[0].AttemptID, delivery.Outcome{Kind: delivery.Done})
	p.Decide(epoch, &a)
	if len(a.Starts) != 1 {
		t.Errorf("%d starts after one end, want 1", len(a.Starts))
	}
}

// Two large jobs hold the two job slots. Another large job waits for a slot; a job of one
// task does not, because it is never partly started.
func TestJobSlots(t *testing.T) {
	cfg := config("share")
	cfg.JobSlots = 2
	p := planner(cfg, state(t, 1, 1))
	name := func(job string) string { return job }
	for _, id := range []string{"a", "b", "c"} {
		_ = p.Submit(epoch, Job{ID: id, Kind: "price", Caller: id, Tasks: 100, Expires: epoch.Add(time.Hour)})
	}
	if got := startsOf(p, 50, name); len(got) != 2 {
		t.Errorf("starts %v", got)
	}
	_ = p.Submit(epoch, Job{ID: "d", Kind: "price", Caller: "d", Tasks: 1, Expires: epoch.Add(time.Hour)})
	if got := startsOf(p, 50, name); got["d"] != 1 {
		t.Errorf("starts %v, none of the single task", got)
	}
}

// Callers cancel 100,000 waiting jobs at once. None of them starts, all end as not run,
// and other jobs go on.
func TestCancellationWave(t *testing.T) {
	const n = 100_000
	p := planner(config("share"), state(t, 1, 1))
	for i := range n {
		_ = p.Submit(epoch, Job{ID: fmt.Sprint("wave", i), Kind: "price", Caller: "x", Tasks: 1, Expires: epoch.Add(time.Hour)})
	}
	_ = p.Submit(epoch, Job{ID: "other", Kind: "price", Caller: "x", Tasks: 5, Expires: epoch.Add(time.Hour)})
	for i := range n {
		p.Cancel(fmt.Sprint("wave", i))
	}
	var a Actions
	p.Decide(epoch, &a)
	if len(a.Ends) != n || p.Waiting() != 4 || len(a.Starts) != 1 || a.Starts[0].Job != "other" {
		t.Errorf("%d ends, %d waiting, starts %v", len(a.Ends), p.Waiting(), a.Starts)
	}
}

// A task reaches the head of the queue when its deadline is nearer than its service time.
// If it were started, it would use a slot for a result that nobody waits for.
func TestTooLate(t *testing.T) {
	p, now := busyPlanner(t, 4)
	var a Actions
	p.Decide(now, &a)
	if err := p.Submit(now, Job{ID: "late", Kind: "price", Caller: "y", Team: "y", Tasks: 1, Expires: now.Add(300 * time.Millisecond)}); err != nil {
		t.Fatal(err)
	}
	now = now.Add(280 * time.Millisecond)
	for _, s := range a.Starts {
		p.AttemptEnded(now, s.AttemptID, delivery.Outcome{Kind: delivery.Done})
	}
	p.Decide(now, &a)
	ends := slices.ContainsFunc(a.Ends, func(e End) bool { return e.Job == "late" && e.Ran == refusal.RanNo })
	if len(a.Starts) > 0 || !ends {
		t.Errorf("starts %v, ends %v", a.Starts, a.Ends)
	}
}

// A pool was slow while tasks waited and has recovered. The rate learned then must not
// keep work out: refused tasks do not wait, and the rate is only updated while tasks
// wait.
func TestOldRateIsForgotten(t *testing.T) {
	p, now := busyPlanner(t, 1)
	p.poolQueue("quick").drainRate.perSecond = 0.1
	var a Actions
	for len(p.activeAttempts) > 0 {
		for n := range p.activeAttempts {
			p.AttemptEnded(now, n, delivery.Outcome{Kind: delivery.Done})
		}
		p.Decide(now, &a)
	}
	for range 20 {
		now = now.Add(time.Second)
		p.Tick(now)
	}
	j := Job{ID: "new", Kind: "price", Caller: "x", Team: "x", Tasks: 100, Expires: now.Add(20 * time.Second)}
	if err := p.Submit(now, j); err != nil {
		t.Error(err)
	}
}

// All servers of a pool are in another data centre. A dispatcher does not call them
// itself, but a peer there can. Without such a peer the job would only wait for its
// deadline, so it is refused.
func TestForeignPool(t *testing.T) {
	st := state(t, 2, 4)
	cfg := config("hand")
	cfg.DataCenter = "dc2"
	p := planner(cfg, st)
	j := Job{ID: "j", Kind: "price", Caller: "x", Tasks: 3, Expires: epoch.Add(time.Minute)}
	var r *refusal.Refusal
	if err := p.Submit(epoch, j); !errors.As(err, &r) || r.Code != refusal.NoServer {
		t.Fatalf("without a peer: %v", err)
	}
	p.SetPeers([]Peer{{Name: "far", DataCenter: "dc1", Report: 1, Free: 8}, {Name: "near", DataCenter: "dc2", Report: 1, Free: 8}})
	if err := p.Submit(epoch, j); err != nil {
		t.Fatal(err)
	}
	var a Actions
	p.Decide(epoch, &a)
	if len(a.Starts) > 0 || len(a.Handovers) != 1 || a.Handovers[0].Peer != "far" || len(a.Handovers[0].Items) != 3 {
		t.Errorf("starts %v, handovers %v", a.Starts, a.Handovers)
	}
}

// A task is accepted from a peer, and then the last server leaves. The task waits or ends
// here. If it were handed over again, it could circulate between dispatchers, each of
// which believes that another one has it.
func TestPeerTaskIsNotHandedOn(t *testing.T) {
	st := state(t, 1, 1)
	p := planner(config("hand"), st)
	j := Job{ID: "guest", Kind: "price", Caller: "x", FromPeer: true, Tasks: 1, Expires: epoch.Add(time.Minute)}
	if err := p.Submit(epoch, j); err != nil {
		t.Fatal(err)
	}
	w := clusterState(st)
	w.Usable = func(netip.AddrPort) bool { return false }
	p.SetCluster(epoch, w)
	p.SetPeers([]Peer{{Name: "b", DataCenter: "dc1", Report: 1, Free: 8}})
	var a Actions
	p.Decide(epoch, &a)
	if len(a.Starts)+len(a.Handovers)+len(a.Ends) > 0 {
		t.Errorf("starts %v, handovers %v, ends %v", a.Starts, a.Handovers, a.Ends)
	}
}
