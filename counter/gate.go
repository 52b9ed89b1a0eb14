package counter

import (
	"net/http"
	"sync"

	"snipehub.example/refusal"
)

// requestLimiter bounds the number of open requests and the total size of their bodies.
// Without it, callers who send large bodies slowly, or thousands of waiting callers, would
// exhaust the memory of the process, and the kernel would kill it with all running jobs.
type requestLimiter struct {
	maxRequests int
	maxBytes    int64

	mu            sync.Mutex
	openRequests  int
	reservedBytes int64
}

// acquire reserves a request with a body of up to size bytes. It returns the number of
// open requests, and whether the reservation was within the limits.
func (l *requestLimiter) acquire(size int64) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.openRequests >= l.maxRequests || l.reservedBytes+size > l.maxBytes {
		return l.openRequests, false
	}
	l.openRequests++
	l.reservedBytes += size
	return l.openRequests, true
}

// release ends a reservation of size bytes. It returns the number of open requests.
func (l *requestLimiter) release(size int64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openRequests--
	l.reservedBytes -= size
	return l.openRequests
}

// maxBodySize returns the maximum memory that the body of the request can take.
func (c *Counter) maxBodySize(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > c.cfg.Limits.BodyBytes {
		return c.cfg.Limits.BodyBytes
	}
	return r.ContentLength
}

// checkHeader checks the size of the header. The limit of http.Server is higher, and its
// answer has no refusal in the body.
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
