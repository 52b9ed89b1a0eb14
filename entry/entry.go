// Package entry keeps the jobs of callers at the process that accepted them.
//
// A job lives here and nowhere else: its tasks are placed by the planner, started and
// watched by the workers' holders, and counted here. The caller gets the final answer
// when every task is done, when one has failed as often as its queue allows, or when the
// job is refused.
//
// The rules that Jobs keeps:
//
//   - a task is placed again only after its run is known to be over;
//   - a refusal ("not run, will not run") is given only while no run of the job can have
//     begun; after that the caller is told that the outcome is unknown;
//   - when the caller leaves, the job's deadline passes or the job has failed, what still
//     runs is stopped, and the job is remembered until that has ended.
//
// Limits: a job is lost with its process. Its runs are stopped by the holders when this
// process becomes unreachable to them, before the caller retries.
package entry

import (
	"fmt"
	"log/slog"
	"time"

	"snipehub.example/catalog"
	"snipehub.example/lease"
)

// Request is a job as a caller submits it.
type Request struct {
	ID    string
	Queue catalog.Queue
	// Spec is passed to the workers unchanged.
	Spec  string
	Steps []Step
	// Timeout is the job's timeout: how long the caller waits for the answer.
	Timeout time.Duration
}

// Step is a number of tasks with the same requirements.
type Step struct {
	Count     int
	Resources lease.Resources
	Estimate  time.Duration
	// DependsOn are the indexes of the steps whose tasks must be done first.
	DependsOn []int
	// Label is a label that the worker must have; Rack is where the data is;
	// MaxPerWorker is the maximum number of tasks of the step on one worker.
	Label        string
	Rack         string
	MaxPerWorker int
}

// taskCount returns the number of tasks of all steps.
func (r Request) taskCount() int {
	n := 0
	for _, s := range r.Steps {
		n += s.Count
	}
	return n
}

// Status is the final answer to a job.
type Status int

// The final answers.
const (
	// Completed: all tasks are done.
	Completed Status = iota + 1
	// Failed: a task has failed as often as the queue allows.
	Failed
	// Refused: nothing has run and nothing will.
	Refused
	// Unknown: the job was given up, and tasks may have run.
	Unknown
	// Cancelled: a caller has cancelled the job, and nothing of it starts any more.
	Cancelled
)

var statusNames = map[Status]string{Completed: "completed", Failed: "failed", Refused: "refused", Unknown: "unknown", Cancelled: "cancelled"}

// String returns the status's name.
func (s Status) String() string { return statusNames[s] }

// LogValue logs the status by its name.
func (s Status) LogValue() slog.Value { return slog.StringValue(s.String()) }

// Answer is what the caller is told.
type Answer struct {
	Status Status
	// Why is the reason in a word, for the logs.
	Why string
	// RetryAfter is, for a refusal, how long the caller should wait before it retries.
	RetryAfter time.Duration
}

// isFinal reports whether a copy of the request gets the same answer: the job must not run again.
func (a Answer) isFinal() bool {
	return a.Status == Completed || a.Status == Failed || a.Status == Cancelled
}

// Knowledge is what is known of whether a job exists.
type Knowledge int

const (
	// Undetermined: a process that may have the job did not answer.
	Undetermined Knowledge = iota
	// Absent: no process that can be reached has the job.
	Absent
	// Present: a process has the job, or still has its answer.
	Present
)

var knowledgeNames = map[Knowledge]string{Undetermined: "undetermined", Absent: "absent", Present: "present"}

// String returns the name.
func (k Knowledge) String() string { return knowledgeNames[k] }

// LogValue logs the knowledge by its name.
func (k Knowledge) LogValue() slog.Value { return slog.StringValue(k.String()) }

// JobState is what is known of a job.
type JobState struct {
	Knowledge Knowledge `cbor:"1,keyasint,omitzero"`
	// Started is set if a task may have started, Status is that of the final answer or zero.
	Started bool   `cbor:"2,keyasint,omitzero"`
	Status  Status `cbor:"3,keyasint,omitzero"`
}

// taskName returns the name under which workers know a task: the job, the occurrence
// (always the first), the step and the index in the step.
func taskName(job string, step, index int) lease.Task {
	return lease.Task(fmt.Sprintf("%s.0.%d.%d", job, step, index))
}
