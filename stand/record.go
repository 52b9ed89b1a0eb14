package stand

import (
	"maps"
	"net/netip"
	"time"
)

// maxStarts bounds the record of one backend server; what comes after it is
// only counted, in Summary.Dropped.
const maxStarts = 500_000

// Start is one task that a backend server began to run.
type Start struct {
	// Task is the id that the dispatcher sent: job, index and attempt.
	Task string `json:"task"`
	// Kind is the kind that the request was made for; the routes table tells
	// which half asks for it.
	Kind   string         `json:"kind"`
	Server netip.AddrPort `json:"server"`
	At     time.Time      `json:"at"`
}

// Summary is the counts of a backend server.
type Summary struct {
	Server netip.AddrPort `json:"server"`
	// Requests are all that were read; each was started or refused.
	Requests int64 `json:"requests"`
	Starts   int64 `json:"starts"`
	Refused  int64 `json:"refused"`
	// Doubles are starts of an id that had been started before.
	Doubles int64 `json:"doubles"`
	// Dropped are starts that the full record did not take.
	Dropped int64            `json:"dropped"`
	Kinds   map[string]int64 `json:"kinds,omitempty"`
	Running int              `json:"running"`
	Peak    int              `json:"peak"`
}

// record is what a backend server remembers of its starts. Its owner locks.
type record struct {
	starts  []Start
	counts  map[string]int
	summary Summary
}

func newRecord(server netip.AddrPort) *record {
	return &record{
		counts:  make(map[string]int),
		summary: Summary{Server: server, Kinds: make(map[string]int64)},
	}
}

func (r *record) start(now time.Time, task, kind string) {
	s := &r.summary
	s.Starts++
	s.Kinds[kind]++
	if r.counts[task] > 0 {
		s.Doubles++
	}
	if len(r.starts) >= maxStarts {
		s.Dropped++
		return
	}
	r.counts[task]++
	r.starts = append(r.starts, Start{Task: task, Kind: kind, Server: s.Server, At: now})
}

func (r *record) running(n int) {
	r.summary.Running += n
	r.summary.Peak = max(r.summary.Peak, r.summary.Running)
}

func (r *record) total() Summary {
	s := r.summary
	s.Kinds = maps.Clone(s.Kinds)
	return s
}
