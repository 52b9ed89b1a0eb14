package meter

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// exposition is a tally reporter that keeps the latest values and writes them in the
// Prometheus text format. Tally's own Prometheus reporter needs a client library that is
// not among our dependencies.
type exposition struct {
	mu       sync.Mutex
	families map[string]*family
}

// family is all series of one metric.
type family struct {
	kind   Kind
	series map[string]line
}

// line is one series. write gets the metric's name and the labels without braces.
type line interface {
	write(b *bytes.Buffer, name, labels string)
}

func newExposition() *exposition {
	return &exposition{families: make(map[string]*family)}
}

// Capabilities returns the features of the reporter to tally.
func (e *exposition) Capabilities() tally.Capabilities { return capabilities{} }

// Flush is called by tally after each report. There is nothing to flush.
func (e *exposition) Flush() {}

type capabilities struct{}

// Reporting reports that values are reported.
func (capabilities) Reporting() bool { return true }

// Tagging reports that labels are supported.
func (capabilities) Tagging() bool { return true }

// AllocateCounter creates the series of a counter.
func (e *exposition) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return add(e, name, Counter, tags, &count{})
}

// AllocateGauge creates the series of a gauge.
func (e *exposition) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return add(e, name, Gauge, tags, &gauge{})
}

// AllocateTimer returns a timer that discards its values: durations are histograms here.
func (e *exposition) AllocateTimer(string, map[string]string) tally.CachedTimer { return timer{} }

// AllocateHistogram creates the series of a histogram.
func (e *exposition) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return add(e, name, Histogram, tags, &histogram{})
}

func add[L line](e *exposition, name string, kind Kind, tags map[string]string, l L) L {
	e.mu.Lock()
	defer e.mu.Unlock()
	f, ok := e.families[name]
	if !ok {
		f = &family{kind: kind, series: make(map[string]line)}
		e.families[name] = f
	}
	key := labels(tags)
	if old, ok := f.series[key].(L); ok {
		return old
	}
	f.series[key] = l
	return l
}

// bytes returns all series as text, except those whose labels hide returns true for.
func (e *exposition) bytes(hide func(labels string) bool) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	var b bytes.Buffer
	for _, name := range slices.Sorted(maps.Keys(e.families)) {
		f := e.families[name]
		fmt.Fprintf(&b, "# TYPE %s %s\n", name, f.kind)
		for _, l := range slices.Sorted(maps.Keys(f.series)) {
			if hide == nil || !hide(l) {
				f.series[l].write(&b, name, l)
			}
		}
	}
	return b.Bytes()
}

type count struct{ n atomic.Int64 }

// ReportCount adds the count since the last report.
func (c *count) ReportCount(n int64) { c.n.Add(n) }

func (c *count) write(b *bytes.Buffer, name, labels string) {
	fmt.Fprintf(b, "%s%s %d\n", name, braced(labels), c.n.Load())
}

type gauge struct{ bits atomic.Uint64 }

// ReportGauge sets the value.
func (g *gauge) ReportGauge(v float64) { g.bits.Store(math.Float64bits(v)) }

func (g *gauge) write(b *bytes.Buffer, name, labels string) {
	v := math.Float64frombits(g.bits.Load())
	fmt.Fprintf(b, "%s%s %s\n", name, braced(labels), decimal(v))
}

type timer struct{}

// ReportTimer discards the value.
func (timer) ReportTimer(time.Duration) {}

// histogram keeps its buckets in the order in which tally allocates them, from the lowest
// bound to the highest.
type histogram struct {
	mu      sync.Mutex
	buckets []*bucket
}

type bucket struct {
	upper float64
	n     atomic.Int64
}

// ReportSamples adds the count since the last report.
func (b *bucket) ReportSamples(n int64) { b.n.Add(n) }

// ValueBucket creates the bucket of values up to the upper bound.
func (h *histogram) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	return h.bucket(upper)
}

// DurationBucket creates the bucket of durations up to the upper bound.
func (h *histogram) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	if upper == math.MaxInt64 {
		return h.bucket(math.Inf(1))
	}
	return h.bucket(upper.Seconds())
}

func (h *histogram) bucket(upper float64) *bucket {
	if upper == math.MaxFloat64 {
		upper = math.Inf(1)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	b := &bucket{upper: upper}
	h.buckets = append(h.buckets, b)
	return b
}

// write writes the buckets as cumulative counts. Tally does not report the sum of the
// values, so _sum is an upper bound: each sample counts with the upper bound of its
// bucket or, in the last bucket, with the last finite bound.
func (h *histogram) write(b *bytes.Buffer, name, labels string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var total int64
	var sum, finite float64
	for _, k := range h.buckets {
		n := k.n.Load()
		total += n
		if !math.IsInf(k.upper, 1) {
			finite = k.upper
		}
		sum += float64(n) * finite
		fmt.Fprintf(b, "%s_bucket%s %d\n", name, braced(labels, label("le", decimal(k.upper))), total)
	}
	fmt.Fprintf(b, "%s_sum%s %s\n", name, braced(labels), decimal(sum))
	fmt.Fprintf(b, "%s_count%s %d\n", name, braced(labels), total)
}

func decimal(v float64) string {
	if math.IsInf(v, 1) {
		return "+Inf"
	}
	return strconv.FormatFloat(v, 'g', -1, 64)
}

func labels(tags map[string]string) string {
	parts := make([]string, 0, len(tags))
	for _, k := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, label(k, tags[k]))
	}
	return strings.Join(parts, ",")
}

var escape = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func label(name, value string) string { return name + `="` + escape.Replace(value) + `"` }

func braced(parts ...string) string {
	parts = slices.DeleteFunc(parts, func(p string) bool { return p == "" })
	if len(parts) == 0 {
		return ""
	}
	return "{" + strings.Join(parts, ",") + "}"
}
