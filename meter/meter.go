// Package meter holds the metrics of a process in tally scopes, with a bounded number of
// series by caller, kind and code.
//
// The metrics are listed in table.go, and a test keeps docs/METRICS.md equal to that
// table. Tally aggregates the counts in the process and reports them once per
// reportInterval to the exposition of this package, which writes them as text on request;
// so the text can be that much out of date.
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
	// metricPrefix is the prefix of each metric name in the exposition.
	metricPrefix = "snipehub"
	// otherValue is the label value of all series beyond the limit.
	otherValue = "other"
	// reportInterval is how often tally reports its counts.
	reportInterval = time.Second

	labelCaller = "caller"
	labelKind   = "kind"
	labelCode   = "code"
)

var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// Meter holds the metrics of one process. Its methods are safe for concurrent use.
type Meter struct {
	root   tally.Scope
	closer io.Closer
	text   *exposition
	limit  int
	onFull func()

	mu     sync.Mutex
	scopes map[series]tally.Scope
}

// series identifies a scope by its label values.
type series struct {
	first, second string
}

// New returns an empty meter with at most limit series by caller, kind and code. It calls
// onFull, if not nil, once when a series exceeds the limit.
func New(limit int, onFull func()) *Meter {
	text := newExposition()
	root, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricPrefix,
		Separator:              "_",
		CachedReporter:         text,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Meter{root: root, closer: closer, text: text, limit: limit, onFull: onFull, scopes: make(map[series]tally.Scope)}
}

// Close stops the reporting. What has been reported remains readable.
func (m *Meter) Close() { _ = m.closer.Close() }

// Count adds n to a counter. This and the other recording methods do nothing on a nil
// meter.
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

// CountCode adds n to a counter's series with the given code.
func (m *Meter) CountCode(name Name, code string, n int64) {
	if m == nil {
		return
	}
	s := m.scope(series{first: code}, map[string]string{labelCode: code}, map[string]string{labelCode: otherValue})
	s.Counter(string(name)).Inc(n)
}

// Time records a duration for a caller and a kind.
func (m *Meter) Time(name Name, caller, kind string, d time.Duration) {
	if m == nil {
		return
	}
	s := m.scope(series{caller, kind},
		map[string]string{labelCaller: caller, labelKind: kind},
		map[string]string{labelCaller: otherValue, labelKind: otherValue})
	s.Histogram(string(name), buckets).RecordDuration(d)
}

// Duration records a duration in a histogram without labels.
func (m *Meter) Duration(name Name, d time.Duration) {
	if m != nil {
		m.root.Histogram(string(name), buckets).RecordDuration(d)
	}
}

// scope returns the scope of a series, or the shared one if the limit is reached. Without
// the limit, a caller that makes up kinds would fill the memory of every dispatcher and
// of the system that collects the metrics.
func (m *Meter) scope(key series, labels, others map[string]string) tally.Scope {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.scopes[key]; ok {
		return s
	}
	if len(m.scopes) >= m.limit {
		if m.onFull != nil {
			go m.onFull()
			m.onFull = nil
		}
		return m.root.Tagged(others)
	}
	s := m.root.Tagged(labels)
	m.scopes[key] = s
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
