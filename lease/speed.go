package lease

import (
	"math"
	"time"

	"snipehub.example/internal/quantile"
)

// Speed is what a holder learns of a worker's speed and health from its runs.
type Speed struct {
	// Factor is the duration of tasks relative to their estimates, averaged; 0 before the
	// first end.
	Factor float64 `json:"factor,omitempty" cbor:"1,keyasint,omitzero"`
	// Ends counts the ends that Factor is based on.
	Ends int `json:"ends,omitempty" cbor:"2,keyasint,omitzero"`
	// BadJobs counts the jobs in a row whose runs failed, were refused or stalled, since
	// the last run that was done. A job whose tasks fail everywhere counts once.
	BadJobs int `json:"bad,omitempty" cbor:"3,keyasint,omitzero"`

	lastBadJob string
}

const (
	// minSampleWeight is the minimum weight of a new end in the average: about the last
	// ten ends count, so that a worker that turns slow is recognized after a few tasks,
	// although single estimates are off by a third.
	minSampleWeight = 0.1
	// priorSamples is the number of ends, each after exactly its estimate, that are
	// assumed beforehand, so that the first end alone does not decide.
	priorSamples = 2
	// minSampleEstimate is the estimate below which an end is not sampled: messages are
	// then a good part of its duration. Because of a task of 1 ms that took 7, jobs of
	// seconds were refused.
	minSampleEstimate = 20 * time.Millisecond
	// samplePercent is the progress from which the duration of a run is extrapolated;
	// before that, one percent more or less changes the result too much.
	samplePercent = 20
	// A run counts as stalled if it shows no progress for minStallTimeout, or for the
	// share stallShare of its estimate if that is longer. Progress is reported in
	// percent, at least every 300 ms: of a task that takes 30 seconds one percent is 300
	// ms.
	minStallTimeout = 700 * time.Millisecond
	stallShare      = 0.1
	// messageOverhead is the part of a run's duration, as its holder sees it, that
	// messages take.
	messageOverhead = 2 * time.Millisecond
)

// nearlyEqual reports whether a planner that knows o needs no report of s: the same
// number of bad jobs, and both without a factor or with factors that differ by at most
// factorTolerance.
func (s Speed) nearlyEqual(o Speed) bool {
	sameKnowledge := s.Ends > 0 == (o.Ends > 0)
	return s.BadJobs == o.BadJobs && sameKnowledge && math.Abs(s.Factor-o.Factor) <= factorTolerance*o.Factor
}

// factorTolerance is the share of a factor by which it may differ from what the planner
// knows. It is far below the error of single estimates, which are off by a third.
const factorTolerance = 0.02

func (s *Speed) learnFromEnd(e *run, end End) {
	switch end.Outcome {
	case Done:
		s.BadJobs, s.lastBadJob = 0, ""
		if !e.sampled && !e.adopted {
			s.addSample(end.Took, e.Estimate)
		}
	case Failed:
		s.countBad(e.Run)
	}
}

// countBad counts a run that failed, was refused or stalled, once for consecutive runs of
// the same job.
func (s *Speed) countBad(r Run) {
	if job := r.Job(); job != s.lastBadJob {
		s.lastBadJob = job
		s.BadJobs++
	}
}

func (s *Speed) addSample(took, estimate time.Duration) {
	if estimate < minSampleEstimate || took <= 0 {
		return
	}
	if s.Ends == 0 {
		s.Factor = 1
	}
	s.Ends++
	w := max(minSampleWeight, 1/float64(s.Ends+priorSamples))
	s.Factor += w * (float64(max(took-messageOverhead, 0))/float64(estimate) - s.Factor)
}

// PoolStats is what is known of all workers of a pool together. The worker leases of one
// process share it.
type PoolStats struct {
	// EnforcesCapacity is set if the workers refuse starts that exceed their capacity, and unset
	// while that is unknown.
	EnforcesCapacity bool
	// ReportsProgress is set if workers report the progress of their runs. Where none
	// does, a run without progress is not stalled.
	ReportsProgress bool
	// answerTime tracks how long the workers take to answer this process.
	answerTime quantile.Tracker
}

// updateProgress learns from the progress of a run. A worker whose tasks are stalled
// looks healthy and keeps its resources in use; the run is stopped, so that its task can
// continue on another worker.
func (wl *WorkerLease) updateProgress(now time.Time, e *run, percent int) {
	if percent != e.percent {
		e.percent, e.progressedAt = percent, now
		wl.pool.ReportsProgress = wl.pool.ReportsProgress || percent > 0 && percent < 100
	}
	if e.adopted || e.state != running {
		return
	}
	if !e.sampled && percent >= samplePercent {
		// The next tick reports this to the planner: it is not urgent, and each hold call
		// may bring one.
		e.sampled, e.reported = true, false
		wl.speed.addSample(now.Sub(e.confirmedAt)*100/time.Duration(percent), e.Estimate)
	}
	stallTimeout := max(minStallTimeout, time.Duration(stallShare*float64(e.Estimate)))
	if wl.pool.ReportsProgress && now.Sub(e.progressedAt) > stallTimeout && now.Sub(e.confirmedAt) > stallTimeout {
		wl.speed.countBad(e.Run)
		wl.speed.BadJobs = max(wl.speed.BadJobs, stallBadCount)
		wl.stop(now, e)
	}
}

// stallBadCount is the least number of bad jobs that a worker with a stalled run has:
// tasks don't stall by themselves.
const stallBadCount = 2
