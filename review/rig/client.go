package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const (
	// resendDelay is resend_ms.
	resendDelay = 1300 * time.Millisecond
	// maxAttempts bounds how often a client sends a job.
	maxAttempts = 4
)

// client is a stand-in for the clients of a zone behind one address. Each new connection goes
// to a node that the balancer chooses.
type client struct {
	w    *world
	zone string
	http *http.Client
}

func newClient(w *world, zone string) *client { return newClientOf(w, zone, nil) }

// newClientOf returns a client whose connections go to one node, or to any if that is nil.
func newClientOf(w *world, zone string, n *node) *client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		to := n
		if to == nil {
			to = w.balance(zone)
		}
		var d net.Dialer
		return d.DialContext(ctx, "tcp", to.front())
	}
	return &client{w: w, zone: zone, http: &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 8, DisableCompression: true, IdleConnTimeout: 12 * time.Second}}}
}

// newID returns a job's id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newSpec returns a text of a usual length.
func newSpec() string {
	b := make([]byte, 1000)
	for i := range b {
		b[i] = "0123456789abcdefghijklmnopqrstuv"[rand.N(32)]
	}
	return string(b)
}

// answer is a response to a client, with status 0 if there was none.
type answer struct {
	status int
	state  string
	body   string
	err    error
}

// do sends a request and waits for the response until the deadline.
func (c *client) do(method, path string, body []byte, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	// The reader's type is hidden, so that the request is not sent again on its own.
	r, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, struct{ io.Reader }{bytes.NewReader(body)})
	if err != nil {
		return answer{err: err}
	}
	r.ContentLength = int64(len(body))
	if len(body) == 0 {
		r.Body = nil
	}
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: resp.StatusCode, body: string(b)}
	var state struct{ State string }
	if json.Unmarshal(b, &state) == nil {
		a.state = state.State
	}
	return a
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d %.100s", a.status, a.body)
}

// post sends a job once.
func (c *client) post(j *job, prefix string, deadline time.Duration) answer {
	body, err := json.Marshal(map[string]any{"spec": j.spec, "steps": j.steps, "best_effort": true})
	if err != nil {
		return answer{err: err}
	}
	j.mu.Lock()
	j.attempts++
	j.mu.Unlock()
	c.w.rec.log("client POST %s", j.id)
	a := c.do(http.MethodPost, prefix+j.id, body, deadline)
	c.w.rec.log("client POST %s -> %v", j.id, a)
	if a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable {
		j.mu.Lock()
		j.rejected++
		j.mu.Unlock()
	}
	if a.state == "completed" && !j.allDone() {
		c.w.rec.breaks("MIXED", "job %s is shown as completed, and a task has not ended so", j.id)
	}
	return a
}

// submit sends a job, and again after no response, a broken connection, a 502 or a 504.
func (c *client) submit(j *job, prefix string, deadline time.Duration) answer {
	var a answer
	for range maxAttempts {
		a = c.post(j, prefix, deadline)
		if a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			return a
		}
		time.Sleep(resendDelay)
		if j.isCancelled() {
			break
		}
	}
	return a
}

// cancel cancels a job.
func (c *client) cancel(j *job, prefix string, deadline time.Duration) answer {
	c.w.rec.log("client DELETE %s", j.id)
	a := c.do(http.MethodDelete, prefix+j.id, nil, deadline)
	c.w.rec.log("client DELETE %s -> %v", j.id, a)
	if a.status/100 == 2 || a.status == http.StatusGone {
		j.mu.Lock()
		if j.cancelled.IsZero() {
			j.cancelled = time.Now()
		}
		j.mu.Unlock()
	}
	return a
}
