package model

import (
	"slices"
	"time"

	"snipehub.example/mesh"
)

// Loss describes a loss of processes in the middle of a calm day.
type Loss struct {
	Name string
	// Planner is set if the planner is lost, otherwise a process that is not the planner is.
	Planner bool
	// Fault returns the fault for the VM that is lost.
	Fault func(vm int) func(*World)
}

// lossDuration is how long a lost process stays away. Takeovers are finished by then.
const lossDuration = 3 * time.Second

// Losses is the table of losses. Every process is also an entry and a holder.
var Losses = []Loss{
	{"planner killed", true, func(vm int) func(*World) { return Kill(vm, lossDuration) }},
	{"planner without power", true, func(vm int) func(*World) { return PowerOff(vm, lossDuration) }},
	{"planner frozen", true, func(vm int) func(*World) { return Suspend(vm, lossDuration) }},
	{"planner cut off", true, func(vm int) func(*World) { return IsolateVM(vm, lossDuration) }},
	{"holder killed", false, func(vm int) func(*World) { return Kill(vm, lossDuration) }},
	{"holder without power", false, func(vm int) func(*World) { return PowerOff(vm, lossDuration) }},
	{"holder frozen", false, func(vm int) func(*World) { return Suspend(vm, lossDuration) }},
	{"holder cut off", false, func(vm int) func(*World) { return IsolateVM(vm, lossDuration) }},
	{"all without power for a second", true, func(int) func(*World) { return PowerOffAll(time.Second) }},
}

// Recovery is the result of a day with a loss.
type Recovery struct {
	// Gap is the longest time without a start on any worker from the loss on.
	Gap time.Duration
	// OtherGap is the same for the workers whose holder was not lost.
	OtherGap time.Duration
	// WorkersBack is the time from the loss until a planner knew that all of the lost process's
	// workers could be used again.
	WorkersBack time.Duration
	// Lost counts the jobs that got no answer or failed, Refused the refused and Late the late
	// ones, out of the Asked jobs of the whole day.
	Lost, Refused, Late, Asked int
	Violations                 []string
}

// begun is the start of a run on a worker.
type begun struct {
	at     time.Time
	worker string
}

// Recover simulates a day with a loss at a time from the first request.
func Recover(cfg Config, at time.Duration, l Loss) Recovery {
	w := New(cfg)
	r := Recovery{}
	var lost []string
	w.at(w.start.Add(at), func() {
		n := w.victim(l.Planner)
		for _, s := range n.core.Status(w.now).Workers {
			lost = append(lost, s.ID)
		}
		l.Fault(n.index)(w)
		w.awaitReopened(n.id, lost, &r.WorkersBack)
	})
	res := w.Run()
	r.Violations = res.Violations
	for _, t := range res.Classes {
		r.Asked += t.Asked
		r.Lost += t.Unserved + t.Failed
		r.Refused += t.Refused
		r.Late += t.Late
	}
	r.measureGaps(w, w.start.Add(at), lost)
	return r
}

// victim returns the VM of the planner, or the first one whose process is not the planner.
func (w *World) victim(planner bool) *vm {
	i := slices.IndexFunc(w.vms, func(n *vm) bool { return n.up && n.core.IsPlanner() == planner })
	return w.vms[i]
}

// awaitReopened measures the time until all of the workers are open at a holder other than the
// former one.
func (w *World) awaitReopened(formerHolder mesh.ID, ids []string, elapsed *time.Duration) {
	const step = 5 * time.Millisecond
	*elapsed += step
	w.after(step, func() {
		if w.countOpen(formerHolder, ids) < len(ids) {
			w.awaitReopened(formerHolder, ids, elapsed)
		}
	})
}

// countOpen counts the workers that a planner sees open at a holder other than the former one.
func (w *World) countOpen(formerHolder mesh.ID, ids []string) (n int) {
	for _, vm := range w.vms {
		if !vm.up || vm.suspended || vm.id == formerHolder || !vm.core.IsPlanner() {
			continue
		}
		for _, h := range vm.core.Status(w.now).Cell.Holders {
			if h.Open && h.Holder != formerHolder && slices.Contains(ids, h.Worker) {
				n++
			}
		}
	}
	return n
}

// measureGaps sets the longest gaps between starts from the loss to the last request.
func (r *Recovery) measureGaps(w *World, at time.Time, lost []string) {
	last, lastOther := at, at
	end := w.start.Add(w.cfg.Length)
	for _, b := range w.begun {
		if b.at.Before(at) || b.at.After(end) {
			continue
		}
		r.Gap = max(r.Gap, b.at.Sub(last))
		last = b.at
		if !slices.Contains(lost, b.worker) {
			r.OtherGap = max(r.OtherGap, b.at.Sub(lastOther))
			lastOther = b.at
		}
	}
}
