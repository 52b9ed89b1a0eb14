package entry

import (
	"fmt"
	"log/slog"
	"syscall"
	"testing"
	"time"

	"snipehub.example/cell"
	"snipehub.example/lease"
)

// Guards against the work for a job growing with the square of its tasks or steps: a job of
// 1,300 steps took a process seven seconds of processor time. A task may take a millisecond,
// with the race detector as well.
func TestWorkOfLargeJobs(t *testing.T) {
	const tasks, maxTime = 1300, 1300 * time.Millisecond
	wide := request(tasks)
	independent, chain := request(), request()
	for i := range tasks {
		independent.Steps = append(independent.Steps, Step{Count: 1})
		chain.Steps = append(chain.Steps, Step{Count: 1})
		if i > 0 {
			chain.Steps[i].DependsOn = []int{i - 1}
		}
	}
	tests := []struct {
		name string
		job  Request
	}{
		{"one step", wide},
		{"independent steps", independent},
		{"chain of steps", chain},
	}
	for _, tt := range tests {
		began := processorTime(t)
		js := New(slog.New(slog.DiscardHandler))
		js.SetPlanner(ms(0), planner)
		js.Submit(ms(0), 1, tt.job)
		ends := completeJob(js)
		if took := processorTime(t) - began; ends != tasks || took > maxTime {
			t.Errorf("%s: %d ends, %v of processor time; want %d, and %v at most", tt.name, ends, took, tasks, maxTime)
		}
	}
}

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// completeJob has all tasks done that are requested, and returns how many.
func completeJob(js *Jobs) (ends int) {
	for requests := takeActions(js).requests; len(requests) > 0; {
		for _, r := range requests {
			g := cell.Grant{Job: r.Job}
			for _, run := range r.Tasks {
				g.Items = append(g.Items, cell.GrantedRun{Run: run, Worker: "w", Holder: holder, Fence: 1})
			}
			js.Grant(ms(1), planner, g)
		}
		a := takeActions(js)
		requests = a.requests
		for _, s := range a.starts {
			for _, run := range s.Runs {
				ends++
				js.Ended(ms(2), holder, Ended{Worker: "w", End: lease.End{Run: run.Run, Outcome: lease.Done}})
			}
		}
		requests = append(requests, takeActions(js).requests...)
	}
	return ends
}

// Guards against memory that follows from the count of a job: a hundred requests of a hundred
// bytes, for 10,000 tasks each, took more memory than a VM has.
func TestTasksOfAProcessAreBounded(t *testing.T) {
	js := New(slog.New(slog.DiscardHandler))
	js.SetPlanner(ms(0), planner)
	job := func(i int) Request {
		r := request(10_000)
		r.ID = fmt.Sprintf("%016x", i)
		return r
	}
	for i := range 100 {
		js.Submit(ms(0), Waiter(i), job(i))
	}
	got := takeActions(js)
	if js.Tasks() > maxTasks || len(got.answers) != 97 || got.answers[0].Answer.Status != Refused || got.answers[0].Answer.RetryAfter < minRetryAfter {
		t.Fatalf("%d tasks, %d answers; want 30,000 at most and the other jobs refused", js.Tasks(), len(got.answers))
	}
	js.Cancel(ms(1), job(0).ID)
	takeActions(js)
	js.Submit(ms(2), 1000, job(1000))
	if got := takeActions(js); len(got.requests) != 1 {
		t.Errorf("%d requests after a job has ended, want the next one admitted", len(got.requests))
	}
}

// Guards against tasks of finished jobs counting as long as their answer is remembered: a busy
// process would refuse jobs although hardly any are at work.
func TestFinishedJobsHaveNoTasks(t *testing.T) {
	js, req := newRunningJobs(t, request(2))
	for _, r := range req.Tasks {
		js.Ended(ms(20), holder, Ended{Worker: "w", End: lease.End{Run: r, Outcome: lease.Done}})
	}
	if s := js.State(jobID); s.Status != Completed || js.Tasks() != 0 {
		t.Errorf("state %+v, %d tasks; want the answer remembered, and none", s, js.Tasks())
	}
}
