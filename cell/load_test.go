package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"snipehub.example/lease"
)

// crowded returns a planner of 350 workers of three speeds, all full, with n pending jobs
// of four tasks: the size to which the users' deployments grow, and what is pending half
// a second after a burst while a quarter of the workers is slow.
func crowded(tb testing.TB, seed uint64, n int) *Planner {
	rnd := rand.New(rand.NewPCG(seed, 1))
	pl := crowdedWorkers(tb, rnd)
	for i := range n {
		req := newRequest(fmt.Sprintf("j%04d", i), 4)
		req.Rank = rnd.IntN(3)
		req.Estimate = time.Duration(60+rnd.IntN(900)) * time.Millisecond
		req.Objective = req.Estimate*16/10 + time.Duration(60+rnd.IntN(2000))*time.Millisecond
		pl.Request(ms(700), memberID(1), req)
	}
	return pl
}

func crowdedWorkers(tb testing.TB, rnd *rand.Rand) *Planner {
	tb.Helper()
	pl := newPlannerWithHolders(tb, 4, 350)
	for i, w := range pl.sortedWorkers() {
		w.speed = lease.Speed{Factor: []float64{0.6, 1, 1.7}[i%3] * (0.99 + 0.02*rnd.Float64()), Ends: 9}
		for k := range 2 {
			r := lease.Run{Task: lease.Task(fmt.Sprintf("running%d.0.0.%d", i, k)), Number: 1}
			w.addRun(r, activeRun{resources: lease.Resources{CPU: 25}, startedAt: ms(600), estimate: time.Duration(50+rnd.IntN(900)) * time.Millisecond})
		}
	}
	pl.sortBySpeed()
	pl.TakeActions()
	return pl
}

// queueSlots returns the groups of slots for a queue of requests that all need the same.
func queueSlots(pl *Planner, queue []*pendingRequest) []*slots {
	return pl.slots(ms(700), queue)[demandOf(queue[0])]
}

// Many more tasks are requested than can be served. The planner compared each pending
// task with each slot of each worker and fell behind, so that yet more requests became
// pending and the look-ahead took all of its processor time: in a deployment of 350
// workers the jobs that were served made up only an eighth of the value of all, until
// seconds after the burst. A task must be compared with a few groups of slots only.
func TestLookAheadUsesFewSlotGroups(t *testing.T) {
	pl := crowded(t, 1, 400)
	groups := queueSlots(pl, pl.requestQueue.pending)
	slotCount := 0
	for _, g := range groups {
		for _, s := range g.heap {
			slotCount += s.n
		}
	}
	if slotCount != 700 || len(groups) > 6 {
		t.Errorf("%d slots in %d groups, want 700 in at most 6", slotCount, len(groups))
	}
}

// The look-ahead by groups of slots must refuse the same jobs as a plain search that
// compares all slots.
func TestLookAheadMatchesPlainSearch(t *testing.T) {
	for seed := range uint64(5) {
		pl := crowded(t, seed, 200)
		for _, w := range pl.workers {
			w.speed.Factor = []float64{0.6, 1, 1.7}[w.Resources.CPU%3]
		}
		queue := slices.Clone(pl.requestQueue.pending)
		want := plainLookAhead(pl, queue)
		groups := queueSlots(pl, queue)
		for i, p := range queue {
			if got := pl.scheduleInTime(p, groups); got != want[i] {
				t.Errorf("seed %d: job %s fits %v, want %v", seed, p.job, got, want[i])
			}
		}
	}
}

func plainLookAhead(pl *Planner, queue []*pendingRequest) (fits []bool) {
	type slot struct {
		free   time.Time
		factor float64
	}
	var slots []slot
	for _, w := range pl.bySpeed {
		for _, active := range w.runs {
			slots = append(slots, slot{active.end(ms(700), pl.factor(w)), pl.factor(w)})
		}
	}
	for _, p := range queue {
		trial := slices.Clone(slots)
		ok := true
		for range p.Tasks {
			best, end := -1, time.Time{}
			for i, s := range trial {
				if e := s.free.Add(scaled(p.Estimate, s.factor)); best < 0 || e.Before(end) {
					best, end = i, e
				}
			}
			ok = ok && !end.After(p.objective)
			trial[best].free = end
		}
		fits = append(fits, ok)
		if ok {
			slots = trial
		}
	}
	return fits
}

// The queue must be in the same order as if it were sorted anew, whichever requests are
// added, changed and removed.
func TestRequestQueueStaysInOrder(t *testing.T) {
	for _, order := range []Order{ByRank, ByObjective, ByWork, ByRankWork} {
		rnd := rand.New(rand.NewPCG(uint64(order), 2))
		q := requestQueue{order: order}
		for i := range 2000 {
			switch n := len(q.pending); {
			case n == 0 || rnd.IntN(3) == 0:
				p := &pendingRequest{stepKey: stepKey{job: fmt.Sprint(i)}, objective: ms(rnd.IntN(5))}
				p.Rank, p.Tasks = rnd.IntN(3), make([]lease.Run, 1+rnd.IntN(4))
				q.add(p)
			case rnd.IntN(2) == 0:
				q.remove(q.pending[rnd.IntN(n)])
			default:
				p := q.pending[rnd.IntN(n)]
				q.change(p, func() { p.Begun, p.Tasks = !p.Begun, p.Tasks[1:] })
				if len(p.Tasks) == 0 {
					q.remove(p)
				}
			}
			if !slices.IsSortedFunc(q.pending, order.compare) {
				t.Fatalf("order %d: not sorted after step %d", order, i)
			}
		}
	}
}

// BenchmarkCrowded measures one Place while all workers are full.
func BenchmarkCrowded(b *testing.B) {
	for _, n := range []int{10, 100, 400, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			pl := crowded(b, 1, n)
			pl.policy.Margin = 1000
			at := 700
			for b.Loop() {
				at += 10
				pl.needsPlanning = true
				for _, p := range pl.pending {
					p.objective = ms(at + 5000)
				}
				pl.Place(ms(at))
			}
		})
	}
}

// BenchmarkIdleTick measures a tick with nothing to do.
func BenchmarkIdleTick(b *testing.B) {
	pl := crowded(b, 1, 0)
	at := 6000
	for b.Loop() {
		at += 50
		pl.Tick(ms(at))
	}
}

// Every job prefers the same rack. Its workers are soon full, and on other racks a task
// takes twice as long: a job that would be late there must be refused at once instead of
// waiting for the rack.
func TestLookAheadKnowsRacks(t *testing.T) {
	pl := crowded(t, 1, 0)
	for i := range 300 {
		req := newRequest(fmt.Sprintf("r%04d", i), 2)
		req.Rack, req.Estimate, req.Objective = "r1", 500*time.Millisecond, 1000*time.Millisecond
		pl.Request(ms(700), memberID(1), req)
	}
	groups := queueSlots(pl, pl.requestQueue.pending)
	fit := 0
	for _, p := range slices.Clone(pl.requestQueue.pending) {
		if pl.scheduleInTime(p, groups) {
			fit++
		}
	}
	plain := 0
	for _, g := range queueSlots(pl, pl.requestQueue.pending) {
		for _, s := range g.heap {
			f := g.factor
			if g.rack != "r1" {
				f *= 2
			}
			if !s.freeAt.Add(scaled(500*time.Millisecond, f)).After(ms(1700)) {
				plain += s.n
			}
		}
	}
	if fit == 0 || fit > plain {
		t.Errorf("%d jobs of two tasks fit, and %d slots are free in time", fit, plain)
	}
}

// A burst is refused. When all its callers were told the same second, they retried
// together as the next burst, and in vain while the pending work took several seconds.
// They must be told when there will be free resources, spread over a second.
func TestRefusedCallersComeBackSpread(t *testing.T) {
	refusals := func(work time.Duration) (after []time.Duration) {
		pl := crowded(t, 1, 0)
		for i := range 600 {
			req := newRequest(fmt.Sprintf("j%04d", i), 4)
			req.Estimate, req.Objective = work, 2*work+200*time.Millisecond
			pl.Request(ms(700), memberID(1), req)
		}
		_, refused := place(pl, 700)
		for _, r := range refused {
			after = append(after, r.RetryAfter)
		}
		return after
	}
	for _, tt := range []struct {
		work        time.Duration
		least, most time.Duration
	}{
		{100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second},
		{3 * time.Second, 500 * time.Millisecond, 9 * time.Second},
	} {
		after := refusals(tt.work)
		if len(after) < 50 {
			t.Fatalf("%v of work: %d refusals, want at least 50", tt.work, len(after))
		}
		early, late := slices.Min(after), slices.Max(after)
		if early < tt.least || late > tt.most || late-early < max(900*time.Millisecond, tt.work) {
			t.Errorf("%v of work: callers retry after %v to %v; want within %v to %v, spread over a second", tt.work, early, late, tt.least, tt.most)
		}
	}
}
