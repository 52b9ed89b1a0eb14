package node

import (
	"maps"
	"slices"
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
	// Layout is how the process takes the deployment to be divided into cells.
	Layout LayoutStatus `json:"layout"`
	// Cell is the planner's view, or nil if this process is not the planner.
	Cell *cell.View `json:"cell,omitempty"`
	// StoreAge is the time since each topic of the store was last read.
	StoreAge map[string]time.Duration `json:"store_age"`
}

// LayoutStatus is how a process takes the deployment to be divided into cells.
type LayoutStatus struct {
	// Divided is set if there are several cells, Cells how many the own data centre has, and
	// Part the number of the own one there.
	Divided bool   `json:"divided"`
	Cells   int    `json:"cells"`
	Part    uint64 `json:"part"`
	// Listed is how many processes the store lists, ListedInCell those of the own cell.
	Listed       int `json:"listed"`
	ListedInCell int `json:"listed_in_cell"`
	// Others are the other cells that are known.
	Others []OtherCell `json:"others,omitempty"`
}

// OtherCell is what a process knows of another cell.
type OtherCell struct {
	DataCenter string `json:"dc"`
	Part       uint64 `json:"part"`
	// Planner is the process that is expected to plan there, zero if none can be reached.
	Planner mesh.ID `json:"planner"`
	// Connected is set while there is a session with the planner.
	Connected bool `json:"connected"`
}

// layoutStatus returns the layout for operators.
func (c *Core) layoutStatus() LayoutStatus {
	s := LayoutStatus{
		Divided:      c.layout.divided,
		Cells:        1 << c.layout.bits,
		Part:         c.ownCell().part,
		Listed:       len(c.directory.byAddress),
		ListedInCell: len(c.cellRecords),
	}
	for _, id := range slices.SortedFunc(maps.Keys(c.otherCells), cellID.compare) {
		planner, _ := c.plannerOf(id)
		_, connected := c.members[planner]
		s.Others = append(s.Others, OtherCell{id.dataCenter, id.part, planner, connected})
	}
	return s
}

// Status returns the state for operators.
func (c *Core) Status(now time.Time) Status {
	s := Status{Self: c.self, Planner: c.planner, IsPlanner: c.IsPlanner(), Members: c.reachableMembers(), Jobs: c.entry.Len(), Evacuations: c.evacuations, Layout: c.layoutStatus()}
	for _, id := range c.heldIDs() {
		s.Workers = append(s.Workers, c.held[id].Snapshot(now))
	}
	if c.IsPlanner() {
		v := c.cell.View(now)
		s.Cell = &v
	}
	return s
}
