package node

import (
	"time"

	"snipehub.example/catalog"
	"snipehub.example/cell"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// Status is the state of a process as shown to operators.
type Status struct {
	Self      mesh.Member     `json:"self"`
	Planner   mesh.ID         `json:"planner"`
	IsPlanner bool            `json:"plans"`
	Catalog   catalog.Version `json:"catalog"`
	// Evacuations are the data centres in which the process starts no tasks.
	Evacuations catalog.Evacuations `json:"evacuations"`
	Members     []mesh.Member       `json:"members"`
	Jobs        int                 `json:"jobs"`
	Workers     []lease.State       `json:"workers"`
	// Cell is the planner's view, or nil if this process is not the planner.
	Cell *cell.View `json:"cell,omitempty"`
	// StoreAge is the time since each topic of the store was last read.
	StoreAge map[string]time.Duration `json:"store_age"`
}

// Status returns the state for operators.
func (c *Core) Status(now time.Time) Status {
	s := Status{Self: c.self, Planner: c.planner, IsPlanner: c.IsPlanner(), Members: c.reachableMembers(), Jobs: c.entry.Len(), Evacuations: c.evacuations}
	for _, id := range c.heldIDs() {
		s.Workers = append(s.Workers, c.held[id].Snapshot(now))
	}
	if c.IsPlanner() {
		v := c.cell.View(now)
		s.Cell = &v
	}
	return s
}
