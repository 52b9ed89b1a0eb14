package meter

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"snipehub.example/internal/page"
	"snipehub.example/internal/source"
)

// TestPage checks that docs/METRICS.md equals the table. Run it with UPDATE_DOCS=1 to
// write the page.
func TestPage(t *testing.T) {
	var b strings.Builder
	b.WriteString("# Metrics\n\nWhat `GET /metrics` shows, in the Prometheus text format, up to a second late.\nEach name stands there with the prefix `snipehub_`. The _sum of a histogram is an\nupper bound: each sample counts with the upper bound of its bucket.\nThis page follows the table in `meter/table.go`.\n\n| number | name | type | unit | labels | meaning | since |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	last, names := 0, make(map[Name]bool)
	for _, e := range All() {
		if e.Number <= last || names[e.Name] {
			t.Errorf("metric %d %s: number or name out of order or twice", e.Number, e.Name)
		}
		last, names[e.Name] = e.Number, true
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s | %s |\n", e.Number, e.Name, e.Kind, e.Unit, strings.Join(e.Labels, ", "), e.Text, e.Since)
	}
	page.CheckEqual(t, "../docs/METRICS.md", b.String())
}

func TestExposition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(10, nil)
		defer m.Close()
		m.Count(Forwards, 2)
		m.Count(Forwards, 1)
		m.Gauge(QueuedTasks, 7.5)
		m.CountCode(Refusals, "too_large", 4)
		m.Time(JobSeconds, `a"b`, "price", 3*time.Millisecond)
		m.Time(JobSeconds, `a"b`, "price", time.Hour)
		time.Sleep(2 * reportInterval)
		synctest.Wait()
		have := string(m.text.bytes(nil))
		for _, want := range []string{
			"# TYPE snipehub_forwards counter\nsnipehub_forwards 3\n",
			"snipehub_queued_tasks 7.5\n",
			`snipehub_refusals{code="too_large"} 4` + "\n",
			`snipehub_job_seconds_bucket{caller="a\"b",kind="price",le="0.002"} 0` + "\n",
			`snipehub_job_seconds_bucket{caller="a\"b",kind="price",le="0.004"} 1` + "\n",
			`snipehub_job_seconds_bucket{caller="a\"b",kind="price",le="+Inf"} 2` + "\n",
			`snipehub_job_seconds_count{caller="a\"b",kind="price"} 2` + "\n",
		} {
			if !strings.Contains(have, want) {
				t.Errorf("no %q in\n%s", want, have)
			}
		}
		w := httptest.NewRecorder()
		m.ServePublic(w, nil)
		if have := w.Body.String(); strings.Contains(have, "a\\\"b") || !strings.Contains(have, "snipehub_forwards 3") {
			t.Errorf("public metrics contain a caller's name, or lack the rest:\n%s", have)
		}
	})
}

// A caller makes up a new kind for every job. Without a limit, each would add a histogram
// to the memory of every dispatcher, until the process is killed.
func TestSeriesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := 0
		m := New(3, func() { full++ })
		defer m.Close()
		for i := range 100 {
			m.Time(JobSeconds, "a", fmt.Sprint("kind", i), time.Millisecond)
		}
		time.Sleep(2 * reportInterval)
		synctest.Wait()
		have := string(m.text.bytes(nil))
		if n := strings.Count(have, "job_seconds_count"); n != 4 || full != 1 {
			t.Errorf("%d series and %d notices, want 3 and one of all others, and 1 notice", n, full)
		}
		if want := `snipehub_job_seconds_count{caller="other",kind="other"} 97`; !strings.Contains(have, want) {
			t.Errorf("no %q in\n%s", want, have)
		}
	})
}

// A metric that is documented but never recorded shows nothing, which an operator takes
// for zero.
func TestEveryMetricIsCounted(t *testing.T) {
	names, err := source.Constants("table.go", "Name")
	if err != nil {
		t.Fatal(err)
	}
	used, err := source.Selectors("..", "meter")
	if err != nil {
		t.Fatal(err)
	}
	used["MetricSeries"] = true // by this package itself
	for _, n := range names {
		if !used[n] {
			t.Errorf("meter.%s is never recorded", n)
		}
	}
}
