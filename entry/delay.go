package entry

import (
	"time"

	"snipehub.example/internal/quantile"
)

// delay tracks the time that messages take for a task, without its time on the worker and
// the planner's wait for free resources: from the request to the planner until its grant,
// and from the grant to the worker and back.
//
// The planner plans with the time that was left when this process sent the request, and
// allows none for messages. Where links are thin that is wrong by a hundred milliseconds
// and more: jobs were placed that could not meet their objective any more, their texts
// filled the links, and at 1.7 times the load that the links bore only a tenth of the
// jobs was in time. With the delay subtracted from the objective, the planner refuses at
// once the jobs that would be late because of it, first those with the shortest
// objectives, and the links drain.
type delay struct {
	plannerTime, runOverhead, slowRunOverhead quantile.Tracker
	// sampledAt is when the last sample came in.
	sampledAt time.Time
}

var (
	// plannerTimeRange and runOverheadRange set how the medians are tracked. A process of
	// a small cell makes some twenty requests a second and follows a change in two
	// seconds.
	plannerTimeRange = quantile.Config{Share: 0.5, Step: 0.2, Min: time.Millisecond, Max: 300 * time.Millisecond}
	runOverheadRange = quantile.Config{Share: 0.5, Step: 0.2, Min: time.Millisecond, Max: 500 * time.Millisecond}
	// slowRunOverheadRange sets how the 90th percentile of the run overhead is tracked,
	// which the last task of a wide job meets.
	slowRunOverheadRange = quantile.Config{Share: 0.9, Step: 0.2, Min: time.Millisecond, Max: 500 * time.Millisecond}
)

// wideJobTasks is the number of tasks from which the last one is assumed to take as long
// as the slowest tenth of the runs.
const wideJobTasks = 8

// delayFadeAfter is how long after the last sample the delay begins to fade. No samples
// come in when all jobs are refused because of the delay.
const delayFadeAfter = 500 * time.Millisecond

// addPlannerTime adds a sample of the time from a request to its answer, less the planner's
// wait.
func (d *delay) addPlannerTime(now time.Time, took time.Duration) {
	d.plannerTime.Add(plannerTimeRange, took)
	d.sampledAt = now
}

// addPlannerSilence adds the time for which the planner has not answered a request.
func (d *delay) addPlannerSilence(now time.Time, waited time.Duration) {
	d.plannerTime.Add(plannerTimeRange, waited)
	d.sampledAt = now
}

// addRunOverhead adds a sample of the time from a grant to the end of the run, less its
// time on the worker.
func (d *delay) addRunOverhead(now time.Time, took time.Duration) {
	d.runOverhead.Add(runOverheadRange, took)
	d.slowRunOverhead.Add(slowRunOverheadRange, took)
	d.sampledAt = now
}

// fade lets the delay decrease while there are no samples.
func (d *delay) fade(now time.Time) {
	if now.Sub(d.sampledAt) > delayFadeAfter {
		d.plannerTime.Add(plannerTimeRange, 0)
		d.runOverhead.Add(runOverheadRange, 0)
		d.slowRunOverhead.Add(slowRunOverheadRange, 0)
	}
}

// total returns the expected message time until the end of the last of some tasks that
// are requested now.
func (d *delay) total(tasks int) time.Duration {
	typical, slow := d.runOverhead.Value(runOverheadRange), d.slowRunOverhead.Value(slowRunOverheadRange)
	last := typical + max(slow-typical, 0)*time.Duration(min(tasks-1, wideJobTasks-1))/(wideJobTasks-1)
	return d.plannerTime.Value(plannerTimeRange) + last
}
