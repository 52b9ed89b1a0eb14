package cell

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"snipehub.example/mesh"
)

// lookAheadInterval is the minimum time between two look-aheads. One costs about a
// millisecond when 400 jobs wait for 350 workers (BenchmarkCrowded).
const lookAheadInterval = 10 * time.Millisecond

// lookAhead schedules the pending requests, in the order in which they will be placed, on
// the slots that are free now or when running tasks end. It immediately refuses the jobs
// that would miss their objective. If such jobs stayed pending until they are certain to
// be late, their callers would wait for nothing, and the half of their tasks that was
// started by then would take resources from jobs that can still meet theirs.
func (pl *Planner) lookAhead(now time.Time) {
	if !pl.policy.LookAhead.on() || len(pl.pending) == 0 || now.Sub(pl.lastLookAhead) < lookAheadInterval {
		return
	}
	// A new planner sees no free resources of members that have not reported yet.
	if !pl.allReported() && now.Sub(pl.startedAt) < reportGracePeriod {
		return
	}
	if now.Sub(pl.startedAt) < workerDiscoveryGrace && !pl.anyAcceptsTasks() {
		return
	}
	pl.lastLookAhead = now
	queue := pl.refuseUnsuitable(now, slices.Clone(pl.requestQueue.pending))
	groups := pl.slots(now, queue)
	queue = slices.DeleteFunc(queue, func(p *pendingRequest) bool { return pl.scheduleInTime(p, groups[demandOf(p)]) || p.Begun })
	pl.refusedDelay = 0
	for _, p := range queue {
		reason := reasonOthersFirst
		end := pl.schedule(p, groups[demandOf(p)])
		switch {
		case !end.IsZero():
			pl.refusedDelay = end.Sub(p.objective)
		case pl.allEvacuated():
			reason = reasonEvacuated
			pl.refusedDelay = evacuatedRetryAfter
		default:
			reason = reasonNoWorkers
		}
		pl.refuse(now, p, reason)
	}
}

// refuseUnsuitable refuses the jobs that no worker that is listed, or takes tasks, could run even
// if it were idle, and returns the other requests. Those of jobs that have begun stay pending.
func (pl *Planner) refuseUnsuitable(now time.Time, queue []*pendingRequest) []*pendingRequest {
	if !pl.listRead || now.Sub(pl.startedAt) < workerDiscoveryGrace {
		return queue
	}
	workers := pl.sortedWorkers()
	return slices.DeleteFunc(queue, func(p *pendingRequest) bool {
		if slices.ContainsFunc(workers, func(w *worker) bool { return (w.listed || w.acceptsTasks()) && w.suits(p) }) {
			return false
		}
		if !p.Begun {
			pl.refusedDelay = maxRetryAfter
			pl.refuse(now, p, reasonNoSuitableWorker)
		}
		return true
	})
}

// workerDiscoveryGrace is how long a new planner that knows of no available worker
// expects some to appear: processes that were restarted together connect, read the worker
// list and take over the workers within 0.6 seconds. Refusing at once during that time
// cost a fifth of the callers in the worst two seconds of a day, most of whom could still
// have been served in time.
const workerDiscoveryGrace = time.Second

// anyAcceptsTasks reports whether at least one worker accepts tasks.
func (pl *Planner) anyAcceptsTasks() bool {
	for _, w := range pl.workers {
		if w.acceptsTasks() {
			return true
		}
	}
	return false
}

const (
	// minRetryAfter is the shortest delay after which a refused caller is asked to retry.
	// The callers' interface rounds up to whole seconds; with the jitter added, half of
	// the callers with this delay are told one second, the others two.
	minRetryAfter = 500 * time.Millisecond
	// maxRetryAfter is the longest such delay. Predictions further ahead are wrong by
	// then.
	maxRetryAfter = 8 * time.Second
	// maxRetryJitter is the interval over which the retries of callers that were refused at
	// the same time are spread. Together they would be the next burst.
	maxRetryJitter = time.Second
)

// retryAfter returns the delay after which a refused caller should retry: refusedDelay,
// within bounds, plus a jitter that depends on the job. During a look-ahead, refusedDelay
// is how late the job would have been, had it and all jobs refused before it been kept.
func (pl *Planner) retryAfter(job string) time.Duration {
	wait := min(max(pl.refusedDelay, minRetryAfter), maxRetryAfter)
	return wait + RetryJitter(job)
}

// RetryJitter returns a jitter of less than a second, derived from the job's ID, so that
// callers that were refused together don't retry together.
func RetryJitter(job string) time.Duration {
	return time.Duration(xxhash.Sum64String(job) % uint64(maxRetryJitter))
}

const (
	// reasonOthersFirst is the reason of a refusal when the requests ahead in the queue
	// would make the job late.
	reasonOthersFirst = "others_first"
	// reasonNoWorkers is the reason when no worker that the job may run on accepts tasks: none
	// is known, or none has a holder.
	reasonNoWorkers = "no_workers"
	// reasonNoSuitableWorker is the reason when no worker that is listed, or takes tasks, has
	// the pool, the label and the resources that the job needs.
	reasonNoSuitableWorker = "no_suitable_worker"
	// reasonEvacuated is the reason when all workers that would accept tasks are in data
	// centres that are being evacuated.
	reasonEvacuated = "evacuated"
)

const (
	// handoverTime is how long a worker accepts no tasks during a planned change of its
	// holder: four messages between data centres and a call.
	handoverTime = 20 * time.Millisecond
	// handoverWindow is how long the slots of a worker count although it accepts no
	// tasks, because its holder is changing or has just been assigned.
	handoverWindow = 500 * time.Millisecond
)

// changesHolder reports whether a worker accepted tasks until a moment ago and is
// expected to do so again under its next holder.
func (w *worker) changesHolder(now time.Time) bool {
	return !w.open && w.listed && w.takesNew() && w.failures == 0 && now.Sub(w.closedAt) < handoverWindow
}

// awaitsHolder reports whether a worker was just assigned to a holder that has not
// reported it yet or is waiting for the worker's first answer.
func (w *worker) awaitsHolder(now time.Time) bool {
	if w.open || !w.listed || !w.takesNew() || w.failures > 0 || w.holder == (mesh.ID{}) {
		return false
	}
	return !w.confirmed && now.Sub(w.assignedAt) < assignmentRepeatInterval || now.Sub(w.heldSince) < handoverWindow
}

// end predicts when a run ends: from its progress if that is known, else from its
// estimate and the worker's speed factor.
func (a activeRun) end(now time.Time, factor float64) time.Time {
	age := now.Sub(a.startedAt)
	total := scaled(a.estimate, factor)
	if a.percent >= minProgressPercent {
		total = a.reportedAt.Sub(a.startedAt) * 100 / time.Duration(a.percent)
	}
	if total < age {
		// The run is overdue: assume that it needs another tenth of its age.
		return now.Add(age / 10)
	}
	return a.startedAt.Add(total)
}

// minProgressPercent is the progress from which on it predicts the end of a run better
// than the estimate does.
const minProgressPercent = 15
