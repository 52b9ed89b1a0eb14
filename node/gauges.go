package node

import (
	"context"
	"time"

	"snipehub.example/cell"
	"snipehub.example/lease"
	"snipehub.example/meter"
)

// gaugesEvery is how often metrics are brought up to date; they are fetched every
// few seconds.
const gaugesEvery = time.Second

// figures are what the core shows as metrics. Counters are totals since the start.
type figures struct {
	sessions, held, jobs int
	plans                bool
	view                 cell.View
	granted              int64
	refused              map[string]int64
	ended                map[lease.How]int64
	notStarted           map[lease.Reason]int64
}

// figures copies what another goroutine may look at.
func (c *Core) figures(now time.Time) figures {
	f := figures{
		sessions:   len(c.members),
		held:       len(c.held),
		jobs:       c.entry.Len(),
		plans:      c.Plans(),
		granted:    c.cell.Counts().Granted,
		refused:    copied(c.cell.Counts().Refused),
		ended:      copied(c.entry.Counts().Ended),
		notStarted: copied(c.entry.Counts().NotStarted),
	}
	if f.plans {
		f.view = c.cell.View(now)
	}
	return f
}

func copied[K comparable](m map[K]int64) map[K]int64 {
	out := make(map[K]int64, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// gauges brings the metrics up to date.
func (n *Node) gauges(ctx context.Context) error {
	sub := n.clock.Subscribe(gaugesEvery)
	defer sub.Stop()
	last := figures{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sub.C:
		}
		f, ok := ask(ctx, n, func(now time.Time, c *Core) figures { return c.figures(now) })
		if ok {
			n.show(last, f)
			last = f
		}
	}
}

func (n *Node) show(last, f figures) {
	m := n.meter
	m.Gauge(meter.Sessions, float64(f.sessions))
	m.Gauge(meter.CatalogInUse, float64(n.shelf.Current().Version))
	m.Gauge(meter.StoreAge, n.storeAge()[topicOperator].Seconds())
	m.Gauge(meter.OpenJobs, float64(f.jobs))
	m.Gauge(meter.WorkersHeld, float64(f.held))
	m.Gauge(meter.Planning, float64(compareBool(f.plans, false)))
	m.Gauge(meter.PlannerWaiting, float64(f.view.Waiting))
	m.Gauge(meter.PlannerWorkers, float64(f.view.Workers))
	m.Gauge(meter.PlannerFree, f.view.FreeCores)
	m.Count(meter.PlannerGrants, f.granted-last.granted)
	for why, v := range f.refused {
		m.CountCode(meter.PlannerRefused, why, v-last.refused[why])
	}
	for how, v := range f.ended {
		m.CountCode(meter.RunsEnded, how.String(), v-last.ended[how])
	}
	for why, v := range f.notStarted {
		m.CountCode(meter.RunsNotStarted, string(why), v-last.notStarted[why])
	}
}

// storeAge returns the time since each topic was last read.
func (n *Node) storeAge() map[string]time.Duration {
	out := make(map[string]time.Duration, len(n.topics))
	now := time.Now()
	for name, f := range n.topics {
		if at := f.Confirmed(); !at.IsZero() {
			out[name] = now.Sub(at)
		}
	}
	return out
}

// LinesDropped counts log lines that were dropped.
func (n *Node) LinesDropped(lines int) { n.meter.Count(meter.LinesDropped, int64(lines)) }
