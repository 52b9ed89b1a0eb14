package load

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// What a day's logs tell of the jobs of a queue beyond single lines. Callers say how long
// they wait. Where that follows the objective, it tells two things: a caller that has
// waited before, for a process that it did not reach, has less time left than others with
// such a job; and a task that took long on a worker that was slow without anybody's
// knowledge is told from a task that was long.

// line is a straight line.
type straightLine struct{ intercept, slope float64 }

func (l straightLine) at(x float64) float64 { return l.intercept + l.slope*x }

// inverse returns where the line has the value y.
func (l straightLine) inverse(y float64) float64 { return (y - l.intercept) / l.slope }

// aimLine is how a queue's objectives follow from the work of the longest task: on a
// straight line through the jobs with the least and the longest estimate.
func objectiveLine(jobs []*loggedJob) straightLine {
	byEstimate := func(x, y *loggedJob) int { return cmp.Compare(x.estimate, y.estimate) }
	least, most := slices.MinFunc(jobs, byEstimate), slices.MaxFunc(jobs, byEstimate)
	rise := most.estimate - least.estimate
	if rise <= 0 {
		return straightLine{intercept: float64(least.objective)}
	}
	slope := float64(most.objective-least.objective) / float64(rise)
	return straightLine{float64(least.objective) - slope*float64(least.estimate), slope}
}

const (
	// lineJobs is how many jobs a line needs.
	minLineJobs = 60
	// lineOff is how far the work that the limits tell may be from what was measured, in
	// half of the jobs, as a part of how far the median work is from it.
	maxLineDeviation = 0.5
	// taskSpread is how far a task may be from the work that the limit tells.
	maxTaskDeviation = 0.2
	// usualSpread is how far a run may be from what is usual for its work on its worker.
	maxRunDeviation = 0.4
	// returnLeast is the least time after which a caller who reached nobody comes again.
	minWaitedBefore = 800 * time.Millisecond
	// returnPart bounds the work that the limit of such a caller tells, in parts of what it
	// was or was estimated: no task is so far from what others' limits tell.
	maxWaitedWorkRatio = 0.7
)

// queueJobs is the jobs of a queue.
type queueJobs struct {
	jobs []*loggedJob
	// aims is how objectives follow from the work, limits how callers' limits follow from
	// the objectives; told is whether these do.
	objectives, timeouts straightLine
	timeoutsFollow       bool
}

// work returns the work that a job's limit tells, 0 if it tells none.
func (q *queueJobs) work(j *loggedJob) time.Duration {
	if !q.timeoutsFollow || j.timeout <= 0 {
		return 0
	}
	return time.Duration(max(q.objectives.inverse(q.timeouts.inverse(float64(j.timeout))), 0))
}

// limit returns the limit that a job of some work should have.
func (q *queueJobs) expectedTimeout(work time.Duration) time.Duration {
	return time.Duration(q.timeouts.at(q.objectives.at(float64(work))))
}

// points are the medians of the objectives and limits of the jobs with the shorter and of
// those with the longer limits.
func (q *queueJobs) points() []Point {
	var known []*loggedJob
	for _, j := range q.jobs {
		if j.work = j.measuredWork(); j.timeout > 0 && j.work > 0 {
			known = append(known, j)
		}
	}
	if len(known) < minLineJobs || q.objectives.slope <= 0 {
		return nil
	}
	slices.SortStableFunc(known, func(x, y *loggedJob) int { return cmp.Compare(x.timeout, y.timeout) })
	half := len(known) / 2
	return []Point{q.medians(known[:half]), q.medians(known[half:])}
}

func (q *queueJobs) medians(jobs []*loggedJob) Point {
	objectives, timeouts := make([]float64, len(jobs)), make([]float64, len(jobs))
	for i, j := range jobs {
		objectives[i], timeouts[i] = q.objectives.at(float64(j.work)), float64(j.timeout)
	}
	return Point{X: median(objectives), Y: median(timeouts)}
}

// near tells whether the work that the limits tell is mostly what was measured: much nearer
// than the median work, which would do without any limits.
func (q *queueJobs) timeoutsMatchWork() bool {
	var works, deviations, workDeviations []float64
	for _, j := range q.jobs {
		if impliedWork := q.work(j); impliedWork > 0 && j.work > 0 {
			works = append(works, float64(j.work))
			deviations = append(deviations, math.Abs(float64(impliedWork)/float64(j.work)-1))
		}
	}
	medianWork := median(works)
	for _, w := range works {
		workDeviations = append(workDeviations, math.Abs(medianWork/w-1))
	}
	return len(works) >= minLineJobs && median(deviations) <= maxLineDeviation*median(workDeviations)
}

// drawLimits finds how the callers' limits follow from the objectives: on one line through
// the points of all queues, for each queue whose jobs are near it.
func fitTimeouts(queues []*queueJobs) {
	var points []Point
	for _, q := range queues {
		points = append(points, q.points()...)
	}
	var timeoutFit Fit
	if len(points) > 1 {
		timeoutFit = fit(points, relativeErrors)
	}
	for _, q := range queues {
		q.timeouts = straightLine{timeoutFit.Intercept, timeoutFit.Slope}
		q.timeoutsFollow = timeoutFit.Slope > 0 && q.objectives.slope > 0
		q.timeoutsFollow = q.timeoutsFollow && q.timeoutsMatchWork()
	}
}

// settleWork works out the work of all jobs, the objectives that follow from it, and how
// long callers had waited before.
func (a *lossAccount) resolveWork() {
	queues := a.byQueue()
	for _, q := range queues {
		q.objectives = objectiveLine(q.jobs)
	}
	fitTimeouts(queues)
	calibrateFactors(queues)
	fitTimeouts(queues)
	for _, q := range queues {
		for _, j := range q.jobs {
			q.resolveJob(j)
		}
	}
}

// byQueue returns the jobs that were admitted. Their order is that of their ids, so that the
// same logs give the same figures.
func (a *lossAccount) byQueue() []*queueJobs {
	var queues []*queueJobs
	queueOf := make(map[string]*queueJobs)
	for _, id := range slices.Sorted(maps.Keys(a.jobs)) {
		j := a.jobs[id]
		if len(j.admittedAt) == 0 {
			continue
		}
		if queueOf[j.queue] == nil {
			queueOf[j.queue] = &queueJobs{}
			queues = append(queues, queueOf[j.queue])
		}
		queueOf[j.queue].jobs = append(queueOf[j.queue].jobs, j)
	}
	return queues
}

// settle takes from a caller's limit what it tells: that the caller has waited before, or
// else the work.
func (q *queueJobs) resolveJob(j *loggedJob) {
	measured, impliedWork := j.measuredWork(), q.work(j)
	maxDeviation := time.Duration(maxTaskDeviation * float64(impliedWork))
	j.waitedBefore = q.waitedBefore(j, measured)
	switch {
	case j.waitedBefore > 0:
		j.work = cmp.Or(measured, j.estimate)
	case impliedWork > 0 && measured > 0:
		j.work = min(max(measured, impliedWork-maxDeviation), impliedWork+maxDeviation)
	default:
		j.work = cmp.Or(measured, impliedWork, j.estimate)
	}
	j.objective += time.Duration(q.objectives.slope * float64(j.work-j.estimate))
}

// away returns how long a job's caller had waited before, 0 if its limit is not too short
// for the least that the job can have been.
func (q *queueJobs) waitedBefore(j *loggedJob, measured time.Duration) time.Duration {
	if !q.timeoutsFollow || j.timeout <= 0 {
		return 0
	}
	least := j.estimate
	if measured > 0 {
		least = min(least, measured)
	}
	missing := q.expectedTimeout(least) - j.timeout
	if missing < minWaitedBefore || q.work(j) >= time.Duration(maxWaitedWorkRatio*float64(least)) {
		return 0
	}
	return missing
}

// weighWorkers gives the runs of jobs whose limits tell their work the factor that their
// worker mostly had by that, such that estimates are right in the sum. The factors known at
// the grants are means of ratios to single estimates, and too high by their spread.
func calibrateFactors(queues []*queueJobs) {
	ratios := make(map[string][]float64)
	eachRunWithImpliedWork(queues, func(_ *loggedJob, r *loggedRun, impliedWork float64) {
		ratios[r.worker] = append(ratios[r.worker], float64(r.took)/impliedWork)
	})
	medianRatio := make(map[string]float64, len(ratios))
	for w, v := range ratios {
		medianRatio[w] = median(v)
	}
	var totalWork, totalEstimate time.Duration
	eachRunWithImpliedWork(queues, func(j *loggedJob, r *loggedRun, impliedWork float64) {
		w := float64(r.took) / medianRatio[r.worker]
		// Runs on a worker that was slow for a while say nothing of the estimates.
		if math.Abs(w/impliedWork-1) < maxRunDeviation {
			totalWork, totalEstimate = totalWork+time.Duration(w), totalEstimate+j.estimate
		}
	})
	if totalWork <= 0 || totalEstimate <= 0 {
		return
	}
	scale := float64(totalWork) / float64(totalEstimate)
	eachRunWithImpliedWork(queues, func(_ *loggedJob, r *loggedRun, _ float64) { r.factor = medianRatio[r.worker] * scale })
}

// eachTold does something with the runs that were done of jobs whose limits tell their work.
func eachRunWithImpliedWork(queues []*queueJobs, do func(j *loggedJob, r *loggedRun, impliedWork float64)) {
	for _, q := range queues {
		for _, j := range q.jobs {
			impliedWork := q.work(j)
			for _, r := range j.runs {
				if impliedWork > 0 && r.took > 0 {
					do(j, r, float64(impliedWork))
				}
			}
		}
	}
}

// measured returns the work of the longest task that was done, 0 without any.
func (j *loggedJob) measuredWork() time.Duration {
	var longest time.Duration
	for _, r := range j.runs {
		longest = max(longest, r.normalWork())
	}
	return longest
}

// median returns the middle one of the values.
func median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(v))
	return s[len(s)/2]
}
