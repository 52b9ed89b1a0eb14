package node

import (
	"slices"
	"testing"

	"snipehub.example/cell"
	"snipehub.example/entry"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// watchSet tracks which members a core watches.
type watchSet map[mesh.ID]bool

func (w watchSet) take(out []Output) []Output {
	for _, o := range out {
		if o.Watch != nil {
			w[o.Watch.Member] = o.Watch.On
		}
	}
	return out
}

func (w watchSet) want(t *testing.T, when string, members ...int) {
	t.Helper()
	for i := range 6 {
		id := member(i).ID
		if want := slices.Contains(members, i); w[id] != want {
			t.Errorf("%s: member %d is watched: %t, want %t", when, i, w[id], want)
		}
	}
}

// connectedCore returns the core of member n with sessions with others.
func connectedCore(n int, others ...int) *Core {
	c := newCore(n, others...)
	for _, o := range others {
		c.MemberUp(ms(1), member(o), 1)
	}
	return c
}

// The silence of a member is noticed within a second only while it is watched. A member
// must be watched while it owns runs here or holds runs of this process, or nobody would
// stop them in time; and no longer, or a cell of hundreds would do little but send
// heartbeats.
func TestOwnersAreWatched(t *testing.T) {
	w := watchSet{}
	c := connectedCore(2, 1, 3, 4)
	w.take(c.Take(ms(1)))
	w.want(t, "before anything is started", 1)
	c.Receive(ms(2), member(1).ID, 1, []Message{{Assignment: &cell.Assignment{Worker: testWorker()}}})
	for _, o := range w.take(c.Take(ms(2))) {
		if o.Hold != nil {
			c.HoldAnswered(ms(3), "w", *o.Hold, lease.Result{Verdict: lease.OK, Clock: 100, Incarnation: 1})
		}
	}
	run := entry.PlacedRun{Run: lease.Run{Task: "k.0.0.0", Number: 1}, Worker: "w"}
	c.Receive(ms(20), member(3).ID, 1, []Message{{Start: &entry.Start{Runs: []entry.PlacedRun{run}}}})
	w.take(c.Take(ms(20)))
	w.want(t, "a start has arrived", 1, 3)
	c.Tick(ms(5000))
	w.take(c.Take(ms(5000)))
	w.want(t, "the run is over", 1)
}

// All workers depend on the planner's messages, and the planner depends on each holder
// being alive.
func TestPlannerAndMembersWatchEachOther(t *testing.T) {
	w := watchSet{}
	c := connectedCore(1, 2, 3)
	w.take(c.Take(ms(1)))
	w.want(t, "this process plans", 2, 3)
}

// The VMs of a data centre are lost together, among them the planner's. The others must
// be noticed missing at the same time, not elected one after the other first.
func TestAllAreWatchedWhenThePlannerIsLate(t *testing.T) {
	w := watchSet{}
	c := connectedCore(4, 1, 2, 3)
	w.take(c.Take(ms(1)))
	w.want(t, "planner reachable", 1)
	c.MemberOverdue(ms(300), member(1).ID, 1, ms(50))
	w.take(c.Take(ms(300)))
	w.want(t, "planner's heartbeat overdue", 1, 2, 3)
	c.MemberRecovered(member(1).ID, 1)
	c.Tick(ms(300).Add(watchAllDuration))
	w.take(c.Take(ms(300).Add(watchAllDuration)))
	w.want(t, "planner heard from again", 1)
}

// A thousand workers get a holder when all processes start, and each is announced to all
// members. Workers without runs are announced together; otherwise the announcements would
// be most of what processes do in that second.
func TestFreshWorkersAreAnnouncedTogether(t *testing.T) {
	c := connectedCore(2, 1, 3)
	for i, id := range []string{"v", "w"} {
		x := testWorker()
		x.ID = id
		c.Receive(ms(2), member(1).ID, 1, []Message{{Assignment: &cell.Assignment{Worker: x}}})
		for _, o := range c.Take(ms(2)) {
			if o.Hold != nil {
				c.HoldAnswered(ms(3+i), id, *o.Hold, lease.Result{Verdict: lease.OK, Clock: 100, Incarnation: 1})
			}
		}
	}
	if got := messagesTo(c.Take(ms(5)), member(3).ID); len(got) != 0 {
		t.Errorf("announced before the next tick: %+v", got)
	}
	c.Tick(ms(10))
	if got := messagesTo(c.Take(ms(10)), member(3).ID); len(got) != 2 || got[0].Held == nil || got[1].Held == nil {
		t.Errorf("announced %+v, want both workers", got)
	}
}
