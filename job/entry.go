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

// entry is an identity that is running or whose outcome is stored.
type entry struct {
	mintedTicket *mintedTicket
	seq          uint64
	sum          uint64
	// ended is closed when the outcome is set.
	ended chan struct{}
	// remaining is the number of tasks without a result.
	remaining int
	// results has one element for each task; reported marks those that are set.
	results  []TaskResult
	reported []bool
	// cancelled is set if the caller has cancelled the job. It is needed because a
	// cancellation can arrive before the tasks are queued.
	cancelled bool
	outcome   Outcome
	// endedAt, sizeBytes and element (in ticketTable.ended) are set when the entry
	// has ended.
	endedAt   time.Time
	sizeBytes int64
	element   *list.Element
}

// Outcome is the outcome of an identity: an answer, a reply or a refusal.
type Outcome struct {
	Answer  *Answer          `json:"answer,omitempty"`
	Reply   *Reply           `json:"reply,omitempty"`
	Refused *refusal.Refusal `json:"refused,omitempty"`
}

// entryOverheadBytes is the estimated memory of an entry without its answer.
const entryOverheadBytes = 512

// size estimates the memory of the outcome in bytes.
func (o Outcome) size() int64 {
	n := int64(entryOverheadBytes)
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

// AsAnswer returns the outcome as the answer to a job.
func (o Outcome) AsAnswer() (Answer, error) {
	switch {
	case o.Refused != nil:
		return Answer{}, o.Refused
	case o.Answer != nil:
		return *o.Answer, nil
	}
	return Answer{}, refusal.New(refusal.Mismatch, "it is a request, not a job")
}

// AsReply returns the outcome as the reply to a request.
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

// requestOutcome returns the outcome of a request for the result of its only task.
func requestOutcome(id string, r dispatch.Result) Outcome {
	switch {
	case r.Done:
		return Outcome{Reply: &Reply{Status: r.Status, Type: r.Type, Body: r.Answer}}
	case r.Ran == refusal.RanNo:
		return Outcome{Refused: refusal.New(refusal.NoServer, r.Error).WithRetryAfter(time.Second)}
	}
	return Outcome{Answer: &Answer{Job: id, State: Failed, Error: r.Error, Tasks: []TaskResult{{Ran: r.Ran, Error: r.Error}}}}
}

// setResult sets the result of task i and reports whether it was the last one missing. A
// second result of the same task is ignored: counted twice, it would end the job while
// another task still runs, and the caller would get a partial answer.
func (e *entry) setResult(i int, r TaskResult) bool {
	if e.remaining == 0 || e.reported[i] {
		return false
	}
	e.reported[i] = true
	e.results[i] = r
	e.remaining--
	return e.remaining == 0
}

// jobAnswer returns the answer to a job whose tasks have all ended. It omits the answers
// of single tasks if the job has failed, so that nobody takes a partial answer for a
// complete one.
func jobAnswer(id string, results []TaskResult, cancelled bool) *Answer {
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

// submissionDigest returns a digest by which two jobs or two requests that were submitted
// under one identity are compared.
func submissionDigest(kind, contentType string, bodies [][]byte) uint64 {
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

// compactJSON returns the bodies of the tasks without insignificant space, so that a caller
// that formats its JSON differently still submits the same job. It returns malformed JSON
// as it is.
func compactJSON(in []json.RawMessage) [][]byte {
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
