package model

import (
	"slices"
	"time"

	"snipehub.example/mesh"
)

// Loss is a loss of processes in the middle of a calm day.
type Loss struct {
	Name string
	// Planner tells that the planner is lost, else a process that does not plan.
	Planner bool
	// Fault makes the fault for the VM lost.
	Fault func(vm int) func(*World)
}

// lostFor is how long what was lost stays away. Takeovers are over by then.
const lostFor = 3 * time.Second

// Losses is the table of losses. Every process is an entry and a holder besides.
var Losses = []Loss{
	{"planner killed", true, func(vm int) func(*World) { return Kill(vm, lostFor) }},
	{"planner without power", true, func(vm int) func(*World) { return PowerOff(vm, lostFor) }},
	{"planner frozen", true, func(vm int) func(*World) { return Freeze(vm, lostFor) }},
	{"planner cut off", true, func(vm int) func(*World) { return Cut(vm, lostFor) }},
	{"holder killed", false, func(vm int) func(*World) { return Kill(vm, lostFor) }},
	{"holder without power", false, func(vm int) func(*World) { return PowerOff(vm, lostFor) }},
	{"holder frozen", false, func(vm int) func(*World) { return Freeze(vm, lostFor) }},
	{"holder cut off", false, func(vm int) func(*World) { return Cut(vm, lostFor) }},
	{"all without power for a second", true, func(int) func(*World) { return PowerOffAll(time.Second) }},
}

// Recovery is what came of a loss.
type Recovery struct {
	// Gap is the longest time without any start after the loss: until placing went on.
	Gap time.Duration
	// Others is the same for the workers whose holder was not lost.
	Others time.Duration
	// Again is the time from the loss until all of the workers of the lost process
	// could be used again, by a planner that knows it.
	Again time.Duration
	// Lost counts the jobs without an answer, Refused those refused, Late those late,
	// of the Asked of the whole day.
	Lost, Refused, Late, Asked int
	Broken                     []string
}

// begun is a start on a worker.
type begun struct {
	at     time.Time
	worker string
}

// Recover plays a day with a loss at a time from the first request.
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
		w.await(n.id, lost, &r.Again)
	})
	res := w.Run()
	r.Broken = res.Broken
	for _, t := range res.Classes {
		r.Asked += t.Asked
		r.Lost += t.Unserved + t.Failed
		r.Refused += t.Refused
		r.Late += t.Late
	}
	r.starts(w, w.start.Add(at), lost)
	return r
}

// victim returns the planner, or the first process that does not plan.
func (w *World) victim(planner bool) *vm {
	i := slices.IndexFunc(w.vms, func(n *vm) bool { return n.up && n.core.IsPlanner() == planner })
	return w.vms[i]
}

// await sets how long it takes until all of the workers are open at a holder that is not
// the one before.
func (w *World) await(before mesh.ID, ids []string, took *time.Duration) {
	const step = 5 * time.Millisecond
	*took += step
	w.after(step, func() {
		if w.open(before, ids) < len(ids) {
			w.await(before, ids, took)
		}
	})
}

// open counts the workers that a planner sees open at others than the holder before.
func (w *World) open(before mesh.ID, ids []string) (n int) {
	for _, vm := range w.vms {
		if !vm.up || vm.suspended || vm.id == before || !vm.core.IsPlanner() {
			continue
		}
		for _, h := range vm.core.Status(w.now).Cell.Holders {
			if h.Open && h.Holder != before && slices.Contains(ids, h.Worker) {
				n++
			}
		}
	}
	return n
}

// starts works out the gaps between the starts around a loss.
func (r *Recovery) starts(w *World, at time.Time, lost []string) {
	last, lastOther := at, at
	end := w.start.Add(w.cfg.Length)
	for _, b := range w.begun {
		if b.at.Before(at) || b.at.After(end) {
			continue
		}
		r.Gap = max(r.Gap, b.at.Sub(last))
		last = b.at
		if !slices.Contains(lost, b.worker) {
			r.Others = max(r.Others, b.at.Sub(lastOther))
			lastOther = b.at
		}
	}
}
