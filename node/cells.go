package node

import (
	"slices"

	"snipehub.example/cell"
	"snipehub.example/mesh"
)

// A deployment is a single cell while one planner can keep up with it. From
// splitThreshold processes on, each data centre is a cell with a planner of its own,
// until fewer than mergeThreshold processes are left. A planner sees no workers of other
// cells, and a job that it refuses is offered to one other cell.
const (
	splitThreshold = 96
	mergeThreshold = 80
)

// updateCellLayout decides whether each data centre is a cell of its own, and reports
// whether that has changed. It counts the processes that the store lists or the reachable
// ones, whichever are more.
func (c *Core) updateCellLayout(reachable []mesh.Member) bool {
	n := max(len(c.recordedAddrs), len(reachable))
	before := c.cellPerDataCenter
	c.cellPerDataCenter = n >= splitThreshold || c.cellPerDataCenter && n >= mergeThreshold
	return c.cellPerDataCenter != before
}

// cellMembers returns the members of this process's cell.
func (c *Core) cellMembers(reachable []mesh.Member) []mesh.Member {
	if !c.cellPerDataCenter {
		return reachable
	}
	var out []mesh.Member
	for _, m := range reachable {
		if m.DataCenter == c.self.DataCenter {
			out = append(out, m)
		}
	}
	return out
}

// otherPlanners returns the expected planners of the other cells, judged by the reachable
// members.
func (c *Core) otherPlanners(reachable []mesh.Member) []mesh.ID {
	if !c.cellPerDataCenter {
		return nil
	}
	best := make(map[string]mesh.Member)
	for _, m := range reachable {
		have, ok := best[m.DataCenter]
		if !ok || c.comparePriority(m, have) < 0 {
			best[m.DataCenter] = m
		}
	}
	var out []mesh.ID
	for dc, m := range best {
		if dc != c.self.DataCenter {
			out = append(out, m.ID)
		}
	}
	slices.SortFunc(out, mesh.ID.Compare)
	return out
}

// ownCellWorkers returns the list without the workers of other cells.
func (c *Core) ownCellWorkers(l cell.WorkerList) cell.WorkerList {
	if c.cellPerDataCenter {
		l.Workers = slices.DeleteFunc(slices.Clone(l.Workers), func(w cell.ListedWorker) bool { return w.DataCenter != c.self.DataCenter })
	}
	return l
}
