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
	"strconv"
	"time"
)

// client is a stand-in for a client. Its connections come from an address of its own, and
// each request opens a new one, which the platform's balancer forwards.
type client struct {
	world *world
	name  string
	zone  string
	http  *http.Client
}

func (w *world) newClient(i int) *client {
	c := &client{world: w, name: fmt.Sprintf("client-%d", i), zone: zones[i%len(zones)]}
	local := &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("%s.%d", w.net, 100+i%120))}
	c.http = &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext:       (&net.Dialer{LocalAddr: local, Timeout: 2 * time.Second}).DialContext,
	}}
	return c
}

// step is one step of a job.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	Memory       int    `json:"mem_mb,omitempty"`
	GPU          int    `json:"gpu,omitempty"`
	Estimate     int    `json:"estimate_ms,omitempty"`
	DependsOn    []int  `json:"depends_on,omitempty"`
	Requirements string `json:"requirements,omitempty"`
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// do sends one request over the balancer and returns the status, 0 if there was no answer.
func (c *client) do(method, path string, body any, wait time.Duration) (status int, answer string, by *node) {
	n := c.world.choose(c.name, c.zone)
	if n == nil {
		return 0, "no process", nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	b, _ := json.Marshal(body)
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", n.ip, frontPort, path), bytes.NewReader(b))
	if err != nil {
		return 0, err.Error(), n
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, "no answer", n
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "answer cut off", n
	}
	return resp.StatusCode, string(out), n
}

// post hands a job in once.
func (c *client) post(id, spec string, steps []step, wait time.Duration) (int, string, *node) {
	if n := c.world.choose(c.name, c.zone); n != nil {
		c.world.note("%s sends job %s to %s, with %d steps", c.name, id, n.name, len(steps))
	}
	status, answer, n := c.do(http.MethodPost, prefix+id, map[string]any{"spec": spec, "steps": steps, "best_effort": true}, wait)
	c.world.note("%s gets %d for job %s: %s", c.name, status, id, answer)
	return status, answer, n
}
