package entry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"snipehub.example/cell"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// Grant handles workers granted for tasks. Grants that are not needed any more are
// returned.
func (js *Jobs) Grant(now time.Time, from mesh.ID, g cell.Grant) {
	j := js.jobs[g.Job]
	if j != nil {
		js.plannerAnswered(now, j, g.Waited)
	}
	unused := &cell.Withdrawal{Job: g.Job}
	starts := make(map[mesh.ID]map[int]*Start)
	for _, item := range g.Items {
		t := js.pendingTask(j, item.Run)
		if t == nil {
			// A request that is sent twice can be granted twice, even the same worker.
			if !js.isPlacedOn(item.Worker, item.Run) {
				unused.Runs = append(unused.Runs, item.Run)
				unused.Workers = append(unused.Workers, item.Worker)
			}
			continue
		}
		js.place(now, j, t, item)
		byStep := starts[item.Holder]
		if byStep == nil {
			byStep = make(map[int]*Start)
			starts[item.Holder] = byStep
		}
		s := byStep[t.step]
		if s == nil {
			step := j.Steps[t.step]
			s = &Start{Spec: WireText(j.text.Spec), Sum: j.text.Sum, Resources: step.Resources, Estimate: step.Estimate, MaxPerWorker: step.MaxPerWorker}
			byStep[t.step] = s
		}
		s.Runs = append(s.Runs, PlacedRun{Run: item.Run, Worker: item.Worker, Estimate: item.Estimate, Fence: item.Fence, Incarnation: item.Incarnation})
	}
	if len(unused.Runs) > 0 {
		js.emit(Action{To: from, Withdraw: unused})
	}
	js.sendStarts(starts)
}

// sendStarts sends in a fixed order, so that the same events have the same outcome.
func (js *Jobs) sendStarts(starts map[mesh.ID]map[int]*Start) {
	var holders []mesh.ID
	for h := range starts {
		holders = append(holders, h)
	}
	slices.SortFunc(holders, mesh.ID.Compare)
	for _, h := range holders {
		for _, s := range slices.Sorted(maps.Keys(starts[h])) {
			js.emit(Action{To: h, Start: starts[h][s]})
		}
	}
}

func (js *Jobs) pendingTask(j *job, r lease.Run) *task {
	if j == nil || j.answer != nil {
		return nil
	}
	if t := j.task(r); t != nil && t.state == pending && t.runNumber == r.Number {
		return t
	}
	return nil
}

// isPlacedOn reports whether a run was placed on a worker and has not ended.
func (js *Jobs) isPlacedOn(worker string, r lease.Run) bool {
	p, ok := js.runs[r]
	return ok && p.t.worker == worker
}

func (js *Jobs) place(now time.Time, j *job, t *task, item cell.GrantedRun) {
	j.setState(t, placed)
	t.placedAt = now
	t.worker, t.holder, t.fence, t.unreachableSince = item.Worker, item.Holder, item.Fence, time.Time{}
	t.estimate = cmp.Or(item.Estimate, j.Steps[t.step].Estimate)
	js.runs[item.Run] = placedTask{j, t}
}
