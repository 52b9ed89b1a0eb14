package node

import (
	"slices"

	"snipehub.example/cell"
	"snipehub.example/mesh"
)

// A deployment is one cell until a single planner could not keep up with it: from cellsFrom
// processes on, each data centre is a cell of its own, with a planner, until there are
// fewer than cellsUntil. Its planner sees no other cell's workers, and jobs that it
// refuses are offered to one other cell.
const (
	cellsFrom  = 96
	cellsUntil = 80
)

// divide decides whether data centres are cells of their own, by the processes that the
// store lists or, without it, those in sight, and tells whether that has changed.
func (c *Core) divide(up []mesh.Member) bool {
	n := max(len(c.known), len(up))
	before := c.divided
	c.divided = n >= cellsFrom || c.divided && n >= cellsUntil
	return c.divided != before
}

// mates are the members of this process's cell.
func (c *Core) mates(up []mesh.Member) []mesh.Member {
	if !c.divided {
		return up
	}
	var out []mesh.Member
	for _, m := range up {
		if m.DataCenter == c.self.DataCenter {
			out = append(out, m)
		}
	}
	return out
}

// elsewhere are the members that plan for the other cells, as far as this one knows.
func (c *Core) elsewhere(up []mesh.Member) []mesh.ID {
	if !c.divided {
		return nil
	}
	best := make(map[string]mesh.Member)
	for _, m := range up {
		have, ok := best[m.DataCenter]
		if !ok || c.rank(m, have) < 0 {
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

// ours leaves the workers of this cell in a listing.
func (c *Core) ours(l cell.Listing) cell.Listing {
	if c.divided {
		l.Listed = slices.DeleteFunc(slices.Clone(l.Listed), func(w cell.Listed) bool { return w.DataCenter != c.self.DataCenter })
	}
	return l
}
