package entry

import (
	"cmp"
	"slices"
	"time"

	"snipehub.example/cell"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// Grant takes workers for tasks. What isn't wanted any more is given back.
func (b *Book) Grant(now time.Time, from mesh.ID, g cell.Grant) {
	j := b.jobs[g.Job]
	if j != nil {
		b.heard(now, j, g.Waited)
	}
	var unused []lease.Run
	starts := make(map[mesh.ID]map[int]*Start)
	for _, it := range g.Items {
		t := b.wanted(j, it.Run)
		if t == nil {
			unused = append(unused, it.Run)
			continue
		}
		b.place(now, j, t, it)
		byStep := starts[it.Holder]
		if byStep == nil {
			byStep = make(map[int]*Start)
			starts[it.Holder] = byStep
		}
		s := byStep[t.step]
		if s == nil {
			step := j.Steps[t.step]
			s = &Start{Spec: Text(j.text.Spec), Sum: j.text.Sum, Room: step.Room, Estimate: step.Estimate}
			byStep[t.step] = s
		}
		s.Runs = append(s.Runs, Placed{Run: it.Run, Worker: it.Worker, Estimate: it.Estimate, Fence: it.Fence})
	}
	if len(unused) > 0 {
		b.act(Action{To: from, Withdraw: &cell.Withdrawal{Job: g.Job, Runs: unused}})
	}
	b.sendStarts(starts)
}

// sendStarts sends in a fixed order, so that a run of the book can be repeated.
func (b *Book) sendStarts(starts map[mesh.ID]map[int]*Start) {
	var holders []mesh.ID
	for h := range starts {
		holders = append(holders, h)
	}
	slices.SortFunc(holders, mesh.ID.Compare)
	for _, h := range holders {
		for s := 0; len(starts[h]) > 0; s++ {
			if start, ok := starts[h][s]; ok {
				b.act(Action{To: h, Start: start})
				delete(starts[h], s)
			}
		}
	}
}

func (b *Book) wanted(j *job, r lease.Run) *task {
	if j == nil || j.answer != nil {
		return nil
	}
	for _, t := range j.tasks {
		if t.state == waiting && j.name(t) == r {
			return t
		}
	}
	return nil
}

func (b *Book) place(now time.Time, j *job, t *task, it cell.Granted) {
	t.placedAt = now
	t.state, t.worker, t.holder, t.fence, t.adrift = placed, it.Worker, it.Holder, it.Fence, time.Time{}
	t.estimate = cmp.Or(it.Estimate, j.Steps[t.step].Estimate)
	b.runs[it.Run] = placedTask{j, t}
}
