package node

import (
	"testing"

	"snipehub.example/cell"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// newTwoDataCenterCore returns the core of member 0 of n processes in two data centres,
// the even ones in one and the odd ones in the other, with sessions to all, and the other
// members.
func newTwoDataCenterCore(n int) (*Core, []mesh.Member) {
	var known []int
	for i := 1; i < n; i++ {
		known = append(known, i)
	}
	c := newCore(0, known...)
	c.Advertise(ms(1), func(m *mesh.Member) { m.Number, m.DataCenter = uint64(n), "even" })
	var all []mesh.Member
	for i := 1; i < n; i++ {
		m := member(i)
		m.DataCenter = []string{"even", "odd"}[i%2]
		c.MemberUp(ms(2), m, 1)
		all = append(all, m)
	}
	c.Take(ms(3))
	return c, all
}

// A single planner for hundreds of processes falls behind, and every start crosses data
// centres, whose links fail. Above a certain size each data centre has its own planner.
func TestLargeDeploymentsHaveACellADataCenter(t *testing.T) {
	tests := []struct {
		name      string
		processes int
		planner   int
	}{
		{"small", 40, 1},
		{"below", splitThreshold - 1, 1},
		{"large", splitThreshold, 2},
	}
	for _, tt := range tests {
		c, all := newTwoDataCenterCore(tt.processes)
		if got, want := c.Planner(), all[tt.planner-1].ID; got != want {
			t.Errorf("%s: planner is %s, want %s", tt.name, got, want)
		}
	}
}

// A few processes leave and come back. If the cells changed each time, all pending tasks
// would have to be requested again.
func TestCellsStayAsProcessesComeAndGo(t *testing.T) {
	c, all := newTwoDataCenterCore(splitThreshold)
	c.SetRecorded(ms(5), nil, true)
	for _, m := range all[mergeThreshold:] {
		c.MemberDown(ms(10), m.ID, 1, ms(9))
	}
	if got, want := c.Planner(), all[1].ID; got != want {
		t.Errorf("planner is %s, want %s", got, want)
	}
	for _, m := range all[mergeThreshold-2 : mergeThreshold] {
		c.MemberDown(ms(11), m.ID, 1, ms(9))
	}
	if got, want := c.Planner(), all[0].ID; got != want {
		t.Errorf("fewer than %d reachable: planner is %s, want %s", mergeThreshold, got, want)
	}
}

// The platform lists all workers. If a planner assigned those of another cell, two
// holders would take them from each other in turn.
func TestPlannerTakesItsOwnCellsWorkersOnly(t *testing.T) {
	c, _ := newTwoDataCenterCore(splitThreshold)
	c.Advertise(ms(5), func(m *mesh.Member) { m.Cores = 9 })
	if !c.IsPlanner() {
		t.Fatal("this process is not the planner")
	}
	var l cell.WorkerList
	for i, dc := range []string{"even", "odd"} {
		w := testWorker()
		w.ID, w.DataCenter = []string{"x", "y"}[i], dc
		l.Workers = append(l.Workers, cell.ListedWorker{Worker: w})
	}
	listed(c, ms(6), l)
	c.Tick(ms(3000))
	for _, o := range c.Take(ms(3000)) {
		if o.Message != nil && o.Message.Assignment != nil && o.Message.Assignment.Worker.ID != "x" {
			t.Errorf("worker %s is assigned to %s", o.Message.Assignment.Worker.ID, o.To)
		}
	}
	if v := c.Status(ms(3001)).Cell; v == nil || len(v.Holders) != 1 || v.Holders[0].Worker != "x" {
		t.Errorf("knows %+v, want worker x", v)
	}
}

// A process of another cell asks this planner after its own planner has refused.
func TestOtherCellsAreServed(t *testing.T) {
	c, all := newTwoDataCenterCore(splitThreshold)
	c.Advertise(ms(5), func(m *mesh.Member) { m.Cores = 9 })
	other := all[0]
	w := testWorker()
	w.DataCenter = "even"
	state := lease.State{ID: w.ID, Worker: &w, Fence: lease.NewFence(1), Open: true}
	c.Receive(ms(6), all[1].ID, 1, []Message{{Report: &cell.Report{Full: true, States: []lease.State{state}}}})
	req := cell.Request{Job: "j", Pool: w.Pool, Resources: lease.Resources{CPU: 1}, Estimate: 1e6, Objective: 1e9, Timeout: 1e9, Tasks: []lease.Run{{Task: "j.0.0.0", Number: 1}}}
	c.Receive(ms(7), other.ID, 1, []Message{{Request: &req}})
	got := messagesTo(c.Take(ms(7)), other.ID)
	if len(got) != 1 || got[0].Grant == nil || got[0].Grant.Items[0].Holder != all[1].ID {
		t.Errorf("answered %+v, want a grant", got)
	}
}
