package model

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"snipehub.example/catalog"
	"snipehub.example/entry"
	"snipehub.example/lease"
)

const (
	// resendDelay is the time after which a caller resubmits a job that got no answer.
	resendDelay = 1300 * time.Millisecond
	// extraTimeout is how long a caller waits beyond lateFactor (three) times the objective.
	extraTimeout = 1500 * time.Millisecond
	// lateFactor is the multiple of the objective up to which a late answer still has value.
	lateFactor = 3
)

// job is a request of a caller, with the caller's state.
type job struct {
	id    string
	class int
	dc    string
	sent  time.Time
	width int
	cpu   int
	work  []time.Duration
	// failuresLeft is the number of runs that still fail, by task.
	failuresLeft []int
	estimate     time.Duration
	objective    time.Duration
	deadline     time.Time
	// abandonsAt is when the caller gives up early; zero if it does not.
	abandonsAt time.Time
	// alwaysFails is set if no run of the job can succeed, so that a failure is the right answer.
	alwaysFails bool
	// tries counts the submissions. started is set once any of the job's tasks has started.
	tries   int
	started bool
	// refusals counts the answers that refused the job.
	refusals     int
	answer       entry.Status
	responseTime time.Duration
	finished     bool
}

// lognormal draws a log-normal value with a mean and a standard deviation of its logarithm,
// capped at limit.
func (w *World) lognormal(mean, spread, limit float64) float64 {
	v := mean * math.Exp(spread*w.rnd.NormFloat64()-spread*spread/2)
	return min(v, limit)
}

// makeJobs draws all requests of the day in advance, independently of how they are served.
func (w *World) makeJobs() {
	for c, cl := range w.cfg.Classes {
		peakRate := cl.PerSecond * w.cfg.Load
		for _, b := range w.cfg.Bursts {
			peakRate *= max(b.Factor, 1)
		}
		for _, dc := range w.cfg.DataCenters {
			peakRate *= 1 + dc.Wave.Swing
		}
		for t := time.Duration(0); ; {
			t += time.Duration(w.rnd.ExpFloat64() / peakRate * float64(time.Second))
			if t > w.cfg.Length {
				break
			}
			if w.rnd.Float64()*peakRate < w.rate(cl, t) {
				w.addJob(c, t)
			}
		}
	}
	slices.SortFunc(w.jobs, func(a, b *job) int { return a.sent.Compare(b.sent) })
	for i, j := range w.jobs {
		w.applyChanges(j)
		j.id = fmt.Sprintf("%016x", i+1)
		w.jobsByID[j.id] = j
		w.at(j.sent, func() { w.submit(j) })
	}
}

// rate returns the request rate of a class at a time.
func (w *World) rate(cl Class, t time.Duration) float64 {
	r := cl.PerSecond * w.cfg.Load
	for _, b := range w.cfg.Bursts {
		if t >= b.At && t < b.At+b.For && (b.Class == "" || b.Class == cl.Name) {
			r *= b.Factor
		}
	}
	return r * w.swing(t)
}

// swing returns the total weight of all data centres' callers at a time relative to its mean,
// or 1 if no data centre has a wave.
func (w *World) swing(t time.Duration) float64 {
	mean, current, varies := 0.0, 0.0, false
	for _, dc := range w.cfg.DataCenters {
		mean += dc.Callers
		current += dc.callers(t)
		varies = varies || dc.Wave.Swing > 0
	}
	if !varies {
		return 1
	}
	return current / mean
}

func (w *World) addJob(c int, at time.Duration) {
	cl := w.cfg.Classes[c]
	j := &job{class: c, dc: w.drawDataCenter(at), sent: w.start.Add(at)}
	j.width = max(1, int(math.Round(w.lognormal(float64(cl.Width), cl.Spread, float64(cl.MaxWidth)))))
	j.cpu = int(w.lognormal(float64(cl.CPU), cl.Spread/2, float64(cl.MaxCPU)))
	mean := w.lognormal(float64(cl.Work), cl.Spread, float64(cl.MaxWork))
	longest := time.Duration(0)
	for range j.width {
		d := time.Duration(mean * (1 + cl.Uneven*(2*w.rnd.Float64()-1)))
		j.work = append(j.work, d)
		longest = max(longest, d)
		fails := 0
		if w.rnd.Float64() < cl.FailureShare {
			fails = 1
		}
		j.failuresLeft = append(j.failuresLeft, fails)
	}
	j.estimate = time.Duration(w.lognormal(mean, cmp.Or(cl.EstimateSpread, cl.Spread), 10*mean))
	j.objective = time.Duration(cl.Stretch*float64(longest)) + cl.Objective
	j.deadline = j.sent.Add(extraTimeout + lateFactor*j.objective)
	w.jobs = append(w.jobs, j)
}

func (w *World) drawDataCenter(at time.Duration) string {
	sum := 0.0
	for _, dc := range w.cfg.DataCenters {
		sum += dc.callers(at)
	}
	x := w.rnd.Float64() * sum
	for _, dc := range w.cfg.DataCenters {
		if x -= dc.callers(at); x < 0 {
			return dc.Name
		}
	}
	return w.cfg.DataCenters[0].Name
}

// specOf returns the spec of a job. It begins with the job's ID, so no two jobs have the same one.
func (w *World) specOf(j *job) string {
	return (j.id + w.specFiller)[:max(len(j.id), w.cfg.Classes[j.class].SpecSize)]
}

// task returns the job of a task and the index of the task in it. ok is false if no caller has
// submitted such a task.
func (w *World) task(t lease.Task) (j *job, index int, ok bool) {
	j = w.jobsByID[t.Job()]
	if j == nil || j.tries == 0 {
		return nil, 0, false
	}
	for i := range j.width {
		if t == lease.Task(fmt.Sprintf("%s.0.0.%d", j.id, i)) {
			return j, i, true
		}
	}
	return nil, 0, false
}

// checkStart checks that a caller has submitted the task that a worker is told to start.
func (w *World) checkStart(x *worker, c lease.StartCall) {
	j, _, ok := w.task(c.Task)
	switch {
	case !ok:
		w.violation("UNASKED: %s run %d on %s, which no caller has sent", c.Task, c.Number, x.ID)
	case c.Spec != w.specOf(j):
		w.violation("UNASKED: %s run %d on %s, attempt %d, with %d bytes of another text", c.Task, c.Number, x.ID, c.Attempt, len(c.Spec))
	}
}

// checkLabel checks that a worker on which a task begins has the label that the task requires.
func (w *World) checkLabel(x *worker, r lease.Run) {
	j, _, ok := w.task(r.Task)
	if !ok {
		return
	}
	if label := w.cfg.Classes[j.class].Label; label != "" && label != x.Kind && label != x.Rack {
		w.violation("ROUTE: %s run %d requires %s and starts on %s of kind %s", r.Task, r.Number, label, x.ID, x.Kind)
	}
}

// checkStepLimit checks that a worker on which a task begins has fewer tasks of the step than the
// maximum.
func (w *World) checkStepLimit(x *worker, r lease.Run) {
	j, _, ok := w.task(r.Task)
	if !ok {
		return
	}
	limit, n := w.cfg.Classes[j.class].MaxPerWorker, 0
	for o := range x.runs {
		if o.Task.Step() == r.Task.Step() {
			n++
		}
	}
	if limit > 0 && n >= limit {
		w.violation("ROUTE: %s run %d starts on %s, which has %d tasks of the step", r.Task, r.Number, x.ID, n)
	}
}

// work returns the duration of a run at speed 1 and whether the run fails. A failing run lowers
// the number of runs of its task that still fail.
func (w *World) work(r lease.Run) (time.Duration, bool) {
	j, i, ok := w.task(r.Task)
	if !ok {
		return time.Millisecond, false
	}
	if j.failuresLeft[i] > 0 {
		j.failuresLeft[i]--
		return j.work[i] / 2, true
	}
	return j.work[i], false
}

// pickVM draws a VM whose process takes callers for a job: one in the caller's data centre if
// there is any, else one elsewhere. It returns nil if there is none.
func (w *World) pickVM(j *job) *vm {
	var near, all []*vm
	for _, n := range w.vms {
		if !n.up || n.leaving {
			continue
		}
		all = append(all, n)
		if n.dc == j.dc {
			near = append(near, n)
		}
	}
	switch {
	case len(near) > 0:
		return near[w.rnd.IntN(len(near))]
	case len(all) > 0:
		return all[w.rnd.IntN(len(all))]
	}
	return nil
}

func (w *World) submit(j *job) {
	if j.finished || !w.now.Before(j.deadline) || j.abandoned(w.now) {
		return
	}
	j.tries++
	try := j.tries
	n := w.pickVM(j)
	if n == nil {
		w.resend(j, try)
		return
	}
	w.after(w.cfg.CallerDelay, func() {
		size := callerBytes + w.cfg.Classes[j.class].SpecSize
		w.after(w.transmit(&n.in, size), func() { w.arrive(j, n, try) })
	})
}

func (w *World) arrive(j *job, n *vm, try int) {
	if !n.up {
		w.resend(j, try)
		return
	}
	n.lastWaiter++
	id := n.lastWaiter
	boots := n.boots
	cl := w.cfg.Classes[j.class]
	q, _ := w.catalog.Queue(cl.Name)
	r := entry.Request{
		ID:      j.id,
		Queue:   q,
		Spec:    w.specOf(j),
		Timeout: j.deadline.Sub(w.now),
		Steps:   []entry.Step{{Count: j.width, Resources: lease.Resources{CPU: j.cpu, Memory: cl.Memory}, Estimate: j.estimate, Label: cl.Label, MaxPerWorker: cl.MaxPerWorker}},
	}
	n.waiters[id] = func(a entry.Answer) { w.after(w.cfg.CallerDelay, func() { w.answered(j, a, try) }) }
	if catalogVersion(n) == 0 {
		delete(n.waiters, id)
		w.answered(j, entry.Answer{Status: entry.Refused, Why: "no_catalog"}, try)
		return
	}
	n.do(func(now time.Time) { n.core.Submit(now, id, r) })
	abandonsBy := j.deadline
	if !j.abandonsAt.IsZero() {
		abandonsBy = j.abandonsAt
	}
	w.at(abandonsBy, func() {
		if n.boots == boots && !j.finished {
			delete(n.waiters, id)
			n.do(func(now time.Time) { n.core.CallerLeft(now, id) })
		}
	})
	w.watchConnection(j, n, boots, try)
}

func catalogVersion(n *vm) catalog.Version { return n.core.Self().Catalog }

// watchConnection resubmits the job when its process ends, which breaks the caller's connection.
func (w *World) watchConnection(j *job, n *vm, boots uint64, try int) {
	if j.finished || j.tries != try || !w.now.Before(j.deadline) {
		return
	}
	if n.boots != boots || !n.up {
		w.resend(j, try)
		return
	}
	w.after(5*time.Millisecond, func() { w.watchConnection(j, n, boots, try) })
}

func (w *World) resend(j *job, try int) {
	if j.tries != try {
		return
	}
	w.after(resendDelay, func() {
		if j.tries == try {
			w.submit(j)
		}
	})
}

func (w *World) answered(j *job, a entry.Answer, try int) {
	if j.finished || j.tries != try {
		return
	}
	switch a.Status {
	case entry.Unknown:
		w.resend(j, try)
	case entry.Refused:
		j.refusals++
		fallthrough
	default:
		j.finished, j.answer, j.responseTime = true, a.Status, w.now.Sub(j.sent)
	}
}
