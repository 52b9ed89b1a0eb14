package node

import (
	"slices"
	"testing"

	"snipehub.example/cell"
	"snipehub.example/entry"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// watching follows which members a core watches.
type watching map[mesh.ID]bool

func (w watching) take(out []Output) []Output {
	for _, o := range out {
		if o.Watch != nil {
			w[o.Watch.Member] = o.Watch.On
		}
	}
	return out
}

func (w watching) want(t *testing.T, when string, members ...int) {
	t.Helper()
	for i := range 6 {
		id := member(i).ID
		if want := slices.Contains(members, i); w[id] != want {
			t.Errorf("%s: member %d is watched: %t, want %t", when, i, w[id], want)
		}
	}
}

// inCell is the core of member n with sessions with others.
func inCell(n int, others ...int) *Core {
	c := newCore(n, others...)
	for _, o := range others {
		c.MemberUp(ms(1), member(o), 1)
	}
	return c
}

// The silence of a member is noticed within a second only while it is watched. It must be
// while one of the two has a run of the other one, or nobody would stop it in time; and
// not for longer, or a cell of hundreds does little but beat.
func TestOwnersAreWatched(t *testing.T) {
	w := watching{}
	c := inCell(2, 1, 3, 4)
	w.take(c.Take(ms(1)))
	w.want(t, "before anything is started", 1)
	c.Receive(ms(2), member(1).ID, 1, []Mail{{Duty: &cell.Duty{Worker: testWorker()}}})
	for _, o := range w.take(c.Take(ms(2))) {
		if o.Hold != nil {
			c.Held(ms(3), "w", *o.Hold, lease.Result{Verdict: lease.OK, Clock: 100, Born: 1})
		}
	}
	run := entry.Placed{Run: lease.Run{Task: "k.0.0.0", Number: 1}, Worker: "w"}
	c.Receive(ms(20), member(3).ID, 1, []Mail{{Start: &entry.Start{Runs: []entry.Placed{run}}}})
	w.take(c.Take(ms(20)))
	w.want(t, "a start has arrived", 1, 3)
	c.Tick(ms(5000))
	w.take(c.Take(ms(5000)))
	w.want(t, "the run is over", 1)
}

// All workers hang on the planner's word, and the planner's on each holder's life.
func TestPlannerAndMembersWatchEachOther(t *testing.T) {
	w := watching{}
	c := inCell(1, 2, 3)
	w.take(c.Take(ms(1)))
	w.want(t, "this process plans", 2, 3)
}

// The VMs of a data centre are lost together, the planner's among them. The others must be
// missed with it, not elected one after the other first.
func TestAllAreWatchedWhenThePlannerIsLate(t *testing.T) {
	w := watching{}
	c := inCell(4, 1, 2, 3)
	w.take(c.Take(ms(1)))
	w.want(t, "planner in sight", 1)
	c.MemberQuiet(ms(300), member(1).ID, 1, ms(50))
	w.take(c.Take(ms(300)))
	w.want(t, "planner late", 1, 2, 3)
	c.MemberBack(member(1).ID, 1)
	c.Tick(ms(300).Add(alarmFor))
	w.take(c.Take(ms(300).Add(alarmFor)))
	w.want(t, "planner back", 1)
}

// A thousand workers get a holder when all processes start, and each is announced to all
// members. Those with nothing on them are announced together, or the announcements are
// most of what processes do in that second.
func TestFreshWorkersAreAnnouncedTogether(t *testing.T) {
	c := inCell(2, 1, 3)
	for i, id := range []string{"v", "w"} {
		x := testWorker()
		x.ID = id
		c.Receive(ms(2), member(1).ID, 1, []Mail{{Duty: &cell.Duty{Worker: x}}})
		for _, o := range c.Take(ms(2)) {
			if o.Hold != nil {
				c.Held(ms(3+i), id, *o.Hold, lease.Result{Verdict: lease.OK, Clock: 100, Born: 1})
			}
		}
	}
	if got := mail(c.Take(ms(5)), member(3).ID); len(got) != 0 {
		t.Errorf("told at once: %+v", got)
	}
	c.Tick(ms(10))
	if got := mail(c.Take(ms(10)), member(3).ID); len(got) != 2 || got[0].Held == nil || got[1].Held == nil {
		t.Errorf("told %+v, want both workers", got)
	}
}
