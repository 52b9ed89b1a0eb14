// Package meter holds the metrics of a process: tally scopes, with histograms
// for each caller and kind, bounded in number.
//
// The names stand in one table (table.go), and docs/METRICS.md is held equal to
// it by a test. Tally brings the counts together in the process and hands them
// once each reportEvery to the exposition of this package, which writes them as
// text for whoever asks; what is shown can be that much behind.
package meter

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// prefix opens each name in the exposition.
	prefix = "snipehub"
	// other is the label of everything beyond the bound on series.
	other = "other"
	// reportEvery is how often tally hands over its counts.
	reportEvery = time.Second

	labelCaller = "caller"
	labelKind   = "kind"
	labelCode   = "code"
)

var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// Meter is the metrics of one process. Its methods may be called from any
// goroutine.
type Meter struct {
	root   tally.Scope
	closer io.Closer
	text   *exposition
	limit  int
	full   func()

	mu     sync.Mutex
	scopes map[series]tally.Scope
}

// series names one labelled scope.
type series struct {
	a, b string
}

// New makes an empty meter that tells apart at most limit series of callers,
// kinds and codes. It calls full, if not nil, when a series first does not fit.
func New(limit int, full func()) *Meter {
	text := newExposition()
	root, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 prefix,
		Separator:              "_",
		CachedReporter:         text,
		OmitCardinalityMetrics: true,
	}, reportEvery)
	return &Meter{root: root, closer: closer, text: text, limit: limit, full: full, scopes: make(map[series]tally.Scope)}
}

// Close ends the reporting; what was counted stays readable.
func (m *Meter) Close() { _ = m.closer.Close() }

// Count adds n to a counter. A nil meter counts nothing, here and below.
func (m *Meter) Count(name Name, n int64) {
	if m != nil {
		m.root.Counter(string(name)).Inc(n)
	}
}

// Gauge sets a gauge.
func (m *Meter) Gauge(name Name, v float64) {
	if m != nil {
		m.root.Gauge(string(name)).Update(v)
	}
}

// CountCode adds n to the counter's series of a refusal code.
func (m *Meter) CountCode(name Name, code string, n int64) {
	if m == nil {
		return
	}
	s := m.scope(series{a: code}, map[string]string{labelCode: code}, map[string]string{labelCode: other})
	s.Counter(string(name)).Inc(n)
}

// Time records a duration for a caller and a kind.
func (m *Meter) Time(name Name, caller, kind string, d time.Duration) {
	if m == nil {
		return
	}
	s := m.scope(series{caller, kind},
		map[string]string{labelCaller: caller, labelKind: kind},
		map[string]string{labelCaller: other, labelKind: other})
	s.Histogram(string(name), buckets).RecordDuration(d)
}

// scope finds the scope of a series, or that of all others when the bound is
// reached. Without the bound a caller who makes up kinds fills the memory of
// every dispatcher and of whoever collects the metrics.
func (m *Meter) scope(k series, labels, others map[string]string) tally.Scope {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.scopes[k]; ok {
		return s
	}
	if len(m.scopes) >= m.limit {
		if m.full != nil {
			go m.full()
			m.full = nil
		}
		return m.root.Tagged(others)
	}
	s := m.root.Tagged(labels)
	m.scopes[k] = s
	m.root.Gauge(string(MetricSeries)).Update(float64(len(m.scopes)))
	return s
}

// ServeHTTP writes all metrics in the Prometheus text format.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_, _ = w.Write(m.text.bytes(nil))
}

// ServePublic writes the metrics without the series that name callers.
func (m *Meter) ServePublic(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_, _ = w.Write(m.text.bytes(func(labels string) bool { return strings.HasPrefix(labels, labelCaller+"=") }))
}
