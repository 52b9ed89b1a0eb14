// Package meter holds the metrics of a process: tally scopes, with histograms
// for each caller and kind, bounded in number.
package meter

import (
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// maxSeries bounds the tagged scopes; further callers count as "other".
	maxSeries = 500
	other     = "other"
)

var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// Meter is the metrics of one process.
type Meter struct {
	root tally.TestScope

	mu   sync.Mutex
	seen map[string]struct{}
}

// New makes an empty meter.
func New() *Meter {
	return &Meter{root: tally.NewTestScope("snipehub", nil), seen: make(map[string]struct{})}
}

// Count adds n to a counter.
func (m *Meter) Count(name string, n int64) { m.root.Counter(name).Inc(n) }

// Gauge sets a gauge.
func (m *Meter) Gauge(name string, v float64) { m.root.Gauge(name).Update(v) }

// Time records a duration for a caller and a kind.
func (m *Meter) Time(name, caller, kind string, d time.Duration) {
	caller, kind = m.bound(caller, kind)
	s := m.root.Tagged(map[string]string{"caller": caller, "kind": kind})
	s.Histogram(name, buckets).RecordDuration(d)
}

func (m *Meter) bound(caller, kind string) (string, string) {
	key := caller + "\x00" + kind
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.seen[key]; ok {
		return caller, kind
	}
	if len(m.seen) >= maxSeries {
		return other, other
	}
	m.seen[key] = struct{}{}
	return caller, kind
}

// ServeHTTP writes all metrics as text, a line each.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	snap := m.root.Snapshot()
	var lines []string
	for _, c := range snap.Counters() {
		lines = append(lines, fmt.Sprintf("%s%s %d", c.Name(), tags(c.Tags()), c.Value()))
	}
	for _, g := range snap.Gauges() {
		lines = append(lines, fmt.Sprintf("%s%s %g", g.Name(), tags(g.Tags()), g.Value()))
	}
	for _, h := range snap.Histograms() {
		for le, n := range h.Durations() {
			lines = append(lines, fmt.Sprintf("%s_bucket%s le=%s %d", h.Name(), tags(h.Tags()), le, n))
		}
	}
	sort.Strings(lines)
	for _, l := range lines {
		_, _ = fmt.Fprintln(w, l)
	}
}

func tags(t map[string]string) string {
	if len(t) == 0 {
		return ""
	}
	keys := make([]string, 0, len(t))
	for k := range t {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	s := "{"
	for i, k := range keys {
		if i > 0 {
			s += ","
		}
		s += fmt.Sprintf("%s=%q", k, t[k])
	}
	return s + "}"
}
