package main

import (
	"slices"
	"sync"
	"time"
)

// monitor checks the rules when minions start tasks.
type monitor struct {
	w  *world
	mu sync.Mutex
	// running holds the runs of each task on minions that are up.
	running map[string][]placedRun
}

type placedRun struct {
	m   *minion
	key runKey
}

// started is called by a minion, with its lock held, after it has started a run.
func (mo *monitor) started(m *minion, l *life, k runKey, e *execution, spec string) {
	rec := mo.w.rec
	j, s := e.job, e.job.steps[e.step]
	mo.mu.Lock()
	others := slices.Clone(mo.running[k.task])
	mo.running[k.task] = append(mo.running[k.task], placedRun{m, k})
	mo.mu.Unlock()
	for _, o := range others {
		rec.breaks("TWICE", "%s run %d starts on %s while run %d is on %s", k.task, k.run, m.id, o.key.run, o.m.id)
	}
	if spec != j.spec {
		rec.breaks("UNASKED", "%s was started with another spec", k.task)
	}
	if used := l.used(); !m.guards && used > m.cpu {
		rec.breaks("LIMIT", "%s run %d brings %s to %d of %d thousandths of a core: %s", k.task, k.run, m.id, used, m.cpu, l.describe())
	}
	for _, d := range s.DependsOn {
		if !j.stepDone(d) {
			rec.breaks("ORDER", "%s run %d starts on %s before step %d is done", k.task, k.run, m.id, d)
		}
	}
	if s.Requirements != "" && s.Requirements != m.kind && s.Requirements != m.rack {
		rec.breaks("ROUTE", "%s run %d starts on %s, which is no %s", k.task, k.run, m.id, s.Requirements)
	}
	if n := l.tasksOfStep(stepName(k.task)); s.AntiAffinity > 0 && n > s.AntiAffinity {
		rec.breaks("ROUTE", "%s run %d is task number %d of its step on %s, which may have %d: %s", k.task, k.run, n, m.id, s.AntiAffinity, l.describe())
	}
	if !m.drainedAt.IsZero() && time.Since(m.drainedAt) > drainBound {
		rec.breaks("DRAIN", "%s run %d starts on %s, which has been draining for %v", k.task, k.run, m.id, time.Since(m.drainedAt))
	}
	if since, ok := mo.w.evacuated.Load(m.zone); ok && time.Since(since.(time.Time)) > evacuateBound {
		rec.breaks("EVAC", "%s run %d starts on %s in %s, which has been evacuated for %v", k.task, k.run, m.id, m.zone, time.Since(since.(time.Time)))
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.started = true
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > cancelBound {
		rec.breaks("UNASKED", "%s run %d starts on %s %d ms after the job's cancelling was acknowledged", k.task, k.run, m.id, time.Since(j.cancelled).Milliseconds())
	}
}

// ended is called by a minion after a run has ended.
func (mo *monitor) ended(m *minion, k runKey) {
	mo.mu.Lock()
	defer mo.mu.Unlock()
	left := slices.DeleteFunc(mo.running[k.task], func(p placedRun) bool { return p.m == m && p.key == k })
	if mo.running[k.task] = left; len(left) == 0 {
		delete(mo.running, k.task)
	}
}

// finish checks the rules that concern whole jobs.
func (mo *monitor) finish() {
	for _, j := range mo.w.jobs.all() {
		j.mu.Lock()
		if j.started && j.attempts > 0 && j.attempts == j.rejected {
			mo.w.rec.breaks("REFUSED", "job %s has started, and all %d attempts to hand it in were rejected", j.id, j.attempts)
		}
		j.mu.Unlock()
	}
}

// tasksOfStep returns how many tasks of a step run.
func (l *life) tasksOfStep(step string) int {
	tasks := make(map[string]struct{})
	for k := range l.runs {
		if stepName(k.task) == step {
			tasks[k.task] = struct{}{}
		}
	}
	return len(tasks)
}

// describe lists what runs.
func (l *life) describe() (out []string) {
	for k, e := range l.runs {
		state := "running"
		if e.stopping {
			state = "stopping"
		}
		out = append(out, k.task+" "+state)
	}
	slices.Sort(out)
	return out
}
