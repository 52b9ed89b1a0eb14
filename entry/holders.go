package entry

import (
	"slices"
	"time"

	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// HolderDown takes note that a holder is out of sight. What counts is when it is
// noted here, not when the holder was last heard: a busy process notes it late, and
// what it has placed in between may have reached the holder by a new session.
func (b *Book) HolderDown(now time.Time, h mesh.ID) {
	for _, p := range b.runs {
		if p.t.holder == h && p.t.adrift.IsZero() {
			p.t.adrift = now
		}
	}
	b.plannerDown(now, h)
}

// HolderUp claims the runs at a holder that is in sight again: it may have lost
// the last messages.
func (b *Book) HolderUp(h mesh.ID) {
	workers := make(map[string][]placedTask)
	for _, p := range b.runs {
		if p.t.holder == h {
			p.t.adrift = time.Time{}
			workers[p.t.worker] = append(workers[p.t.worker], p)
		}
	}
	for _, w := range sortedKeys(workers) {
		b.claim(h, w, workers[w])
	}
}

// Held claims the runs on a worker at its new holder. The announcement of one that
// was replaced since can arrive late; it knows nothing of what was started under
// its successor and would tell that it does not run.
func (b *Book) Held(h mesh.ID, worker string, fence lease.Fence) {
	var found []placedTask
	for _, p := range b.runs {
		if p.t.worker == worker && p.t.fence.Base() <= fence.Base() {
			p.t.holder, p.t.fence, p.t.adrift = h, fence, time.Time{}
			found = append(found, p)
		}
	}
	if len(found) > 0 {
		b.claim(h, worker, found)
	}
}

// Unheld takes note that a process does not hold a worker any more. Its next holder
// announces itself.
func (b *Book) Unheld(now time.Time, h mesh.ID, worker string) {
	for _, p := range b.runs {
		if p.t.worker == worker && p.t.holder == h && p.t.adrift.IsZero() {
			p.t.adrift = now
		}
	}
}

func (b *Book) claim(h mesh.ID, worker string, found []placedTask) {
	c := &Claim{Worker: worker}
	for _, p := range found {
		room := p.j.Steps[p.t.step].Room
		c.Runs = append(c.Runs, Claimed{Run: p.j.name(p.t), Room: room, Estimate: p.t.estimate, Fence: p.t.fence})
	}
	slices.SortFunc(c.Runs, func(x, y Claimed) int { return compareRuns(x.Run, y.Run) })
	b.act(Action{To: h, Claim: c})
	stop := &Stop{}
	for _, p := range found {
		if p.j.answer != nil {
			stop.Runs = append(stop.Runs, Placed{Run: p.j.name(p.t), Worker: worker})
		}
	}
	if len(stop.Runs) > 0 {
		b.act(Action{To: h, Stop: stop})
	}
}

// Concerns returns the processes on which this process's jobs hang: the holders of the
// workers of its runs, and the planners of other cells that were asked.
func (b *Book) Concerns() map[mesh.ID]struct{} {
	out := make(map[mesh.ID]struct{})
	for _, p := range b.runs {
		out[p.t.holder] = struct{}{}
	}
	for _, j := range b.jobs {
		if j.answer == nil && j.elsewhere != (mesh.ID{}) {
			out[j.elsewhere] = struct{}{}
		}
	}
	return out
}

// adrift returns the runs whose holder was lost for so long that they have ended.
func (b *Book) adrift(now time.Time) []placedTask {
	var out []placedTask
	for _, p := range b.runs {
		if !p.t.adrift.IsZero() && now.Sub(p.t.adrift) > forgetAfter {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(x, y placedTask) int { return compareRuns(x.j.name(x.t), y.j.name(y.t)) })
	return out
}
