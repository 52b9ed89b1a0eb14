package cell

import (
	"time"

	"snipehub.example/admission"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// View is the planner's state as shown to operators.
type View struct {
	// Waiting is the number of pending requests, one for each step of a job; Workers the
	// number of workers that accept tasks; FreeCores the free CPU on these. Queues holds
	// the pending tasks of each queue.
	Waiting   int          `json:"waiting"`
	Workers   int          `json:"workers"`
	FreeCores float64      `json:"free_cores"`
	Holders   []HeldWorker `json:"holders"`
	// ListAge is how long ago the platform's worker list was current for certain.
	ListAge time.Duration  `json:"list_age"`
	Queues  map[string]int `json:"queues"`
	// Tasks is the number of pending tasks and of runs.
	Tasks int `json:"tasks"`
	// OwnedJobs is the number of jobs whose process the planner knows.
	OwnedJobs int `json:"owned_jobs"`
	// Admission is the levels of the queues of which not all jobs are admitted.
	Admission []admission.Level `json:"admission,omitempty"`
}

// HeldWorker is a worker and its holder.
type HeldWorker struct {
	Worker   string        `json:"worker"`
	Holder   mesh.ID       `json:"holder"`
	For      time.Duration `json:"for"`
	Fence    lease.Fence   `json:"fence"`
	Open     bool          `json:"open"`
	Draining bool          `json:"draining,omitempty"`
	// Evacuated is set while no tasks may be started in the worker's data centre.
	Evacuated bool        `json:"evacuated,omitempty"`
	Listed    bool        `json:"listed"`
	Runs      int         `json:"runs"`
	Speed     lease.Speed `json:"speed"`
}

// View returns the planner's state for operators.
func (pl *Planner) View(now time.Time) View {
	v := View{Waiting: len(pl.pending), OwnedJobs: len(pl.owners.byJob), Tasks: pl.tasks, Queues: make(map[string]int), ListAge: pl.ListAge(now), Admission: pl.admission.levels.Queues}
	for _, p := range pl.pending {
		v.Queues[p.Queue] += len(p.Tasks)
	}
	for _, w := range pl.sortedWorkers() {
		if w.acceptsTasks() {
			v.Workers++
			v.FreeCores += float64(w.free().CPU) / 1000
		}
		v.Holders = append(v.Holders, HeldWorker{
			Worker:    w.ID,
			Holder:    w.holder,
			For:       now.Sub(w.heldSince),
			Fence:     w.fence,
			Open:      w.open,
			Draining:  w.drains(),
			Evacuated: w.evacuated,
			Listed:    w.listed,
			Runs:      len(w.runs),
			Speed:     w.speed,
		})
	}
	return v
}
