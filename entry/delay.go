package entry

import (
	"time"

	"snipehub.example/internal/quantile"
)

// delay is what this process has seen messages take for a task, beside its time on the
// worker and the planner's wait for room: from asking the planner to its grant, and from
// the grant to the worker and back.
//
// The planner reckons with the time that is left at this process, and with nothing for
// messages. Where links are thin that is wrong by a hundred milliseconds and more: jobs
// were placed that could not be in time any more, their texts filled the links, and at
// 1.7 times the load that the links bore a tenth of the jobs was in time. With the delay
// taken off, the planner refuses at once whoever would be late because of it, first those
// with the shortest objectives, and the links empty.
type delay struct {
	ask, run, slow quantile.Tracker
	// seen is when the last sample came in.
	seen time.Time
}

var (
	// asks and runs are how the parts are followed: half of them are shorter. A process
	// of a small cell asks some twenty times a second and follows a change in two
	// seconds.
	asks = quantile.Range{Share: 0.5, Step: 0.2, Least: time.Millisecond, Most: 300 * time.Millisecond}
	runs = quantile.Range{Share: 0.5, Step: 0.2, Least: time.Millisecond, Most: 500 * time.Millisecond}
	// slowRuns is what one run in ten takes at least: the last of a wide job's.
	slowRuns = quantile.Range{Share: 0.9, Step: 0.2, Least: time.Millisecond, Most: 500 * time.Millisecond}
)

// wide is the number of tasks of which the last takes as long as one run in ten.
const wide = 8

// delayFades is when what was seen begins to count less because nothing new is seen:
// nothing is, when all jobs are refused for it.
const delayFades = 500 * time.Millisecond

// asked takes the time from an ask to the grant, less the planner's wait.
func (d *delay) asked(now time.Time, took time.Duration) {
	d.ask.Add(asks, took)
	d.seen = now
}

// unheard takes note that the planner has not answered for a while.
func (d *delay) unheard(now time.Time, waited time.Duration) {
	d.ask.Add(asks, waited)
	d.seen = now
}

// ran takes the time from a grant to the end of the run, less its time on the worker.
func (d *delay) ran(now time.Time, took time.Duration) {
	d.run.Add(runs, took)
	d.slow.Add(slowRuns, took)
	d.seen = now
}

// tick lets what was seen fade.
func (d *delay) tick(now time.Time) {
	if now.Sub(d.seen) > delayFades {
		d.ask.Add(asks, 0)
		d.run.Add(runs, 0)
		d.slow.Add(slowRuns, 0)
	}
}

// total is what messages will take for the last of some tasks that are asked for now.
func (d *delay) total(tasks int) time.Duration {
	one, slow := d.run.Value(runs), d.slow.Value(slowRuns)
	last := one + max(slow-one, 0)*time.Duration(min(tasks-1, wide-1))/(wide-1)
	return d.ask.Value(asks) + last
}
