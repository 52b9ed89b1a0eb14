package counter

import (
	"net/http"
	"sync"

	"snipehub.example/refusal"
)

// gate bounds how many requests are open and how many bytes their bodies may
// take together. Without it, callers who send large bodies slowly, or who wait
// in their thousands, fill the memory of the process, and the kernel ends it
// with everything that runs.
type gate struct {
	requests int
	bytes    int64

	mu   sync.Mutex
	open int
	used int64
}

// enter takes a place for a request with a body of up to size bytes. It returns
// how many requests are open.
func (g *gate) enter(size int64) (int, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open >= g.requests || g.used+size > g.bytes {
		return g.open, false
	}
	g.open++
	g.used += size
	return g.open, true
}

// leave gives the place back.
func (g *gate) leave(size int64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
	g.used -= size
	return g.open
}

// held is the most that the body of the request can take in memory.
func (c *Counter) held(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > c.cfg.Limits.BodyBytes {
		return c.cfg.Limits.BodyBytes
	}
	return r.ContentLength
}

// checkHeader bounds the header. The server's own limit lies higher and answers
// without a refusal in the body.
func (c *Counter) checkHeader(h http.Header) error {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	if n > c.cfg.Limits.HeaderBytes {
		return refusal.New(refusal.TooLarge, "the header")
	}
	return nil
}
