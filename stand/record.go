package stand

import (
	"maps"
	"net/netip"
	"time"
)

// maxStarts bounds the starts that one backend server records; later ones are only
// counted, in Summary.Dropped.
const maxStarts = 500_000

// Start records that a backend server began to run a task.
type Start struct {
	// Task is the id that the dispatcher sent: job, index and attempt.
	Task string `json:"task"`
	// Kind is the kind of request; its row in the routes table names the half that it is
	// sent to.
	Kind   string         `json:"kind"`
	Server netip.AddrPort `json:"server"`
	At     time.Time      `json:"at"`
}

// Summary holds the counters of a backend server.
type Summary struct {
	Server netip.AddrPort `json:"server"`
	// Requests counts all requests that were read; each was started or refused.
	Requests int64 `json:"requests"`
	Starts   int64 `json:"starts"`
	Refused  int64 `json:"refused"`
	// RepeatedStarts counts starts of an id of which an earlier start is recorded.
	RepeatedStarts int64 `json:"doubles"`
	// Dropped counts starts beyond maxStarts, which were not recorded.
	Dropped int64            `json:"dropped"`
	Kinds   map[string]int64 `json:"kinds,omitempty"`
	Running int              `json:"running"`
	Peak    int              `json:"peak"`
}

// record holds the starts of one backend server. Its owner does the locking.
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

func (r *record) addStart(now time.Time, task, kind string) {
	s := &r.summary
	s.Starts++
	s.Kinds[kind]++
	if r.counts[task] > 0 {
		s.RepeatedStarts++
	}
	if len(r.starts) >= maxStarts {
		s.Dropped++
		return
	}
	r.counts[task]++
	r.starts = append(r.starts, Start{Task: task, Kind: kind, Server: s.Server, At: now})
}

func (r *record) addRunning(n int) {
	r.summary.Running += n
	r.summary.Peak = max(r.summary.Peak, r.summary.Running)
}

func (r *record) summaryCopy() Summary {
	s := r.summary
	s.Kinds = maps.Clone(s.Kinds)
	return s
}
