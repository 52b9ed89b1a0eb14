package model

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"snipehub.example/entry"
	"snipehub.example/lease"
)

// Result is the result of a simulated day.
type Result struct {
	Classes []Tally
	// Worth is the earned share of the total worth. WorstWindows is the mean of the shares
	// earned in the two windows of two seconds with the lowest shares.
	Worth, WorstWindows float64
	// Parts is the earned share by groups of jobs.
	Parts Parts
	// Rejected counts starts for which a worker had insufficient resources. Waste is the total
	// time of runs that did not end as done.
	Rejected int
	Waste    time.Duration
	// RefusalAges is when each refused job was refused, as a part of its objective, in
	// increasing order.
	RefusalAges []float64
	Messages    int
	// LastDrainedStart is how long after a worker announced that it drains a start was sent
	// to it, at most.
	LastDrainedStart time.Duration
	// LastEvacuatedStart is the same for the request to evacuate the worker's data centre.
	LastEvacuatedStart time.Duration
	// Violations describes the violated guarantees, at most maxBroken of them.
	Violations []string
}

// Tally is the result of a class of requests.
type Tally struct {
	Name                                           string
	Asked, OnTime, Late, Refused, Failed, Unserved int
	Earned, Owed                                   float64
}

// Share returns the share of the worth that was earned.
func (t Tally) Share() float64 { return t.Earned / max(t.Owed, 1e-9) }

// String formats a result in a few lines.
func (r Result) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "worth %.3f worst %.3f rejected %d waste %.1fs messages %d broken %d\n", r.Worth, r.WorstWindows, r.Rejected, r.Waste.Seconds(), r.Messages, len(r.Violations))
	for _, t := range r.Classes {
		fmt.Fprintf(&b, "  %-14s asked %5d in aim %5d late %4d refused %4d failed %3d unserved %3d worth %.3f\n", t.Name, t.Asked, t.OnTime, t.Late, t.Refused, t.Failed, t.Unserved, t.Share())
	}
	return b.String()
}

const (
	maxBroken = 20
	// windowLength is the length of the windows by which the worst times of a day are found.
	windowLength = 2 * time.Second
)

func (w *World) violation(format string, args ...any) {
	if len(w.result.Violations) < maxBroken {
		at := fmt.Sprintf("%.3f s: ", w.now.Sub(w.start).Seconds())
		w.result.Violations = append(w.result.Violations, at+fmt.Sprintf(format, args...))
	}
}

// began records the start of a run. It checks that no other run of the task is in progress and
// that the job was not refused.
func (w *World) began(x *worker, r lease.Run) *span {
	j := w.jobsByID[r.Job()]
	if j != nil {
		j.started = true
		if j.finished && j.answer == entry.Refused {
			w.violation("REFUSED: %s starts on %s after its refusal", r.Task, x.ID)
		}
	}
	for _, s := range w.spansByTask[r.Task] {
		if s.end.IsZero() {
			w.violation("TWICE: %s run %d starts on %s while run %d is on %s since %.3f", r.Task, r.Number, x.ID, s.run, s.worker, s.begin.Sub(w.start).Seconds())
		}
	}
	s := &span{worker: x.ID, run: r.Number, begin: w.now}
	w.spansByTask[r.Task] = append(w.spansByTask[r.Task], s)
	w.begun = append(w.begun, begun{w.now, x.ID})
	return s
}

// checkDrain checks that a start is not sent to a worker that announced long ago that it
// drains, unless the process that sends it was cut off or did not run.
func (n *vm) checkDrain(worker string, c lease.StartCall) {
	w := n.world
	x := w.workersByID[worker]
	if !x.draining {
		return
	}
	since := w.now.Sub(x.drainsSince)
	w.result.LastDrainedStart = max(w.result.LastDrainedStart, since)
	if w.cfg.DrainBound > 0 && since > w.cfg.DrainBound && n.sound() {
		w.violation("DRAIN: %s sends %s to %s, which drains for %.3f s", n.name, c.Task, x.ID, since.Seconds())
	}
}

func (w *World) ended(s *span, outcome lease.Outcome) {
	s.end, s.outcome = w.now, outcome
	if outcome != lease.Done {
		w.result.Waste += s.end.Sub(s.begin)
	}
}

// finish computes the result of the day.
func (w *World) finish() {
	r := &w.result
	w.reportAlteredOrders()
	r.Classes = make([]Tally, len(w.cfg.Classes))
	earned := make(map[int]float64)
	owed := make(map[int]float64)
	for _, j := range w.jobs {
		t := &r.Classes[j.class]
		e, o := w.tally(t, j)
		k := int(j.sent.Sub(w.start) / windowLength)
		earned[k] += e
		owed[k] += o
		if j.finished && j.answer == entry.Refused {
			r.RefusalAges = append(r.RefusalAges, float64(j.responseTime)/float64(j.objective))
		}
	}
	slices.Sort(r.RefusalAges)
	totalEarned, totalOwed := 0.0, 0.0
	for i := range r.Classes {
		r.Classes[i].Name = w.cfg.Classes[i].Name
		totalEarned += r.Classes[i].Earned
		totalOwed += r.Classes[i].Owed
	}
	r.Worth = totalEarned / max(totalOwed, 1e-9)
	r.WorstWindows = worstWindows(earned, owed)
	r.Parts = w.computeParts(w.earned)
}

// reportAlteredOrders reports orders that were held back because their spec had changed. They
// reach no worker, but nothing may alter them.
func (w *World) reportAlteredOrders() {
	for _, n := range w.vms {
		if k := n.core.NotStarted(lease.TextDiffers); k > 0 {
			w.violation("SPOILT: %d orders at %s had another text than their job", k, n.name)
		}
	}
}

// weight returns the value of a job relative to the mean of its class, by its total work.
func (c Class) weight(j *job) float64 {
	mean := float64(c.Work) * float64(c.Width) * float64(c.CPU)
	return min(0.3+0.7*j.totalWork()/mean, 4)
}

// totalWork returns the work of all tasks times their CPU.
func (j *job) totalWork() float64 {
	total := time.Duration(0)
	for _, d := range j.work {
		total += d
	}
	return float64(total) * float64(j.cpu)
}

// tally counts a job in the result of its class and returns its worth, earned and owed. A job
// that its caller abandons before an answer counts only as asked.
func (w *World) tally(t *Tally, j *job) (earned, owed float64) {
	cl := w.cfg.Classes[j.class]
	t.Asked++
	if !j.abandonsAt.IsZero() && !j.finished {
		return 0, 0
	}
	weight := cl.weight(j)
	owed = cl.Worth * weight
	switch {
	case !j.finished:
		t.Unserved++
	case j.answer == entry.Refused:
		t.Refused++
	case j.answer == entry.Failed && !j.alwaysFails:
		t.Failed++
	case j.responseTime <= j.objective:
		t.OnTime++
		earned = owed
	case j.responseTime <= lateFactor*j.objective:
		t.Late++
		earned = cl.Late * weight
	default:
		t.Late++
	}
	t.Earned += earned
	t.Owed += owed
	return earned, owed
}

// Goodput is what became of the jobs of a period, a second.
type Goodput struct {
	Asked, InTime float64
	// Worth is what was earned, Refused the refused part of the jobs.
	Worth, Refused float64
}

// Goodput returns what became of the jobs that were sent in a period, counted from the first
// request.
func (w *World) Goodput(from, to time.Duration) Goodput {
	var g Goodput
	refused := 0.0
	var tally Tally
	for _, j := range w.jobs {
		sent := j.sent.Sub(w.start)
		if sent < from || sent >= to {
			continue
		}
		g.Asked++
		if j.finished && j.answer == entry.Refused {
			refused++
		}
		onTime := tally.OnTime
		earned, _ := w.tally(&tally, j)
		g.InTime += float64(tally.OnTime - onTime)
		g.Worth += earned
	}
	seconds := (to - from).Seconds()
	return Goodput{Asked: g.Asked / seconds, InTime: g.InTime / seconds, Worth: g.Worth / seconds, Refused: refused / max(g.Asked, 1)}
}

// worstWindows returns the mean share earned in the two worst windows.
func worstWindows(earned, owed map[int]float64) float64 {
	a, b := 1.0, 1.0
	for k, o := range owed {
		if o == 0 {
			continue
		}
		s := earned[k] / o
		switch {
		case s < a:
			a, b = s, a
		case s < b:
			b = s
		}
	}
	return (a + b) / 2
}
