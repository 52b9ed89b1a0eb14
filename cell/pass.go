package cell

import (
	"slices"
	"time"

	"snipehub.example/lease"
)

const (
	// passInterval is the mean time between two passes that leave requests pending, at least,
	// and passBurst how many of them may come at once. With a pass for each event, a planner
	// that has more requests than free workers spends its processor time on requests that
	// still find no worker.
	passInterval = 2 * time.Millisecond
	passBurst    = 10
)

// NextPass returns when Place should be called again at the latest, or the zero time if only
// an event can make that necessary.
func (pl *Planner) NextPass(now time.Time) time.Time {
	if !pl.active || !pl.needsPlanning || pl.awaitsList(now) || !pl.evacuations.Known() {
		return time.Time{}
	}
	return pl.passesUntil.Add(-passBurst * passInterval)
}

// Place grants workers to pending requests in the order of the queue, and refuses jobs
// that cannot meet their objective. It does nothing if nothing has changed since the last
// call, so that a burst of events costs one pass over the queue, nor before it is known which
// data centres are evacuated, nor while too many passes have just left requests pending.
func (pl *Planner) Place(now time.Time) {
	if !pl.active || !pl.needsPlanning || pl.awaitsList(now) || !pl.evacuations.Known() {
		return
	}
	if now.Before(pl.passesUntil.Add(-passBurst * passInterval)) {
		return
	}
	pl.needsPlanning = false
	if len(pl.pending) == 0 {
		return
	}
	pl.counts.Passes++
	queue := slices.Clone(pl.requestQueue.pending)
	best := pl.bestFactor()
	nearFactors := make(map[string]float64)
	candidates := pl.candidates(now, minCPU(queue))
	largest := largestFree(candidates)
	for _, p := range queue {
		best := best
		if p.Rack != "" {
			best = pl.bestFactorNear(p.Rack, best, nearFactors)
		}
		if pl.cannotMeetObjective(now, p, best) {
			pl.refuse(now, p, reasonCannotMeetObjective)
			continue
		}
		if p.Resources.Fits(largest) && pl.grantTasks(now, p, candidates, best) {
			largest = largestFree(candidates)
		}
	}
	pl.lookAhead(now)
	if len(pl.pending) > 0 {
		if pl.passesUntil.Before(now) {
			pl.passesUntil = now
		}
		pl.passesUntil = pl.passesUntil.Add(passInterval)
	}
}

// largestFree returns the most of each resource that is free on one of the candidates.
func largestFree(candidates []*candidate) (most lease.Resources) {
	for _, c := range candidates {
		most.CPU = max(most.CPU, c.free.CPU)
		most.Memory = max(most.Memory, c.free.Memory)
		most.GPU = max(most.GPU, c.free.GPU)
	}
	return most
}
