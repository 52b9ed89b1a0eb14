package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// resendAfter is when a client sends a job again that got no answer (resend_ms).
const resendAfter = 1300 * time.Millisecond

// step is a step of a job, on the wire.
type step struct {
	Count     int    `json:"count"`
	CPU       int    `json:"cpu"`
	Memory    int    `json:"mem_mb"`
	Estimate  int    `json:"estimate_ms"`
	DependsOn []int  `json:"depends_on,omitempty"`
	Label     string `json:"requirements,omitempty"`
}

// order is a job as a client submits it.
type order struct {
	// spec tells the minions what a task takes.
	spec  string
	steps []step
	// patience is how long the client waits.
	patience time.Duration
}

// plainOrder returns a job of one step of equal tasks.
func plainOrder(tasks, ms, cpu int, label string, patience time.Duration) order {
	spec := fmt.Sprintf("ms=%d cpu=%d", ms, cpu)
	if label != "" {
		spec += " need=" + label
	}
	return order{spec, []step{{Count: tasks, CPU: cpu, Memory: 64, Estimate: ms, Label: label}}, patience}
}

// chainOrder returns a job of steps with one task each, one after the other.
func chainOrder(steps, ms, cpu int, patience time.Duration) order {
	o := order{spec: fmt.Sprintf("ms=%d cpu=%d", ms, cpu), patience: patience}
	for i := range steps {
		s := step{Count: 1, CPU: cpu, Memory: 64, Estimate: ms}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// newID returns a job's id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is how a request ended: with a status, or with 0 and how its connection ended.
type answer struct {
	status int
	// broken is set if the connection ended before a complete answer, and not because the
	// client's time was over.
	broken bool
	at     time.Time
}

// client sends jobs as the pages say.
type client struct {
	w    *world
	http *http.Client
	home int
}

func (w *world) newClient(home int) *client {
	return &client{w, &http.Client{Transport: &http.Transport{}}, home}
}

// submit hands a job in, and again to another process after no answer, a broken connection,
// 502 or 504. It returns the last answer.
func (c *client) submit(id string, o order) answer {
	var a answer
	for try := range 3 {
		a = c.send(c.w.processes[(c.home+try)%len(c.w.processes)], id, o)
		if a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			return a
		}
		time.Sleep(resendAfter)
	}
	return a
}

// send sends a job once.
func (c *client) send(p *process, id string, o order) answer {
	body, _ := json.Marshal(map[string]any{"spec": o.spec, "steps": o.steps, "best_effort": true})
	c.w.rec.printf("client sends POST %s to %s: %s", id, p.name, body)
	return c.request(http.MethodPost, p, id, body, o.patience)
}

// cancel cancels a job at a process.
func (c *client) cancel(p *process, id string) answer {
	c.w.rec.printf("client sends DELETE %s to %s", id, p.name)
	return c.request(http.MethodDelete, p, id, nil, 2500*time.Millisecond)
}

func (c *client) request(method string, p *process, id string, body []byte, patience time.Duration) answer {
	r, err := http.NewRequest(method, "http://"+p.address+prefix+id, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	r.Host = host
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	hc := &http.Client{Transport: c.http.Transport, Timeout: patience}
	resp, err := hc.Do(r)
	var content []byte
	if err == nil {
		content, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	if err != nil {
		a := answer{broken: !errors.Is(err, os.ErrDeadlineExceeded) && !isTimeout(err), at: time.Now()}
		c.w.rec.printf("client gets no answer to %s %s from %s, broken off %v", method, id, p.name, a.broken)
		return a
	}
	c.w.rec.printf("client gets %d to %s %s from %s: %s", resp.StatusCode, method, id, p.name, bytes.TrimSpace(content))
	return answer{status: resp.StatusCode, at: time.Now()}
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// tally counts the answers of several clients.
type tally struct {
	mu              sync.Mutex
	answers, served int
}

func (t *tally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers++
	if a.status == http.StatusOK {
		t.served++
	}
}

// load has clients submit the same job again and again until stop is closed.
func (w *world) load(clients int, pause time.Duration, o func(i int) order, stop <-chan struct{}) (*tally, *sync.WaitGroup) {
	t, wg := &tally{}, &sync.WaitGroup{}
	for i := range clients {
		wg.Go(func() {
			c := w.newClient(i % len(w.processes))
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				t.add(c.submit(newID(), o(i)))
			}
		})
	}
	return t, wg
}
