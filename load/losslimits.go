package load

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// The following derives from the jobs of a queue together what single log lines don't
// show. Callers state their timeouts. Where these follow the objective, they show two
// things: a caller that has waited before, for a process that it did not reach, has less
// time left than others with such a job; and a task that ran long on a worker that was
// slow without being known as slow can be told from a task with much work.

// straightLine is y = intercept + slope * x.
type straightLine struct{ intercept, slope float64 }

func (l straightLine) at(x float64) float64 { return l.intercept + l.slope*x }

// inverse returns the x at which the line has the value y.
func (l straightLine) inverse(y float64) float64 { return (y - l.intercept) / l.slope }

// objectiveLine returns how the objectives of a queue follow from the work of the longest
// task: the straight line through the jobs with the least and the largest estimate.
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
	// minLineJobs is the least number of jobs that a line is fitted to.
	minLineJobs = 60
	// maxLineDeviation bounds how far the work that the timeouts imply deviates from the
	// measured work, relative to how far the median work of all jobs deviates from it.
	// Both deviations are medians over the jobs.
	maxLineDeviation = 0.5
	// maxTaskDeviation bounds the relative deviation of a task's work from the work that
	// the timeout implies.
	maxTaskDeviation = 0.2
	// maxRunDeviation bounds the relative deviation of a run from the usual one for its
	// work on its worker.
	maxRunDeviation = 0.4
	// minWaitedBefore is the least time after which a caller that reached no process
	// sends again.
	minWaitedBefore = 800 * time.Millisecond
	// maxWaitedWorkRatio bounds the work that the timeout of such a caller implies, as a
	// part of the measured or estimated work: no task deviates so far from the work that
	// the timeouts of others imply.
	maxWaitedWorkRatio = 0.7
)

// queueJobs holds the jobs of a queue.
type queueJobs struct {
	jobs []*loggedJob
	// objectives is how objectives follow from the work, and timeouts how callers'
	// timeouts follow from the objectives; timeoutsFollow is set if they do.
	objectives, timeouts straightLine
	timeoutsFollow       bool
}

// work returns the work that a job's timeout implies, 0 if it implies none. It is the
// impliedWork of the functions below, as opposed to the job's own field work.
func (q *queueJobs) work(j *loggedJob) time.Duration {
	if !q.timeoutsFollow || j.timeout <= 0 {
		return 0
	}
	return time.Duration(max(q.objectives.inverse(q.timeouts.inverse(float64(j.timeout))), 0))
}

// expectedTimeout returns the timeout that a job with this work should have.
func (q *queueJobs) expectedTimeout(work time.Duration) time.Duration {
	return time.Duration(q.timeouts.at(q.objectives.at(float64(work))))
}

// points returns two points: the medians of the objectives and timeouts of the jobs with
// the shorter timeouts, and of those with the longer ones. It also sets the work of all
// jobs to the measured work, which timeoutsMatchWork compares with.
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

// timeoutsMatchWork reports whether the work that the timeouts imply is mostly close to
// the measured work: much closer than the median work, which is known without any
// timeouts.
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

// fitTimeouts determines how the callers' timeouts follow from the objectives: on one
// line through the points of all queues, used for each queue whose jobs are close to it.
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

// resolveWork computes the work of all jobs, the objectives that follow from it, and how
// long callers had waited before.
func (a *lossAccount) resolveWork() {
	queues := a.byQueue()
	for _, q := range queues {
		q.objectives = objectiveLine(q.jobs)
	}
	fitTimeouts(queues)
	calibrateFactors(queues)
	// The factors change the measured work.
	fitTimeouts(queues)
	for _, q := range queues {
		for _, j := range q.jobs {
			q.resolveJob(j)
		}
	}
}

// byQueue returns the admitted jobs by queue. They are ordered by id, so that the same
// logs give the same figures.
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

// resolveJob derives from a caller's timeout either that the caller has waited before, or
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

// waitedBefore returns how long a job's caller had waited before, 0 if its timeout is not
// too short for the least work that the job can have had.
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

// calibrateFactors sets the factor of runs to the median ratio of run time to implied work
// on their worker, for jobs whose timeouts imply their work. The ratios are scaled so that
// estimates are right in total. The factors known at the grants, which it replaces, are
// means of ratios of run times to single estimates: since estimates scatter, these means
// are too high.
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
		// Runs on a worker that was slow only temporarily don't show whether estimates
		// are right.
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

// eachRunWithImpliedWork calls do for each finished run of a job whose timeout implies
// its work.
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

// measuredWork returns the work of the longest task that was done, 0 if none was.
func (j *loggedJob) measuredWork() time.Duration {
	var longest time.Duration
	for _, r := range j.runs {
		longest = max(longest, r.normalWork())
	}
	return longest
}

// median returns the middle value, 0 if there are none.
func median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(v))
	return s[len(s)/2]
}
