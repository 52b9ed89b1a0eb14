package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipehub.example/cell"
	"snipehub.example/mesh"
)

const (
	// unreachableRetention is how long a process of another cell that could not be reached is
	// passed over.
	unreachableRetention = 10 * time.Second
	// maxOtherPlanners is how many other cells a process offers jobs to.
	maxOtherPlanners = 4
)

// plannerOf returns the process that is expected to plan for another cell: the one that a
// process there has named, or the first by priority among those that are listed or have a
// session, without those that could not be reached lately.
func (c *Core) plannerOf(id cellID) (mesh.ID, bool) {
	if hint, ok := c.plannerHints[id]; ok && !c.isUnreachable(hint) {
		return hint, true
	}
	var best mesh.Member
	consider := func(m mesh.Member) {
		if !c.isUnreachable(m.ID) && (best.ID == (mesh.ID{}) || c.comparePriority(m, best) < 0) {
			best = m
		}
	}
	connected := c.foreign[id]
	for _, m := range c.otherCells[id] {
		if !slices.ContainsFunc(connected, func(o mesh.Member) bool { return o.ID.Address == m.ID.Address }) {
			consider(m)
		}
	}
	for _, m := range connected {
		consider(m)
	}
	return best.ID, best.ID != (mesh.ID{})
}

func (c *Core) isUnreachable(id mesh.ID) bool {
	_, ok := c.unreachable[id.Address]
	return ok
}

// noteUnreachable records that a process of another cell could not be reached.
func (c *Core) noteUnreachable(now time.Time, id mesh.ID) {
	if c.layout.divided && !c.inOwnCell(id) {
		c.unreachable[id.Address] = now
	}
}

// groupForeign groups the reachable processes of other cells.
func (c *Core) groupForeign(reachable []mesh.Member) {
	c.foreign = make(map[cellID][]mesh.Member)
	if !c.layout.divided {
		return
	}
	own := c.ownCell()
	for _, m := range reachable {
		if id := c.cellOf(m); id != own {
			c.foreign[id] = append(c.foreign[id], m)
		}
	}
}

// otherPlanners returns the planners of other cells to which jobs are offered that this
// cell's has refused. Cells of the own data centre come first, since starts there cross no
// data centre; each process offers to others of the rest, so that no cell gets all offers.
func (c *Core) otherPlanners() []mesh.ID {
	type candidate struct {
		id    mesh.ID
		away  bool
		order uint64
	}
	var candidates []candidate
	add := func(id cellID) {
		if p, ok := c.plannerOf(id); ok {
			order := xxhash.Sum64String(c.self.ID.String() + id.dataCenter + string(rune(id.part)))
			candidates = append(candidates, candidate{p, id.dataCenter != c.self.DataCenter, order})
		}
	}
	for id := range c.otherCells {
		add(id)
	}
	for id := range c.foreign {
		if _, listed := c.otherCells[id]; !listed {
			add(id)
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int {
		return cmp.Or(compareBool(x.away, y.away), cmp.Compare(x.order, y.order), x.id.Compare(y.id))
	})
	var out []mesh.ID
	for _, c := range candidates[:min(len(candidates), maxOtherPlanners)] {
		out = append(out, c.id)
	}
	slices.SortFunc(out, mesh.ID.Compare)
	return out
}

// redirectRequest refuses a request of another cell that reaches this process although it
// does not plan, and names the planner.
func (c *Core) redirectRequest(now time.Time, from mesh.ID, r cell.Request) {
	if c.inOwnCell(from) {
		// A member that has elected this process already; it asks again when this one begins
		// to plan.
		return
	}
	c.send(now, from, Message{Refusal: &cell.Refusal{Job: r.Job, Reason: cell.ReasonNotPlanner, Planner: c.planner}})
}

// noteRefusal keeps the planner that a refusal from another cell names.
func (c *Core) noteRefusal(now time.Time, from mesh.ID, r cell.Refusal) {
	m, ok := c.members[from]
	if r.Reason != cell.ReasonNotPlanner || r.Planner == (mesh.ID{}) || !ok {
		return
	}
	delete(c.unreachable, r.Planner.Address)
	c.plannerHints[c.cellOf(m.Member)] = r.Planner
	c.elect(now)
}
