// Package job manages a job at the dispatcher that owns it, from its submission through the
// outcomes of its tasks to the stored answer.
//
// The answer to a job is complete (every task done) or failed, never partial. It becomes
// visible only when it is complete in memory.
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
	// TimeoutMS is the timeout of the whole job; 0 selects the default.
	TimeoutMS int64             `json:"timeout_ms,omitempty"`
	Tasks     []json.RawMessage `json:"tasks"`
}

// Timeout returns the timeout of the job, or def if the caller gave none.
func (s Spec) Timeout(def time.Duration) time.Duration {
	if s.TimeoutMS <= 0 {
		return def
	}
	return time.Duration(s.TimeoutMS) * time.Millisecond
}

// State is the state of a job.
type State string

// The states. Done and Failed are final.
const (
	Running State = "running"
	Done    State = "done"
	Failed  State = "failed"
	Unknown State = "unknown"
)

// TaskResult is the outcome of one task.
type TaskResult struct {
	Ran refusal.Ran `json:"ran"`
	// Done is set if the backend server's answer is complete.
	Done   bool            `json:"done"`
	Answer json.RawMessage `json:"answer,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// Answer is the answer to a job. When the job has ended, Tasks has an element for each task
// of the submission, in the same order; they hold answers only if the job is done.
type Answer struct {
	Job   string       `json:"job"`
	State State        `json:"state"`
	Tasks []TaskResult `json:"tasks,omitempty"`
	Error string       `json:"error,omitempty"`
}

// Caller identifies the caller that submits a job or a request.
type Caller struct {
	Name string `json:"name"`
	Team string `json:"team,omitempty"`
}

// Grant is a new ticket: a range of sequence numbers that its caller may use.
type Grant struct {
	Ticket string `json:"ticket"`
	// First and Limit bound the range: First <= sequence < Limit.
	First uint64 `json:"first"`
	Limit uint64 `json:"limit"`
	// Window is the maximum number of sequences from the oldest unfinished one to
	// the newest one, both included.
	Window int `json:"window"`
}

// Submission is one PUT of a job.
type Submission struct {
	Caller Caller       `json:"caller"`
	ID     ticket.JobID `json:"id"`
	// Key is the caller's own key, if it sends one in place of an id.
	Key  string `json:"key,omitempty"`
	Spec Spec   `json:"spec"`
	// Wait delays the answer until the job has ended, or until WaitFor has passed if
	// that is above 0.
	Wait    bool          `json:"wait"`
	WaitFor time.Duration `json:"wait_for,omitempty"`
}

// Request is one request that is passed through to a backend server. ID or Key is set if
// the caller gave an identity, which is required for kinds that must not be repeated.
type Request struct {
	Caller Caller        `json:"caller"`
	ID     *ticket.JobID `json:"id,omitempty"`
	Key    string        `json:"key,omitempty"`
	Kind   string        `json:"kind"`
	Type   string        `json:"type,omitempty"`
	Body   []byte        `json:"body"`
	// Timeout is the timeout of the request; 0 selects the default.
	Timeout time.Duration `json:"timeout,omitempty"`
}

// Reply is the backend server's complete answer to a request.
type Reply struct {
	Status int    `json:"status"`
	Type   string `json:"type,omitempty"`
	Body   []byte `json:"body,omitempty"`
}

// TimeoutOr returns the timeout of the request, or def if it has none.
func (r Request) TimeoutOr(def time.Duration) time.Duration {
	if r.Timeout <= 0 {
		return def
	}
	return r.Timeout
}

// Digest returns a digest by which two submissions of one identity are compared.
func (s Submission) Digest() uint64 {
	return submissionDigest(s.Spec.Kind, "", compactJSON(s.Spec.Tasks))
}

// Digest returns a digest by which two requests of one identity are compared.
func (r Request) Digest() uint64 {
	return submissionDigest(r.Kind, r.Type, [][]byte{r.Body})
}
