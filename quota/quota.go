// Package quota bounds the connections of callers to a process and the memory that their requests
// take, so that callers outside the limits can't end it.
//
// Each connection may take an allowance, which is enough for an ordinary request and is part of
// what a connection costs. What a request takes beyond it comes out of a pool that all share; a
// request that finds the pool used up is refused. So large requests are refused first, and ordinary
// callers are served beside them. When the connections are used up, the oldest one that
// waits for the rest of a request is closed for a new one: an ordinary caller sends a request at
// once, and a connection whose request has arrived is never closed.
//
// What counts is what the bytes become in memory: a header line costs far more than its bytes, and
// a body its buffer and what it is decoded to.
//
// Limits: the memory of a request is an estimate, and garbage is not part of it. A process sets a
// memory limit for the collector besides (debug.SetMemoryLimit).
package quota

import (
	"container/list"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Allowance is how many bytes a request may take without the pool: a text of 4,000 bytes, the
	// longest there is, and a few steps.
	Allowance = 8 << 10
	// connBytes is what an open connection takes: the stacks of its goroutines, its buffers, a
	// waiting job, what has arrived and was not read, and Allowance.
	connBytes = 20<<10 + receiveBytes + Allowance
	// receiveBytes is how much of what callers send the kernel keeps until it is read. By default,
	// it would keep some megabytes for a caller who goes on sending.
	receiveBytes = 16 << 10
	// ownBytes is what a process takes without callers, for planning and leases.
	ownBytes = 28 << 20
	// callerShare is the part of the remaining memory that callers may take, one half for
	// connections and one for the pool; the rest is for garbage.
	callerShare = 0.5
	// minCallerShare is their part of the whole memory where hardly any remains.
	minCallerShare = 0.125
	// callerSocketShare is the part of the sockets that callers may take; the rest is for
	// workers, other processes and the store.
	callerSocketShare = 0.75
	// maxLingeringShare bounds Counts.Lingering, as a part of the limit for connections: the HTTP
	// server keeps the goroutines of some connections for half a second after they were closed.
	maxLingeringShare = 0.25
	// minReadTime is how long a request that is being read keeps its part of the pool for
	// certain. Without it, large requests would evict each other as fast as they arrive.
	minReadTime = time.Second
)

// Limits are the limits of a process.
type Limits struct {
	// Connections is how many connections may be open, 0 for any number.
	Connections int
	// Pool is how many bytes requests may take together beyond Allowance each, 0 for any number.
	Pool int64
}

// LimitsFor returns the limits of a process with an amount of memory, in bytes, and a number of
// sockets. Each may be 0, for unknown.
func LimitsFor(memory int64, sockets int) Limits {
	var l Limits
	if memory > 0 {
		callers := max(float64(memory-ownBytes)*callerShare, float64(memory)*minCallerShare)
		l.Pool = int64(callers / 2)
		l.Connections = max(int(l.Pool/connBytes), 1)
	}
	if sockets > 0 {
		n := max(int(float64(sockets)*callerSocketShare), 1)
		if l.Connections == 0 || n < l.Connections {
			l.Connections = n
		}
	}
	return l
}

// Counts is what a Quota has in use, and what it has done since it was created.
type Counts struct {
	// Connections and Bytes are in use now; Bytes are those of the pool. Lingering are connections
	// that were closed for others and that the server still handles.
	Connections, Lingering int
	Bytes                  int64
	// RefusedConnections were closed at once, ClosedConnections for others while they waited for
	// the rest of a request or were idle. RefusedRequests found the pool used up.
	RefusedConnections, ClosedConnections, RefusedRequests int64
}

// Listen listens on a TCP address for callers under the limits.
func (l Limits) Listen(addr string) (net.Listener, error) {
	var lc net.ListenConfig
	if l != (Limits{}) {
		lc.Control = func(_, _ string, c syscall.RawConn) error {
			// A kernel that does not support it keeps what it would have kept otherwise.
			return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBytes) })
		}
	}
	return lc.Listen(context.Background(), "tcp", addr)
}

// Quota accounts for the callers of a process. It is safe for concurrent use.
type Quota struct {
	limits Limits
	// decoding has a place for each large body that may be decoded at a time.
	decoding chan struct{}

	mu     sync.Mutex
	counts Counts
	// reading and idle hold the connections in these phases, oldest first.
	reading, idle *list.List
}

// New returns a Quota with the given limits.
func New(l Limits) *Quota {
	return &Quota{limits: l, decoding: make(chan struct{}, 1), reading: list.New(), idle: list.New()}
}

// Counts returns the counts.
func (q *Quota) Counts() Counts {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.counts
}

// Limits returns the limits.
func (q *Quota) Limits() Limits { return q.limits }

// Accept takes a new connection into account. It returns nil if the connection was refused and
// closed, since all others are serving requests.
func (q *Quota) Accept(c net.Conn) net.Conn {
	if q.limits == (Limits{}) {
		return c
	}
	conn := &Conn{Conn: c, quota: q}
	conn.inHeader.Store(true)
	victim, ok := q.admit(conn)
	if victim != nil {
		_ = victim.Conn.Close()
	}
	if !ok {
		conn.writeRefusal()
		_ = c.Close()
		return nil
	}
	return conn
}

// admit adds a connection. If there are too many, it drops one for it, which the caller must
// close, or reports that there is none to drop.
func (q *Quota) admit(c *Conn) (victim *Conn, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.limits.Connections > 0 && q.counts.Connections >= q.limits.Connections {
		if float64(q.counts.Lingering) < maxLingeringShare*float64(q.limits.Connections) {
			victim = oldest(q.reading, q.idle)
		}
		if victim == nil {
			q.counts.RefusedConnections++
			return nil, false
		}
		q.evict(victim)
	}
	q.counts.Connections++
	q.setPhase(c, reading)
	return victim, true
}

// oldest returns the oldest connection of the first list that has any, or nil.
func oldest(lists ...*list.List) *Conn {
	for _, l := range lists {
		if e := l.Front(); e != nil {
			return e.Value.(*Conn)
		}
	}
	return nil
}

// drop ends the accounting of a connection. The caller holds mu.
func (q *Quota) drop(c *Conn) {
	if c.phase == closed {
		return
	}
	q.counts.Connections--
	q.setHeld(c, 0)
	q.setPhase(c, closed)
}

// evict drops a connection for another one. The caller holds mu.
func (q *Quota) evict(victim *Conn) {
	q.drop(victim)
	q.counts.ClosedConnections++
	q.counts.Lingering++
	victim.lingering = true
}

// setPhase moves a connection to a phase. The caller holds mu.
func (q *Quota) setPhase(c *Conn, p phase) {
	if c.place != nil {
		q.list(c.phase).Remove(c.place)
		c.place = nil
	}
	c.phase, c.since = p, time.Now()
	if l := q.list(p); l != nil {
		c.place = l.PushBack(c)
	}
}

// list returns the list of the connections in a phase, or nil if there is none.
func (q *Quota) list(p phase) *list.List {
	switch p {
	case reading:
		return q.reading
	case idle:
		return q.idle
	}
	return nil
}

// setHeld changes what a connection's request takes. The caller holds mu.
func (q *Quota) setHeld(c *Conn, n int64) {
	q.counts.Bytes += pooled(n) - pooled(c.held)
	c.held = n
}

// pooled returns how much of what a request takes comes out of the pool.
func pooled(n int64) int64 { return max(n-Allowance, 0) }

// resize has a connection's request take n bytes, and reports whether it may.
func (q *Quota) resize(c *Conn, n int64) bool {
	victims, ok := q.tryResize(c, n)
	for _, v := range victims {
		_ = v.Conn.Close()
	}
	return ok
}

// tryResize is resize, except that the caller must close the connections that were dropped for it.
func (q *Quota) tryResize(c *Conn, n int64) (victims []*Conn, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c.phase == closed {
		return nil, false
	}
	more := pooled(n) - pooled(c.held)
	if more > 0 && q.limits.Pool > 0 {
		victims = q.evictFromPool(c, more)
		if q.counts.Bytes+more > q.limits.Pool {
			q.counts.RefusedRequests++
			return victims, false
		}
	}
	q.setHeld(c, n)
	return victims, true
}

// evictFromPool drops connections until a number of bytes fits into the pool, oldest first: those that
// have taken some of it and have waited for the rest of their request for minReadTime. The caller
// holds mu.
func (q *Quota) evictFromPool(c *Conn, more int64) (victims []*Conn) {
	now := time.Now()
	for e := q.reading.Front(); e != nil && q.counts.Bytes+more > q.limits.Pool; {
		v := e.Value.(*Conn)
		e = e.Next()
		if now.Sub(v.since) < minReadTime {
			break
		}
		if v == c || pooled(v.held) == 0 {
			continue
		}
		q.evict(v)
		victims = append(victims, v)
	}
	return victims
}
