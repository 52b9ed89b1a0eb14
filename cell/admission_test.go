package cell

import (
	"fmt"
	"testing"
	"time"

	"snipehub.example/admission"
	"snipehub.example/lease"
)

// overloadedCell is a cell of eight workers, each with room for two tasks of 100 ms, and an
// entry process that uses the levels that the planner sends it.
type overloadedCell struct {
	pl      *Planner
	levels  admission.Levels
	levelAt []int
	ends    map[int][]GrantedRun
	jobs    int
	granted int
	// atEntry and atPlanner count the jobs refused by the levels, late those refused after
	// they had waited.
	atEntry, atPlanner, late int
}

func newOverloadedCell(t *testing.T) *overloadedCell {
	t.Helper()
	return &overloadedCell{pl: newPlannerWithHolders(t, 2, 8), ends: make(map[int][]GrantedRun)}
}

// run submits perSecond jobs of one task each second.
func (c *overloadedCell) run(from, to int, perSecond float64) {
	arrived := 0.0
	for t := from; t < to; t++ {
		for arrived += perSecond / 1000; arrived >= 1; arrived-- {
			c.submit(t)
		}
		for _, g := range c.ends[t] {
			c.pl.Report(ms(t), g.Holder, Report{States: []lease.State{{ID: g.Worker, Partial: true, Open: true, Ended: []lease.Run{g.Run}}}})
		}
		delete(c.ends, t)
		if t%50 == 0 {
			c.pl.Tick(ms(t))
		}
		c.pl.Place(ms(t))
		c.handle(t)
	}
}

func (c *overloadedCell) submit(t int) {
	c.jobs++
	req := newRequest(fmt.Sprintf("job%06d", c.jobs), 1)
	req.Objective = 200 * time.Millisecond
	if req.Share = c.levels.Share(req.Queue); !admission.Admits(req.Job, req.Share) {
		c.atEntry++
		return
	}
	c.pl.Request(ms(t), memberID(1), req)
}

func (c *overloadedCell) handle(t int) {
	for _, a := range c.pl.TakeActions() {
		switch {
		case a.Grant != nil:
			c.granted += len(a.Grant.Items)
			c.ends[t+100] = append(c.ends[t+100], a.Grant.Items...)
		case a.Levels != nil && a.To == memberID(1):
			c.levels = *a.Levels
			c.levelAt = append(c.levelAt, t)
		case a.Refusal != nil && a.Refusal.Reason == ReasonOverCapacity:
			c.atPlanner++
		case a.Refusal != nil:
			c.late++
		}
	}
}

// Two and a half times the load that the workers can do. Each job travelled to the planner,
// waited there and was refused when it was nearly late; the planner spent its processor on
// jobs that it refused, and workers idled.
func TestOverloadIsRefusedAtTheEntry(t *testing.T) {
	c := newOverloadedCell(t)
	c.run(700, 2000, 400)
	c.granted, c.atEntry, c.atPlanner, c.late = 0, 0, 0, 0
	c.run(2000, 5000, 400)
	if c.granted < 3*160*9/10 {
		t.Errorf("%d tasks granted, the workers can do 480", c.granted)
	}
	if refused := c.atEntry + c.atPlanner + c.late; float64(c.atEntry) < 0.8*float64(refused) {
		t.Errorf("%d of %d refused at the entry, %d by the planner on arrival", c.atEntry, refused, c.atPlanner)
	}
	for i := 1; i < len(c.levelAt); i++ {
		if d := c.levelAt[i] - c.levelAt[i-1]; d < 100 || d > 350 {
			t.Errorf("levels %d ms after the last ones", d)
		}
	}
	c.atEntry, c.atPlanner, c.late = 0, 0, 0
	c.run(5000, 5400, 80)
	c.atEntry, c.atPlanner, c.late = 0, 0, 0
	c.run(5400, 6000, 80)
	if c.atEntry+c.atPlanner+c.late > 0 || len(c.levels.Queues) > 0 {
		t.Errorf("%d, %d and %d refused, levels %v, 0.4 s after the end of the overload", c.atEntry, c.atPlanner, c.late, c.levels)
	}
}

// An entry was cut off and has levels of before the overload. Its jobs must be refused on
// arrival, and counted as what they are: all of its demand.
func TestEntryWithoutLevels(t *testing.T) {
	c := newOverloadedCell(t)
	c.run(700, 2500, 400)
	limited := c.levels.Share("q")
	c.atPlanner = 0
	for i := range 400 {
		c.pl.Request(ms(2500), memberID(0), newRequest(fmt.Sprintf("old%06d", i), 1))
	}
	c.handle(2500)
	if share := 1 - float64(c.atPlanner)/400; share > limited+0.15 {
		t.Errorf("%.2f of the jobs admitted at a share of %.2f", share, limited)
	}
}

// While there is room, nobody must be told of levels, and no job be refused.
func TestNoLevelsWhileThereIsRoom(t *testing.T) {
	c := newOverloadedCell(t)
	c.run(700, 4000, 130)
	if len(c.levelAt) > 0 || c.atEntry+c.atPlanner+c.late > 0 {
		t.Errorf("levels sent %d times, %d refused", len(c.levelAt), c.atEntry+c.atPlanner+c.late)
	}
}

// A task of a job that has begun fails and is requested again in an overload. The job can't be
// refused truthfully any more, so it must not be turned away.
func TestBegunJobsAreAdmitted(t *testing.T) {
	c := newOverloadedCell(t)
	c.run(700, 2500, 800)
	for i := range 50 {
		req := newRequest(fmt.Sprintf("begun%d", i), 1)
		req.Begun, req.Timeout = true, 10*time.Second
		c.pl.Request(ms(2500), memberID(1), req)
	}
	for _, a := range c.pl.TakeActions() {
		if a.Refusal != nil {
			t.Fatalf("refused %+v", a.Refusal)
		}
	}
}

// Most jobs want the same rack, which is full, while other racks are idle. Those jobs are
// refused; jobs that any worker can run must not be.
func TestFullRackDoesNotLimitOthers(t *testing.T) {
	c := newOverloadedCell(t)
	c.run(700, 2000, 50)
	for i := range 400 {
		req := newRequest(fmt.Sprintf("rack%06d", i), 1)
		req.Label, req.Objective = "r1", 150*time.Millisecond
		c.pl.Request(ms(2000+2*i), memberID(1), req)
		c.run(2000+2*i, 2002+2*i, 50)
	}
	if c.late == 0 || c.atEntry+c.atPlanner > 0 {
		t.Errorf("%d jobs refused for the rack, %d and %d by levels; want some and none", c.late, c.atEntry, c.atPlanner)
	}
}
