package matrix_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"snipehub.example/job"
	"snipehub.example/refusal"
	"snipehub.example/stand"
)

// said is what a caller was told about an identity.
type said struct {
	id      string
	kind    string
	refusal *refusal.Refusal
	answer  job.Answer
	tasks   int
}

// record asks a backend server for its starts, in their order.
func (w *system) record(k *workerNode) []stand.Start {
	_, b, err := w.do(http.MethodGet, fmt.Sprintf("http://%s/stand/starts?view=full", k.address()), nil)
	var out struct {
		Starts []stand.Start `json:"starts"`
	}
	if err == nil {
		err = json.Unmarshal(b, &out)
	}
	if err != nil {
		w.t.Errorf("record of %s: %v", k.ip, err)
	}
	return out.Starts
}

func (n *node) callers() string { return fmt.Sprintf("http://%s:%d", n.ip, callerPort) }

// mint takes a ticket over a dispatcher.
func (w *system) mint(n *node) (job.Grant, bool) {
	status, b, err := w.do(http.MethodPost, n.callers()+"/v1/tickets", nil)
	var g job.Grant
	if err != nil || status != http.StatusCreated || json.Unmarshal(b, &g) != nil {
		return g, false
	}
	return g, true
}

// put submits a job of the kind "check".
func (w *system) put(n *node, id string, tasks int) said {
	return w.submit(n, id, "check", tasks)
}

// submit submits a job of the given number of tasks and keeps what it is told.
func (w *system) submit(n *node, id, kind string, tasks int) said {
	spec := job.Spec{Kind: kind}
	for i := range tasks {
		spec.Tasks = append(spec.Tasks, json.RawMessage(fmt.Sprintf(`"%s %d"`, id, i)))
	}
	b, err := json.Marshal(spec)
	if err != nil {
		w.t.Error(err)
	}
	s := said{id: id, kind: kind, tasks: tasks}
	status, out, err := w.do(http.MethodPut, n.callers()+"/v1/jobs/"+id, b)
	switch {
	case err != nil:
		return s
	case status < 300:
		err = json.Unmarshal(out, &s.answer)
	default:
		s.refusal = new(refusal.Refusal)
		err = json.Unmarshal(out, s.refusal)
	}
	if err != nil {
		w.t.Errorf("%s: answer %q: %v", id, out, err)
	}
	w.mu.Lock()
	w.said = append(w.said, s)
	w.mu.Unlock()
	return s
}

// done tells whether the caller got the whole answer.
func (s said) done() bool { return s.refusal == nil && s.answer.State == job.Done }

// settled tells whether the caller got a final word: an answer, or a refusal
// with which it need not come back under the same id.
func (s said) settled() bool {
	if s.refusal != nil {
		return s.refusal.Again != refusal.AgainSame
	}
	return s.answer.State == job.Done || s.answer.State == job.Failed
}

// starts counts starts by task, over all backend servers and attempts.
func (w *system) starts() map[string]int {
	all := make(map[string]int)
	for _, k := range w.workers {
		_, b, err := w.do(http.MethodGet, fmt.Sprintf("http://%s:%d/stand/starts", k.ip, workerPort), nil)
		if err != nil {
			w.t.Errorf("starts: %v", err)
			continue
		}
		m := make(map[string]int)
		if err := json.Unmarshal(b, &m); err != nil {
			w.t.Errorf("starts: %v", err)
		}
		for id, n := range m {
			all[id[:strings.LastIndex(id, "/")]] += n
		}
	}
	return all
}

// check holds what must always hold.
func (w *system) check() {
	starts := w.starts()
	for task, n := range starts {
		if n > 1 {
			w.t.Errorf("task %s started %d times", task, n)
		}
	}
	for _, s := range w.said {
		w.checkOne(s, starts)
	}
}

func (w *system) checkOne(s said, starts map[string]int) {
	ran := 0
	for i := range s.tasks {
		ran += starts[fmt.Sprintf("%s/%d", s.id, i)]
	}
	if s.refusal != nil {
		if s.refusal.Ran == refusal.RanNo && ran > 0 {
			w.t.Errorf("job %s: the caller was told %q, ran no, but %d tasks started", s.id, s.refusal.Code, ran)
		}
		return
	}
	if s.answer.State != job.Done {
		for i, r := range s.answer.Tasks {
			if r.Ran == refusal.RanNo && starts[fmt.Sprintf("%s/%d", s.id, i)] > 0 {
				w.t.Errorf("job %s: task %d was told not run, but started", s.id, i)
			}
			if len(r.Answer) > 0 {
				w.t.Errorf("job %s: a job that is not done shows the answer of task %d", s.id, i)
			}
		}
		return
	}
	if len(s.answer.Tasks) != s.tasks || s.answer.Job != s.id {
		w.t.Errorf("job %s: answer for %s with %d of %d tasks", s.id, s.answer.Job, len(s.answer.Tasks), s.tasks)
	}
	for i, r := range s.answer.Tasks {
		if !r.Done || len(r.Answer) == 0 {
			w.t.Errorf("job %s: done, but task %d has no answer", s.id, i)
		}
	}
}
