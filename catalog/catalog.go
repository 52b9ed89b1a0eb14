// Package catalog holds the operator's routes and pools as the platform
// publishes them: which queue a caller's request belongs to, and which pool of
// workers runs its tasks.
//
// A catalog is a value that never changes. A Shelf holds the one in force and
// takes only higher versions: records arrive late, twice and from several
// sources (the platform's store and other processes), and a process that answers
// by an older version than it answered by before would show callers a change
// that comes and goes.
package catalog

import (
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// Version numbers the operator's configurations. It rises in uneven steps; 0 is
// before the first.
type Version uint64

// Queue is one route: where requests come in and which pool runs their tasks.
type Queue struct {
	// Name is the operator's name for the route.
	Name string `json:"name"`
	// Host and Prefix select the requests: the host without a port, and the
	// beginning of the path.
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Pool names the workers.
	Pool string `json:"pool"`
	// Rank orders queues; 0 goes first.
	Rank int `json:"rank"`
	// Attempts is how often a task may end as failed before its job fails.
	Attempts int `json:"attempts"`
	// Stretch and Aim make the latency objective of a job: its longest chain
	// of work times Stretch, and Aim more.
	Stretch float64       `json:"stretch"`
	Aim     time.Duration `json:"aim"`
	// Timeout bounds a request; 0 means that the route names none.
	Timeout time.Duration `json:"timeout"`
	// Ticketed tells that a worker takes a task only with a ticket of the
	// platform's adviser.
	Ticketed bool `json:"ticketed,omitempty"`
}

// Pool is a group of workers.
type Pool struct {
	Name string `json:"name"`
	// Guarded tells that its workers reject what exceeds their capacity.
	Guarded bool `json:"guarded"`
	// Connections bounds the connections to one of its workers; 0 is no bound.
	Connections int `json:"connections"`
}

// Limits bounds what callers may send.
type Limits struct {
	HeaderBytes   int           `json:"header_bytes"`
	BodyBytes     int64         `json:"body_bytes"`
	HeaderTimeout time.Duration `json:"header_timeout"`
	IdleTimeout   time.Duration `json:"idle_timeout"`
}

// Catalog is one version of the operator's configuration.
type Catalog struct {
	Version Version `json:"version"`
	Queues  []Queue `json:"queues"`
	Pools   []Pool  `json:"pools"`
	Limits  Limits  `json:"limits"`
}

// Find returns the queue of a request by its host and the longest prefix of its
// path, and the rest of the path.
func (c *Catalog) Find(host, path string) (q Queue, rest string, ok bool) {
	host = stripPort(host)
	for _, candidate := range c.Queues {
		if candidate.Host == host && strings.HasPrefix(path, candidate.Prefix) && (!ok || len(candidate.Prefix) > len(q.Prefix)) {
			q, ok = candidate, true
		}
	}
	return q, strings.TrimPrefix(path, q.Prefix), ok
}

// Queue returns a queue by name.
func (c *Catalog) Queue(name string) (Queue, bool) {
	for _, q := range c.Queues {
		if q.Name == name {
			return q, true
		}
	}
	return Queue{}, false
}

// Pool returns a pool by name.
func (c *Catalog) Pool(name string) (Pool, bool) {
	for _, p := range c.Pools {
		if p.Name == name {
			return p, true
		}
	}
	return Pool{}, false
}

// stripPort cuts the port off a Host header.
func stripPort(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// Shelf holds the catalog in force. It may be used from any goroutine.
type Shelf struct {
	current atomic.Pointer[Catalog]
}

// Current returns the catalog in force; one of version 0 without queues before
// the first.
func (s *Shelf) Current() *Catalog {
	if c := s.current.Load(); c != nil {
		return c
	}
	return &Catalog{}
}

// Put brings a catalog into force if its version is higher, and tells whether it
// did.
func (s *Shelf) Put(c *Catalog) bool {
	for {
		old := s.current.Load()
		if old != nil && c.Version <= old.Version {
			return false
		}
		if s.current.CompareAndSwap(old, c) {
			return true
		}
	}
}
