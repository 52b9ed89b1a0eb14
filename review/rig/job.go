package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a job as a client sends it.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	Memory       int    `json:"mem_mb"`
	Estimate     int64  `json:"estimate_ms"`
	DependsOn    []int  `json:"depends_on,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
}

// job is a job that clients have sent.
type job struct {
	id, spec string
	steps    []step

	mu sync.Mutex
	// attempts counts the requests that were sent for it, rejected those of them that were
	// answered with 429 or 503.
	attempts, rejected int
	// started is set once a task has started; cancelled is when its cancelling was
	// acknowledged, zero before.
	started   bool
	cancelled time.Time
	// done holds the tasks of which a run has ended as done.
	done map[string]bool
}

// jobs are all jobs that clients have sent.
type jobs struct {
	mu   sync.Mutex
	byID map[string]*job
}

func newJobs() *jobs { return &jobs{byID: make(map[string]*job)} }

func (js *jobs) add(id, spec string, steps ...step) *job {
	js.mu.Lock()
	defer js.mu.Unlock()
	j := &job{id: id, spec: spec, steps: steps, done: make(map[string]bool)}
	js.byID[id] = j
	return j
}

// all returns all jobs.
func (js *jobs) all() (out []*job) {
	js.mu.Lock()
	defer js.mu.Unlock()
	for _, j := range js.byID {
		out = append(out, j)
	}
	return out
}

// find returns the job and the step of a task, or nil if no client has sent them.
func (js *jobs) find(task string) (*job, int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, 0
	}
	js.mu.Lock()
	j := js.byID[parts[0]]
	js.mu.Unlock()
	s, err := strconv.Atoi(parts[2])
	i, err2 := strconv.Atoi(parts[3])
	if j == nil || err != nil || err2 != nil || s < 0 || s >= len(j.steps) || i < 0 || i >= j.steps[s].Count {
		return nil, 0
	}
	return j, s
}

// stepName returns the name of a task's step: the task without its index.
func stepName(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// stepDone reports whether all tasks of a step have ended as done.
func (j *job) stepDone(s int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range j.steps[s].Count {
		if !j.done[fmt.Sprintf("%s.0.%d.%d", j.id, s, i)] {
			return false
		}
	}
	return true
}

// allDone reports whether all tasks have ended as done.
func (j *job) allDone() bool {
	for s := range j.steps {
		if !j.stepDone(s) {
			return false
		}
	}
	return true
}

// isCancelled reports whether the job's cancelling was acknowledged.
func (j *job) isCancelled() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return !j.cancelled.IsZero()
}
