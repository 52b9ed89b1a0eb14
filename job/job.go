// Package job holds the life of a job at the dispatcher that owns it: from its
// submission over its tasks' outcomes to the kept answer.
//
// A job's answer is complete (every task done) or failed, never partial. It is
// built whole in memory and only then shown to anybody.
package job

import (
	"encoding/json"
	"time"

	"snipehub.example/refusal"
	"snipehub.example/ticket"
)

// Spec is what a caller submits.
type Spec struct {
	Kind string `json:"kind"`
	// TimeoutMS bounds the whole job; 0 takes the default.
	TimeoutMS int64             `json:"timeout_ms,omitempty"`
	Tasks     []json.RawMessage `json:"tasks"`
}

// Timeout returns the bound of the job, or def when the caller gave none.
func (s Spec) Timeout(def time.Duration) time.Duration {
	if s.TimeoutMS <= 0 {
		return def
	}
	return time.Duration(s.TimeoutMS) * time.Millisecond
}

// State is where a job stands.
type State string

// The states. Done and Failed are final.
const (
	Queued  State = "running"
	Done    State = "done"
	Failed  State = "failed"
	Unknown State = "unknown"
)

// TaskResult is the outcome of one task.
type TaskResult struct {
	Ran refusal.Ran `json:"ran"`
	// Done tells that the whole answer is there.
	Done   bool            `json:"done"`
	Answer json.RawMessage `json:"answer,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// Answer is what a caller gets for a job. Tasks has an entry for each task of
// the submission, in its order; answers stand in it only when the job is done.
type Answer struct {
	Job   string       `json:"job"`
	State State        `json:"state"`
	Tasks []TaskResult `json:"tasks,omitempty"`
	Error string       `json:"error,omitempty"`
}

// Caller is who submits.
type Caller struct {
	Name string `json:"name"`
	Team string `json:"team,omitempty"`
}

// Grant is a new ticket: a range of sequences that its caller may use.
type Grant struct {
	Ticket string `json:"ticket"`
	// First and Limit bound the range: First <= sequence < Limit.
	First uint64 `json:"first"`
	Limit uint64 `json:"limit"`
	// Window is how far apart the oldest unfinished and the newest sequence
	// may lie.
	Window int `json:"window"`
}

// Submission is one PUT of a job.
type Submission struct {
	Caller Caller       `json:"caller"`
	ID     ticket.JobID `json:"id"`
	// Key is the caller's own key, when it brings one in place of an id.
	Key  string `json:"key,omitempty"`
	Spec Spec   `json:"spec"`
	// Wait tells to answer only when the job has ended, or after WaitFor if
	// that is above 0.
	Wait    bool          `json:"wait"`
	WaitFor time.Duration `json:"wait_for,omitempty"`
}

// Request is one request that is passed through to a backend server. ID or Key
// is set when the caller gave an identity; a kind that must not be repeated
// needs one.
type Request struct {
	Caller Caller        `json:"caller"`
	ID     *ticket.JobID `json:"id,omitempty"`
	Key    string        `json:"key,omitempty"`
	Kind   string        `json:"kind"`
	Type   string        `json:"type,omitempty"`
	Body   []byte        `json:"body"`
	// Timeout bounds the request; 0 takes the default.
	Timeout time.Duration `json:"timeout,omitempty"`
}

// Reply is the backend server's whole answer to a request.
type Reply struct {
	Status int    `json:"status"`
	Type   string `json:"type,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// Time returns the bound of the request, or def when it has none.
func (r Request) Time(def time.Duration) time.Duration {
	if r.Timeout <= 0 {
		return def
	}
	return r.Timeout
}

// Sum tells whether two submissions of one identity are the same.
func (s Submission) Sum() uint64 {
	return digest(s.Spec.Kind, "", compact(s.Spec.Tasks))
}

// Sum tells whether two requests of one identity are the same.
func (r Request) Sum() uint64 {
	return digest(r.Kind, r.Type, [][]byte{r.Body})
}
