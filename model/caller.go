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
	// resendAfter is when a caller sends a job again that got no answer.
	resendAfter = 1300 * time.Millisecond
	// patience is how long a caller waits beyond three times the objective.
	patience = 1500 * time.Millisecond
	// lateFactor is how many objectives late may be.
	lateFactor = 3
)

// job is a request of a caller.
type job struct {
	id        string
	class     int
	dc        string
	sent      time.Time
	width     int
	cpu       int
	work      []time.Duration
	fails     []int
	est       time.Duration
	objective time.Duration
	until     time.Time
	// leaves is when the caller gives up, zero if it stays.
	leaves time.Time
	// hopeless tells that no run of it can succeed: its failure is the right answer.
	hopeless bool
	tries    int
	started  bool
	// refusals counts the answers that said "not run".
	refusals int
	answer   entry.Status
	took     time.Duration
	over     bool
}

// lognormal draws a value with a mean and a spread, at most most.
func (w *World) lognormal(mean, spread, most float64) float64 {
	v := mean * math.Exp(spread*w.rnd.NormFloat64()-spread*spread/2)
	return min(v, most)
}

// makeJobs plans all requests of the day, whatever becomes of them.
func (w *World) makeJobs() {
	for c, cl := range w.cfg.Classes {
		most := cl.PerSecond * w.cfg.Load
		for _, b := range w.cfg.Bursts {
			most *= max(b.Times, 1)
		}
		for _, dc := range w.cfg.DataCenters {
			most *= 1 + dc.Wave.Swing
		}
		for t := time.Duration(0); ; {
			t += time.Duration(w.rnd.ExpFloat64() / most * float64(time.Second))
			if t > w.cfg.Length {
				break
			}
			if w.rnd.Float64()*most < w.rate(cl, t) {
				w.addJob(c, t)
			}
		}
	}
	slices.SortFunc(w.jobs, func(a, b *job) int { return a.sent.Compare(b.sent) })
	for i, j := range w.jobs {
		w.change(j)
		j.id = fmt.Sprintf("%016x", i+1)
		w.byJob[j.id] = j
		w.at(j.sent, func() { w.submit(j) })
	}
}

// rate is the rate of a class at a time.
func (w *World) rate(cl Class, t time.Duration) float64 {
	r := cl.PerSecond * w.cfg.Load
	for _, b := range w.cfg.Bursts {
		if t >= b.At && t < b.At+b.For && (b.Class == "" || b.Class == cl.Name) {
			r *= b.Times
		}
	}
	return r * w.swing(t)
}

// swing is how the callers of all data centres together swing, 1 if none do.
func (w *World) swing(t time.Duration) float64 {
	usual, now, swings := 0.0, 0.0, false
	for _, dc := range w.cfg.DataCenters {
		usual += dc.Callers
		now += dc.callers(t)
		swings = swings || dc.Wave.Swing > 0
	}
	if !swings {
		return 1
	}
	return now / usual
}

func (w *World) addJob(c int, at time.Duration) {
	cl := w.cfg.Classes[c]
	j := &job{class: c, dc: w.callerPlace(at), sent: w.start.Add(at)}
	j.width = max(1, int(math.Round(w.lognormal(float64(cl.Width), cl.Spread, float64(cl.WidthMost)))))
	j.cpu = int(w.lognormal(float64(cl.CPU), cl.Spread/2, float64(cl.CPUMost)))
	mean := w.lognormal(float64(cl.Work), cl.Spread, float64(cl.WorkMost))
	longest := time.Duration(0)
	for range j.width {
		d := time.Duration(mean * (1 + cl.Uneven*(2*w.rnd.Float64()-1)))
		j.work = append(j.work, d)
		longest = max(longest, d)
		fails := 0
		if w.rnd.Float64() < cl.Fails {
			fails = 1
		}
		j.fails = append(j.fails, fails)
	}
	j.est = time.Duration(w.lognormal(mean, cmp.Or(cl.Misjudged, cl.Spread), 10*mean))
	j.objective = time.Duration(cl.Stretch*float64(longest)) + cl.Objective
	j.until = j.sent.Add(patience + lateFactor*j.objective)
	w.jobs = append(w.jobs, j)
}

func (w *World) callerPlace(at time.Duration) string {
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

// textOf is a job's text: no two jobs have the same.
func (w *World) textOf(j *job) string {
	return (j.id + w.text)[:max(len(j.id), w.cfg.Classes[j.class].Text)]
}

// task finds the job of a task and the task's place in it, false if no caller sent one.
func (w *World) task(t lease.Task) (j *job, place int, ok bool) {
	j = w.byJob[t.Job()]
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

// told checks that a caller has sent what a worker is told to start.
func (w *World) told(x *worker, c lease.StartCall) {
	j, _, ok := w.task(c.Task)
	switch {
	case !ok:
		w.broken("UNASKED: %s run %d on %s, which no caller has sent", c.Task, c.Number, x.ID)
	case c.Spec != w.textOf(j):
		w.broken("UNASKED: %s run %d on %s, attempt %d, with %d bytes of another text", c.Task, c.Number, x.ID, c.Attempt, len(c.Spec))
	}
}

// work returns the time of a run at speed 1, and whether it fails.
func (w *World) work(r lease.Run) (time.Duration, bool) {
	j, i, ok := w.task(r.Task)
	if !ok {
		return time.Millisecond, false
	}
	if j.fails[i] > 0 {
		j.fails[i]--
		return j.work[i] / 2, true
	}
	return j.work[i], false
}

// pick returns a process for a caller: one of its data centre that is up, else any.
func (w *World) pick(j *job) *vm {
	var near, all []*vm
	for _, n := range w.nodes {
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
	if j.over || !w.now.Before(j.until) || j.gone(w.now) {
		return
	}
	j.tries++
	try := j.tries
	n := w.pick(j)
	if n == nil {
		w.resend(j, try)
		return
	}
	w.after(w.cfg.Caller, func() {
		size := callerBytes + w.cfg.Classes[j.class].Text
		w.after(w.pass(&n.in, size), func() { w.arrive(j, n, try) })
	})
}

func (w *World) arrive(j *job, n *vm, try int) {
	if !n.up {
		w.resend(j, try)
		return
	}
	n.last++
	id := n.last
	boots := n.boots
	cl := w.cfg.Classes[j.class]
	q, _ := w.catalog.Queue(cl.Name)
	r := entry.Request{
		ID:      j.id,
		Queue:   q,
		Spec:    w.textOf(j),
		Timeout: j.until.Sub(w.now),
		Steps:   []entry.Step{{Count: j.width, Resources: lease.Resources{CPU: j.cpu, Memory: cl.Memory}, Estimate: j.est}},
	}
	n.waiters[id] = func(a entry.Answer) { w.after(w.cfg.Caller, func() { w.answered(j, a, try) }) }
	if catalogVersion(n) == 0 {
		delete(n.waiters, id)
		w.answered(j, entry.Answer{Status: entry.Refused, Why: "no_catalog"}, try)
		return
	}
	n.do(func(now time.Time) { n.core.Submit(now, id, r) })
	leave := j.until
	if !j.leaves.IsZero() {
		leave = j.leaves
	}
	w.at(leave, func() {
		if n.boots == boots && !j.over {
			delete(n.waiters, id)
			n.do(func(now time.Time) { n.core.CallerLeft(now, id) })
		}
	})
	w.watch(j, n, boots, try)
}

func catalogVersion(n *vm) catalog.Version { return n.core.Self().Catalog }

// watch has the caller notice a process that ends: its connection breaks.
func (w *World) watch(j *job, n *vm, boots uint64, try int) {
	if j.over || j.tries != try || !w.now.Before(j.until) {
		return
	}
	if n.boots != boots || !n.up {
		w.resend(j, try)
		return
	}
	w.after(5*time.Millisecond, func() { w.watch(j, n, boots, try) })
}

func (w *World) resend(j *job, try int) {
	if j.tries != try {
		return
	}
	w.after(resendAfter, func() {
		if j.tries == try {
			w.submit(j)
		}
	})
}

func (w *World) answered(j *job, a entry.Answer, try int) {
	if j.over || j.tries != try {
		return
	}
	switch a.Status {
	case entry.Unknown:
		w.resend(j, try)
	case entry.Refused:
		j.refusals++
		j.over, j.answer = true, a.Status
	default:
		j.over, j.answer, j.took = true, a.Status, w.now.Sub(j.sent)
	}
}
