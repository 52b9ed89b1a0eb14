//go:build !race || matrix

package matrix_test

import (
	"encoding/json"
	"fmt"
	"net/http"

	"snipehub.example/job"
	"snipehub.example/refusal"
	"snipehub.example/stand"
)

// said is what a caller was told about an identity.
type said struct {
	call
	refusal *refusal.Refusal
	answer  job.Answer
	// passed tells that a request got its backend server's whole answer.
	passed bool
}

// call is a submission under an identity: a job id, or the caller's own key.
// The work of a key has a kind that no other work has, by which the backend
// servers' records tell it apart.
type call struct {
	id    string
	key   string
	kind  string
	tasks int
	// request tells that it is one request passed through, and no job.
	request bool
}

// name is the identity.
func (c call) name() string { return c.id + c.key }

// to makes the HTTP request of the call.
func (c call) to(n *node) (method, url string, header map[string]string, body []byte) {
	header = make(map[string]string)
	if c.key != "" {
		header["Idempotency-Key"] = c.key
	}
	if c.request {
		if c.id != "" {
			header["Snipe-Job"] = c.id
		}
		return http.MethodPost, n.callers() + "/v1/requests/" + c.kind, header, []byte(`"` + c.name() + `"`)
	}
	spec := job.Spec{Kind: c.kind}
	for i := range c.tasks {
		spec.Tasks = append(spec.Tasks, json.RawMessage(fmt.Sprintf(`"%s %d"`, c.name(), i)))
	}
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	if c.key != "" {
		return http.MethodPost, n.callers() + "/v1/jobs", header, body
	}
	return http.MethodPut, n.callers() + "/v1/jobs/" + c.id, header, body
}

// record asks a backend server for its starts, in their order.
func (w *system) record(k *workerNode) []stand.Start {
	_, b, err := w.do(http.MethodGet, fmt.Sprintf("http://%s/stand/starts?view=full", k.address()), nil, nil)
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
	status, b, err := w.do(http.MethodPost, n.callers()+"/v1/tickets", nil, nil)
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
	return w.ask(n, call{id: id, kind: kind, tasks: tasks})
}

// ask makes the call over a dispatcher and keeps what the caller is told.
func (w *system) ask(n *node, c call) said {
	s := said{call: c}
	method, url, header, body := c.to(n)
	status, out, err := w.do(method, url, body, header)
	switch {
	case err != nil:
		return s
	case status < 300 && c.request:
		s.passed = true
	case status < 300:
		err = json.Unmarshal(out, &s.answer)
	default:
		s.refusal = new(refusal.Refusal)
		err = json.Unmarshal(out, s.refusal)
	}
	if err != nil {
		w.t.Errorf("%s: answer %q: %v", c.name(), out, err)
	}
	w.mu.Lock()
	w.said = append(w.said, s)
	w.mu.Unlock()
	return s
}

// done tells whether the caller got the whole answer.
func (s said) done() bool { return s.refusal == nil && (s.passed || s.answer.State == job.Done) }

// settled tells whether the caller got a final word: an answer, or a refusal
// with which it need not come back under the same id.
func (s said) settled() bool {
	if s.refusal != nil {
		return s.refusal.Again != refusal.AgainSame
	}
	return s.passed || s.answer.State == job.Done || s.answer.State == job.Failed
}
