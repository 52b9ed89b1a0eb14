// Package catalog holds what the operator asks for, as the platform publishes it: the
// routes and pools, which say to which queue a caller's request belongs and which pool
// of workers runs its tasks, and the data centres to evacuate.
//
// A catalog is immutable. A Store holds the catalog in force and accepts only
// higher versions: records arrive late, twice and from several sources (the
// platform's store and other processes), and a process that went back to an older
// version would show callers a change that takes effect and is undone again.
package catalog

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Version numbers the operator's configurations. It increases in steps of any size;
// 0 is before the first.
type Version uint64

// Queue is one route: which requests it takes and which pool runs their tasks.
type Queue struct {
	// Name is the operator's name for the route.
	Name string `json:"name"`
	// Host and Prefix select the requests: the host without a port, and the
	// beginning of the path.
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Pool is the name of the pool whose workers run the tasks.
	Pool string `json:"pool"`
	// Rank is the priority of the queue; 0 is the highest.
	Rank int `json:"rank"`
	// Attempts is how many runs of a task may fail before its job fails.
	Attempts int `json:"attempts"`
	// Stretch and Objective define the latency objective of a job: the estimated duration
	// of its longest chain of dependent steps times Stretch, plus Objective.
	Stretch   float64       `json:"stretch"`
	Objective time.Duration `json:"aim"`
	// Timeout bounds a request; 0 means that the route sets none.
	Timeout time.Duration `json:"timeout"`
	// NeedsTicket is set if a worker accepts a task only with a ticket of the
	// platform's adviser, that is, if the platform's record of the route has advice.
	NeedsTicket bool `json:"ticketed,omitempty"`
}

// Pool is a group of workers.
type Pool struct {
	Name string `json:"name"`
	// EnforcesCapacity is set if the workers reject tasks that exceed their capacity.
	EnforcesCapacity bool `json:"guarded"`
	// Connections is the maximum number of connections to one worker; 0 means no
	// limit.
	Connections int `json:"connections"`
}

// Limits bounds the requests and connections of callers.
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

	// byHost is built when the first request is looked up.
	byHost atomic.Pointer[queuesByHost]
}

// queuesByHost lists the positions of each host's queues, the longest prefix first.
type queuesByHost map[string][]int

// hosts returns the queues by host. Goroutines that build it at once build the same.
func (c *Catalog) hosts() queuesByHost {
	if h := c.byHost.Load(); h != nil {
		return *h
	}
	h := make(queuesByHost)
	for i, q := range c.Queues {
		h[q.Host] = append(h[q.Host], i)
	}
	for _, positions := range h {
		slices.SortStableFunc(positions, func(x, y int) int {
			return cmp.Compare(len(c.Queues[y].Prefix), len(c.Queues[x].Prefix))
		})
	}
	c.byHost.Store(&h)
	return h
}

// Find returns the queue of a request, by its host and the longest matching path
// prefix, and the path without that prefix.
func (c *Catalog) Find(host, path string) (q Queue, rest string, ok bool) {
	for _, i := range c.hosts()[stripPort(host)] {
		if q := c.Queues[i]; strings.HasPrefix(path, q.Prefix) {
			return q, strings.TrimPrefix(path, q.Prefix), true
		}
	}
	return Queue{}, path, false
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

// stripPort returns a Host header without its port.
func stripPort(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// Store holds the catalog in force. It is safe for concurrent use.
type Store struct {
	current atomic.Pointer[Catalog]
}

// Current returns the catalog in force, or an empty one of version 0 before the
// first Put.
func (s *Store) Current() *Catalog {
	if c := s.current.Load(); c != nil {
		return c
	}
	return &Catalog{}
}

// Put brings a catalog into force if its version is higher than the current one,
// and reports whether it did.
func (s *Store) Put(c *Catalog) bool {
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
