package cell

import (
	"fmt"
	"testing"
	"time"

	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// A job of eight tasks arrives while workers of twelve holders are free and equally fast.
// Each holder needs the job's text; with the tasks on eight holders, the texts alone kept
// a slow link busy for longer than the tasks took.
func TestTasksOfAJobAreOnFewHolders(t *testing.T) {
	for _, c := range []struct {
		fewHolders Choice
		holders    int
	}{{On, 4}, {Off, 8}} {
		pl := newPlanner(t, 12, 48)
		pl.policy.FewHolders = c.fewHolders
		pl.Tick(ms(600))
		for _, a := range pl.TakeActions() {
			if a.Assignment != nil {
				w := a.Assignment.Worker
				pl.Report(ms(610), a.To, Report{States: []lease.State{{ID: w.ID, Worker: &w, Fence: lease.NewFence(9), Open: true}}})
			}
		}
		req := newRequest("a", 8)
		req.Resources = lease.Resources{CPU: 60}
		pl.Request(ms(700), memberID(3), req)
		grants, _ := place(pl, 700)
		on := make(map[mesh.ID]int)
		for _, g := range grants {
			on[g.Holder]++
		}
		if len(grants) != 8 || len(on) > c.holders && c.fewHolders == On || len(on) <= 4 && c.fewHolders == Off {
			t.Errorf("FewHolders %v: %d tasks on %d holders, want %d", c.fewHolders, len(grants), len(on), c.holders)
		}
		if c.fewHolders == On && on[memberID(3)] == 0 {
			t.Error("no task on the owner, which has the text already")
		}
	}
}

// A new planner does not know what a worker runs and grants resources that are in use.
// The holder refuses the task. It must report the worker's runs with that: otherwise the
// planner granted the same resources again, five hundred times a second.
func TestRefusedTaskUpdatesFreeResources(t *testing.T) {
	now := func(at int) time.Time { return ms(at) }
	wl := lease.NewWorkerLease(now(0), testWorker(0), lease.NewFence(9), 0, lease.Speed{}, &lease.PoolStats{})
	hold := wl.TakeActions()[0].Hold
	wl.HoldAnswered(now(1), *hold, lease.Result{Verdict: lease.OK, Clock: 1000, Incarnation: 1})
	wl.State(now(1))
	for i := range 2 {
		r := lease.Run{Task: lease.Task(fmt.Sprintf("old.0.0.%d", i)), Number: 1}
		wl.Start(now(595), memberID(1), lease.Order{Claim: lease.Claim{Run: r, Resources: lease.Resources{CPU: 30}}, Text: lease.NewText(r.Job(), "")})
	}
	pl := newPlanner(t, 1, 1)
	pl.Report(ms(601), memberID(0), Report{States: []lease.State{{ID: "w0", Fence: wl.Fence(), Open: true}}})
	granted := 0
	for at := 602; at < 640; at += 2 {
		req := newRequest(fmt.Sprint("job", at), 1)
		pl.Request(ms(at), memberID(0), req)
		grants, _ := place(pl, at)
		for _, g := range grants {
			granted++
			wl.Start(now(at), memberID(0), lease.Order{Claim: lease.Claim{Run: g.Run, Resources: req.Resources}, Text: lease.NewText(g.Job(), "")})
		}
		if s, ok := wl.Changed(now(at)); ok {
			pl.Report(ms(at+1), memberID(0), Report{States: []lease.State{s}})
		}
	}
	if granted != 1 {
		t.Errorf("granted %d times, want once", granted)
	}
}
