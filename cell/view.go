package cell

import (
	"time"

	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// View is what operators see of the planner.
type View struct {
	// Waiting is the steps of jobs with tasks that wait, Workers the workers
	// that take tasks, FreeCores the room on them.
	Waiting   int            `json:"waiting"`
	Workers   int            `json:"workers"`
	FreeCores float64        `json:"free_cores"`
	Holders   []HeldBy       `json:"holders"`
	Queues    map[string]int `json:"queues"`
}

// HeldBy is a worker and its holder.
type HeldBy struct {
	Worker   string        `json:"worker"`
	Holder   mesh.ID       `json:"holder"`
	For      time.Duration `json:"for"`
	Fence    lease.Fence   `json:"fence"`
	Open     bool          `json:"open"`
	Draining bool          `json:"draining,omitempty"`
	Listed   bool          `json:"listed"`
	Runs     int           `json:"runs"`
	Speed    lease.Speed   `json:"speed"`
}

// View returns what operators see.
func (b *Book) View(now time.Time) View {
	v := View{Waiting: len(b.waits), Queues: make(map[string]int)}
	for _, w := range b.waits {
		v.Queues[w.Queue] += len(w.Tasks)
	}
	for _, w := range b.sortedWorkers() {
		if w.takes() {
			v.Workers++
			v.FreeCores += float64(w.left().CPU) / 1000
		}
		v.Holders = append(v.Holders, HeldBy{
			Worker:   w.ID,
			Holder:   w.holder,
			For:      now.Sub(w.since),
			Fence:    w.fence,
			Open:     w.open,
			Draining: w.draining,
			Listed:   w.listed,
			Runs:     len(w.runs),
			Speed:    w.speed,
		})
	}
	return v
}
