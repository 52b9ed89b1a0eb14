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
	// passedThrough is set if a request got its backend server's complete answer.
	passedThrough bool
}

// call is a submission under an identity, which is a job id or the caller's own key. Each
// key has a kind of its own, by which the backend servers' records identify its work.
type call struct {
	id    string
	key   string
	kind  string
	tasks int
	// request is set for a single request that is passed through instead of a job.
	request bool
}

// identity returns the job id or the key.
func (c call) identity() string { return c.id + c.key }

// httpRequest returns the parts of the call's HTTP request to a dispatcher.
func (c call) httpRequest(n *node) (method, url string, header map[string]string, body []byte) {
	header = make(map[string]string)
	if c.key != "" {
		header["Idempotency-Key"] = c.key
	}
	if c.request {
		if c.id != "" {
			header["Snipe-Job"] = c.id
		}
		return http.MethodPost, n.callerURL() + "/v1/requests/" + c.kind, header, []byte(`"` + c.identity() + `"`)
	}
	spec := job.Spec{Kind: c.kind}
	for i := range c.tasks {
		spec.Tasks = append(spec.Tasks, json.RawMessage(fmt.Sprintf(`"%s %d"`, c.identity(), i)))
	}
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	if c.key != "" {
		return http.MethodPost, n.callerURL() + "/v1/jobs", header, body
	}
	return http.MethodPut, n.callerURL() + "/v1/jobs/" + c.id, header, body
}

// startsOf requests a backend server's starts, in order.
func (w *system) startsOf(k *workerNode) []stand.Start {
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

func (n *node) callerURL() string { return fmt.Sprintf("http://%s:%d", n.ip, callerPort) }

// mint takes a ticket from a dispatcher.
func (w *system) mint(n *node) (job.Grant, bool) {
	status, b, err := w.do(http.MethodPost, n.callerURL()+"/v1/tickets", nil, nil)
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

// submit submits a job of the given number of tasks and records the answer.
func (w *system) submit(n *node, id, kind string, tasks int) said {
	return w.ask(n, call{id: id, kind: kind, tasks: tasks})
}

// ask makes the call to a dispatcher and records what the caller is told.
func (w *system) ask(n *node, c call) said {
	s := said{call: c}
	method, url, header, body := c.httpRequest(n)
	status, out, err := w.do(method, url, body, header)
	switch {
	case err != nil:
		return s
	case status < 300 && c.request:
		s.passedThrough = true
	case status < 300:
		err = json.Unmarshal(out, &s.answer)
	default:
		s.refusal = new(refusal.Refusal)
		err = json.Unmarshal(out, s.refusal)
	}
	if err != nil {
		w.t.Errorf("%s: answer %q: %v", c.identity(), out, err)
	}
	w.mu.Lock()
	w.said = append(w.said, s)
	w.mu.Unlock()
	return s
}

// done reports whether the caller got the complete answer.
func (s said) done() bool { return s.refusal == nil && (s.passedThrough || s.answer.State == job.Done) }

// isFinal reports whether the caller got a final result: an answer, or a refusal after
// which it need not retry under the same identity.
func (s said) isFinal() bool {
	if s.refusal != nil {
		return s.refusal.Again != refusal.AgainSame
	}
	return s.passedThrough || s.answer.State == job.Done || s.answer.State == job.Failed
}
