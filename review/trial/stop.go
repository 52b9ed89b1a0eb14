package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runsJudge keeps all runs by their jobs.
type runsJudge struct {
	mu   sync.Mutex
	runs map[string][]*execution
}

func newRunsJudge() *runsJudge { return &runsJudge{runs: make(map[string][]*execution)} }

func (j *runsJudge) started(_ *minion, _ *life, e *execution) {
	job, _, _ := strings.Cut(e.task, ".")
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[job] = append(j.runs[job], e)
}

// of returns the runs of a job.
func (j *runsJudge) of(job string) []*execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]*execution(nil), j.runs[job]...)
}

const (
	// gracePeriod is the time from SIGTERM to SIGKILL (grace_s).
	gracePeriod = 6 * time.Second
	// stopJobs is how many jobs are open at a process that stops.
	stopJobs = 400
)

// stopTrial stops two processes as planned, in turn, while each has jobs with two steps that depend on nothing.
// The minions for the second step are busy for some seconds when the jobs come, and free long
// before the process has to be gone.
func stopTrial(rec *record, trouble bool) (verdict, error) {
	j := newRunsJudge()
	kinds := []string{"a", "a", "b"}
	w, err := newWorld(rec, deployment{processes: 8, minions: 24, minionCPU: 64000, guards: true, kind: func(i int) string { return kinds[i%len(kinds)] }, judge: j})
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return verdict{}, err
	}
	served, lost := 0, 0
	for _, p := range []int{1, 3} {
		stopAt, answers := stopWithJobs(w, p, trouble)
		for id, a := range answers {
			switch {
			case a.status == http.StatusOK:
				served++
			case a.broken && trouble && j.passedOnAndIdle(id, stopAt):
				lost++
				rec.printf("LOST: %s was passed on to a minion, nothing of it was at work from %v after the SIGTERM, and its connection ends %v after it without a complete answer", id, gracePeriod*5/6, a.at.Sub(stopAt).Round(time.Millisecond))
			}
		}
	}
	return verdict{lost > 0, fmt.Sprintf("of %d jobs with two steps %d were served, %d had their connection ended by the process without a complete answer", 2*stopJobs, served, lost)}, nil
}

// stopWithJobs has clients submit jobs at a process, and stops it. It returns when the SIGTERM
// was sent, and the answers by the jobs' ids.
func stopWithJobs(w *world, process int, trouble bool) (stopAt time.Time, answers map[string]answer) {
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			w.newClient(5).submit(newID(), plainOrder(2, 3000, 27000, "b", 10*time.Second))
		})
	}
	time.Sleep(300 * time.Millisecond)
	var mu sync.Mutex
	answers = make(map[string]answer)
	job := order{"ms=200 cpu=500", []step{{Count: 1, CPU: 500, Memory: 64, Estimate: 200}, {Count: 2, CPU: 27000, Memory: 64, Estimate: 200, Label: "b"}}, 15 * time.Second}
	for range stopJobs {
		clients.Go(func() {
			id := newID()
			a := w.newClient(process).send(w.processes[process], id, job)
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
		})
	}
	time.Sleep(500 * time.Millisecond)
	stopAt = time.Now()
	if p := w.processes[process]; trouble {
		p.signal(syscall.SIGTERM)
		select {
		case <-p.exited:
		case <-time.After(gracePeriod):
			p.kill()
		}
	}
	clients.Wait()
	if trouble {
		if err := w.processes[process].start(); err != nil {
			w.rec.printf("%v", err)
		}
	}
	return stopAt, answers
}

// passedOnAndIdle reports whether a minion has begun a task of a job, and none was at work in
// the last sixth of the grace period.
func (j *runsJudge) passedOnAndIdle(job string, stopAt time.Time) bool {
	runs := j.of(job)
	for _, e := range runs {
		if !e.done || e.endedAt.After(stopAt.Add(gracePeriod*5/6)) {
			return false
		}
	}
	return len(runs) > 0
}
