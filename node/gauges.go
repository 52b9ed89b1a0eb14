package node

import (
	"context"
	"time"

	"snipehub.example/cell"
	"snipehub.example/event"
	"snipehub.example/lease"
	"snipehub.example/meter"
	"snipehub.example/quota"
)

// metricsInterval is how often the metrics are updated; they are scraped every few
// seconds.
const metricsInterval = time.Second

// coreStats is the state of the core that is exported as metrics. Counters are totals
// since the start.
type coreStats struct {
	sessions, held, jobs, tasks, cancelled int
	// otherCellSessions are those of the sessions that are with other cells.
	otherCellSessions, listed, listedInCell int
	isPlanner                               bool
	view                                    cell.View
	planned                                 cell.Counts
	ended                                   map[lease.Outcome]int64
	notStarted                              map[lease.Reason]int64
	// evacuated is the number of evacuated data centres, evacuationDelays what was learned
	// since the last copy.
	evacuated        int
	evacuationDelays []time.Duration
	catalogDelays    []time.Duration
	catalogParts     catalogParts
}

// coreStats returns a copy that other goroutines may read. The delays in it are returned
// once.
func (c *Core) coreStats(now time.Time) coreStats {
	stats := coreStats{
		sessions: len(c.members),

		otherCellSessions: len(c.members) + 1 - len(c.cellMembers(c.reachableMembers())),
		listed:            len(c.directory.byAddress),
		listedInCell:      len(c.cellRecords),

		held:       len(c.held),
		jobs:       c.entry.Len(),
		tasks:      c.entry.Tasks(),
		cancelled:  len(c.cancelled.order),
		isPlanner:  c.IsPlanner(),
		planned:    copiedCounts(c.cell.Counts()),
		ended:      copied(c.entry.Counts().Ended),
		notStarted: copied(c.entry.Counts().NotStarted),
		evacuated:  len(c.evacuations.Requested),

		evacuationDelays: c.evacuationDelays,
		catalogDelays:    c.catalogDelays,
		catalogParts:     c.catalogParts,
	}
	c.evacuationDelays, c.catalogDelays = nil, nil
	if stats.isPlanner {
		stats.view = c.cell.View(now)
	}
	return stats
}

func copiedCounts(n cell.Counts) cell.Counts {
	n.Refused, n.OfferedWork, n.GrantedWork = copied(n.Refused), copied(n.OfferedWork), copied(n.GrantedWork)
	return n
}

func copied[K comparable](m map[K]int64) map[K]int64 {
	out := make(map[K]int64, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// exportMetrics updates the metrics from the state of the core.
func (n *Node) exportMetrics(ctx context.Context) error {
	sub := n.clock.Subscribe(metricsInterval)
	defer sub.Stop()
	last := coreStats{}
	var lastCallers quota.Counts
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sub.C:
		}
		stats, ok := query(ctx, n, func(now time.Time, c *Core) coreStats { return c.coreStats(now) })
		if ok {
			n.recordMetrics(last, stats)
			last = stats
		}
		callers := n.quota.Counts()
		n.recordCallers(lastCallers, callers)
		lastCallers = callers
	}
}

// recordCallers records what callers take, and logs what the limits have cut.
func (n *Node) recordCallers(last, callers quota.Counts) {
	refused := callers.RefusedConnections - last.RefusedConnections
	closed := callers.ClosedConnections - last.ClosedConnections
	requests := callers.RefusedRequests - last.RefusedRequests
	n.meter.Gauge(meter.CallerConnections, float64(callers.Connections))
	n.meter.Gauge(meter.CallerBytes, float64(callers.Bytes))
	n.meter.CountCode(meter.CallersLimited, "connections_refused", refused)
	n.meter.CountCode(meter.CallersLimited, "connections_closed", closed)
	n.meter.CountCode(meter.CallersLimited, "requests_refused", requests)
	if refused+closed+requests > 0 {
		l := n.quota.Limits()
		event.CallersLimited.Log(n.log, "connections_refused", refused, "connections_closed", closed, "requests_refused", requests,
			"connections", callers.Connections, "of", l.Connections, "bytes", callers.Bytes, "of_bytes", l.Pool)
	}
}

func (n *Node) recordMetrics(last, stats coreStats) {
	m := n.meter
	m.Gauge(meter.Sessions, float64(stats.sessions))
	m.Gauge(meter.OtherCellSessions, float64(stats.otherCellSessions))
	m.Gauge(meter.ListedProcesses, float64(stats.listed))
	m.Gauge(meter.ListedInCell, float64(stats.listedInCell))
	m.Gauge(meter.CatalogVersion, float64(n.catalogs.Current().Version))
	m.Gauge(meter.StoreAge, n.storeAge()[topicOperator].Seconds())
	m.Gauge(meter.OpenJobs, float64(stats.jobs))
	m.Gauge(meter.JobTasks, float64(stats.tasks))
	m.Gauge(meter.CancelledJobs, float64(stats.cancelled))
	m.Gauge(meter.WorkersHeld, float64(stats.held))
	m.Gauge(meter.Planning, float64(compareBool(stats.isPlanner, false)))
	m.Gauge(meter.PlannerWaiting, float64(stats.view.Waiting))
	m.Gauge(meter.PlannerTasks, float64(stats.view.Tasks))
	m.Gauge(meter.PlannerOwnedJobs, float64(stats.view.OwnedJobs))
	m.Gauge(meter.PlannerWorkers, float64(stats.view.Workers))
	m.Gauge(meter.PlannerFreeCores, stats.view.FreeCores)
	m.Gauge(meter.PlannerListAge, stats.view.ListAge.Seconds())
	m.Gauge(meter.DataCentersEvacuated, float64(stats.evacuated))
	for _, d := range stats.evacuationDelays {
		m.Duration(meter.EvacuationDelay, d)
	}
	for _, d := range stats.catalogDelays {
		m.Duration(meter.CatalogDelay, d)
	}
	m.CountCode(meter.CatalogParts, "requested", stats.catalogParts.Requested-last.catalogParts.Requested)
	m.CountCode(meter.CatalogParts, "sent", stats.catalogParts.Sent-last.catalogParts.Sent)
	m.CountCode(meter.CatalogParts, "received", stats.catalogParts.Received-last.catalogParts.Received)
	m.Count(meter.PlannerGrants, stats.planned.Granted-last.planned.Granted)
	m.Count(meter.PlannerPasses, stats.planned.Passes-last.planned.Passes)
	for why, v := range stats.planned.Refused {
		m.CountCode(meter.PlannerRefusals, why, v-last.planned.Refused[why])
	}
	for queue, v := range stats.planned.OfferedWork {
		m.CountCode(meter.PlannerOffered, queue, v-last.planned.OfferedWork[queue])
	}
	for queue, v := range stats.planned.GrantedWork {
		m.CountCode(meter.PlannerGranted, queue, v-last.planned.GrantedWork[queue])
	}
	for outcome, v := range stats.ended {
		m.CountCode(meter.RunsEnded, outcome.String(), v-last.ended[outcome])
	}
	for why, v := range stats.notStarted {
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

// CountDroppedLines counts log lines that were dropped.
func (n *Node) CountDroppedLines(lines int) { n.meter.Count(meter.LogLinesDropped, int64(lines)) }
