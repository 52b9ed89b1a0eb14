package job

import (
	"bytes"
	"container/list"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipehub.example/dispatch"
	"snipehub.example/refusal"
)

// entry is an identity that runs or whose outcome is kept.
type entry struct {
	held *held
	seq  uint64
	sum  uint64
	// ended is closed when the outcome is set.
	ended chan struct{}
	left  int
	// results has one place for each task; filled tells which are final.
	results []TaskResult
	filled  []bool
	// cancelled is remembered because a cancellation can arrive before the
	// tasks are in the queue from which they would be taken.
	cancelled bool
	outcome   Outcome
	// at, bytes and place are those of an ended entry among the kept ones.
	at    time.Time
	bytes int64
	place *list.Element
}

// Outcome is what has become of an identity: an answer, a reply or a refusal.
type Outcome struct {
	Answer  *Answer          `json:"answer,omitempty"`
	Reply   *Reply           `json:"reply,omitempty"`
	Refused *refusal.Refusal `json:"refused,omitempty"`
}

// overhead is what an entry costs besides its answer, in bytes.
const overhead = 512

// size estimates the memory of the outcome in bytes.
func (o Outcome) size() int64 {
	n := int64(overhead)
	if o.Reply != nil {
		n += int64(len(o.Reply.Body))
	}
	if o.Answer == nil {
		return n
	}
	for _, t := range o.Answer.Tasks {
		n += int64(len(t.Answer)+len(t.Error)) + 64
	}
	return n
}

// AsAnswer returns the outcome of a job.
func (o Outcome) AsAnswer() (Answer, error) {
	switch {
	case o.Refused != nil:
		return Answer{}, o.Refused
	case o.Answer != nil:
		return *o.Answer, nil
	}
	return Answer{}, refusal.New(refusal.Mismatch, "it is a request, not a job")
}

// AsReply returns the outcome of a request.
func (o Outcome) AsReply() (Reply, error) {
	switch {
	case o.Refused != nil:
		return Reply{}, o.Refused
	case o.Reply != nil:
		return *o.Reply, nil
	case o.Answer != nil && o.Answer.State == Failed:
		return Reply{}, refusal.New(refusal.Failed, o.Answer.Error)
	}
	return Reply{}, refusal.New(refusal.OwnerUnreachable, "it still runs")
}

// requestOutcome turns the result of a request's only task into its outcome.
func requestOutcome(id string, r dispatch.Result) Outcome {
	switch {
	case r.Done:
		return Outcome{Reply: &Reply{Status: r.Status, Type: r.Type, Body: r.Answer}}
	case r.Ran == refusal.RanNo:
		return Outcome{Refused: refusal.New(refusal.NoServer, r.Error).After(time.Second)}
	}
	return Outcome{Answer: &Answer{Job: id, State: Failed, Error: r.Error, Tasks: []TaskResult{{Ran: r.Ran, Error: r.Error}}}}
}

// fill takes the outcome of one task; true when it was the last one. An outcome
// that comes a second time is passed over: counted twice, it would end the job
// while another task still runs, and the caller would get a part for the whole.
func (e *entry) fill(i int, r TaskResult) bool {
	if e.left == 0 || e.filled[i] {
		return false
	}
	e.filled[i] = true
	e.results[i] = r
	e.left--
	return e.left == 0
}

// conclude builds the answer of a job whose tasks have all ended. The answers
// of single tasks are left out of a failed job, so that nobody takes a part for
// the whole.
func conclude(id string, results []TaskResult, cancelled bool) *Answer {
	a := &Answer{Job: id, State: Done, Tasks: results}
	for _, r := range results {
		if !r.Done {
			a.State = Failed
		}
	}
	if a.State == Done {
		return a
	}
	a.Error = "not every task was done"
	if cancelled {
		a.Error = "cancelled"
	}
	for i := range a.Tasks {
		a.Tasks[i].Answer = nil
	}
	return a
}

func taskResult(r dispatch.Result) TaskResult {
	if r.Done && !json.Valid(r.Answer) {
		return TaskResult{Ran: refusal.RanYes, Error: "the backend server's answer is not JSON"}
	}
	return TaskResult{Ran: r.Ran, Done: r.Done, Answer: r.Answer, Error: r.Error}
}

// digest tells whether two submissions of one identity are the same.
func digest(kind, contentType string, bodies [][]byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{kind, contentType} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	for _, b := range bodies {
		_, _ = d.Write(b)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// compact returns the tasks' bodies without insignificant space, so that a
// caller that formats its JSON anew still submits the same job.
func compact(in []json.RawMessage) [][]byte {
	out := make([][]byte, len(in))
	for i, t := range in {
		var b bytes.Buffer
		if json.Compact(&b, t) != nil {
			b.Reset()
			_, _ = b.Write(t)
		}
		out[i] = b.Bytes()
	}
	return out
}
