package cell

import "snipehub.example/catalog"

// SetEvacuations sets the data centres in which no tasks may be started. Their workers keep
// their holders, so that they can be used as soon as the evacuation is taken back.
func (pl *Planner) SetEvacuations(e catalog.Evacuations) {
	pl.evacuations = e
	for _, w := range pl.workers {
		w.evacuated = e.Includes(w.DataCenter)
	}
	pl.needsPlanning = true
}

// evacuatedRetryAfter is the delay after which a caller should retry when all workers are
// evacuated: an evacuation lasts for seconds at least.
const evacuatedRetryAfter = maxRetryAfter / 2

// allEvacuated reports whether there are workers that would accept tasks but for the
// evacuation of their data centres, and no others.
func (pl *Planner) allEvacuated() bool {
	found := false
	for _, w := range pl.workers {
		switch {
		case w.acceptsTasks():
			return false
		case w.open && w.evacuated:
			found = true
		}
	}
	return found
}
