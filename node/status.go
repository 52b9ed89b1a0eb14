package node

import (
	"maps"
	"slices"
	"time"

	"snipehub.example/catalog"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// Status is what operators see of a process.
type Status struct {
	Self    mesh.Member     `json:"self"`
	Planner mesh.ID         `json:"planner"`
	Plans   bool            `json:"plans"`
	Catalog catalog.Version `json:"catalog"`
	Members []mesh.Member   `json:"members"`
	Jobs    int             `json:"jobs"`
	Workers []lease.State   `json:"workers"`
}

// Status returns the state for operators.
func (c *Core) Status(now time.Time) Status {
	s := Status{Self: c.self, Planner: c.planner, Plans: c.Plans(), Members: c.up(), Jobs: c.entry.Len()}
	for _, id := range slices.Sorted(maps.Keys(c.held)) {
		s.Workers = append(s.Workers, c.held[id].Peek(now))
	}
	return s
}
