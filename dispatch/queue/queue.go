// Package queue orders the waiting tasks of one pool.
//
// Teams share the pool by weighted fair queueing, in its form of start-time fair
// queueing: each start advances the team's virtual time by the task's cost divided by the
// team's weight, and the team with the smallest virtual time goes first. The callers of a
// team divide its share evenly in the same way. Among the jobs of a caller, the one with
// the fewest waiting tasks goes first. A job of n waiting tasks is ordered as if it had
// arrived n ageing steps later than it did. Only jobs that arrive within that time can
// overtake it, so none is starved.
//
// Adding and taking tasks costs time logarithmic in the numbers of teams, callers and
// jobs, apart from the removal of idle callers, and does not depend on the number of
// tasks. Removing a job only marks it; marked jobs are dropped when they reach the top of
// the heap, or all at once when they outnumber the others.
//
// A Queue has no lock and no clock.
package queue

import "time"

// Job is the waiting part of a job. The planner keeps the tasks themselves.
type Job struct {
	Team, Caller string
	// Weight is the weight of the job's team; 0 counts as 1.
	Weight float64
	// Arrived is when the job was submitted.
	Arrived time.Time
	// Data is the planner's own data for the job; the queue does not use it.
	Data any

	waiting int
	started bool
	queued  bool
	removed bool
	key     time.Time
	caller  *caller
}

// Waiting returns the number of waiting tasks of the job.
func (j *Job) Waiting() int { return j.waiting }

// Started reports whether a task of the job has been taken.
func (j *Job) Started() bool { return j.started }

// SetStarted sets, before the job is added, whether a task of it has been taken.
func (j *Job) SetStarted(started bool) { j.started = started }

func (j *Job) before(o *Job) bool { return j.key.Before(o.key) }

// Queue holds the waiting tasks of one pool.
type Queue struct {
	ageingStep time.Duration
	// virtualClock is the highest virtual time at which a team was served.
	virtualClock float64
	waiting      int
	teams        map[string]*team
	// unstarted holds the teams that have jobs of which no task was taken, started those
	// that have other jobs. Both are ordered by virtual time.
	unstarted, started heap[*teamNode]
}

// team is a flow of the first level of fair queueing.
type team struct {
	name        string
	weight      float64
	virtualTime float64
	waiting     int
	paused      bool
	// callersClock is the highest virtual time at which one of the callers was served.
	callersClock float64
	callers      map[string]*caller
	unstarted    teamNode
	started      teamNode
}

// caller is a flow of the second level of fair queueing.
type caller struct {
	team        *team
	virtualTime float64
	waiting     int
	unstarted   callerNode
	started     callerNode
}

// New returns an empty queue; ageingStep is the delay in the order for each waiting task.
func New(ageingStep time.Duration) *Queue {
	return &Queue{ageingStep: ageingStep, teams: make(map[string]*team)}
}

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return q.waiting }

// Backlog returns the number of waiting tasks of a team, and its share of the total weight
// of all teams with waiting tasks, itself included.
func (q *Queue) Backlog(name string, weight float64) (waiting int, share float64) {
	weight = weightOrOne(weight)
	total := weight
	for n, t := range q.teams {
		if n != name && t.waiting > 0 {
			total += t.weight
		}
	}
	if t := q.teams[name]; t != nil {
		waiting = t.waiting
	}
	return waiting, weight / total
}

// Add adds n waiting tasks to the job.
func (q *Queue) Add(j *Job, n int) {
	if j.removed || n <= 0 {
		return
	}
	if !j.queued {
		j.caller = q.callerOf(j)
	}
	c := j.caller
	t := c.team
	if t.waiting == 0 {
		t.virtualTime = max(t.virtualTime, q.virtualClock)
	}
	if c.waiting == 0 {
		c.virtualTime = max(c.virtualTime, t.callersClock)
	}
	j.waiting += n
	c.waiting += n
	t.waiting += n
	q.waiting += n
	if !j.queued {
		q.push(j)
	}
}

func (q *Queue) callerOf(j *Job) *caller {
	t := q.teams[j.Team]
	if t == nil {
		t = &team{name: j.Team, virtualTime: q.virtualClock, callers: make(map[string]*caller)}
		t.unstarted.team = t
		t.started.team = t
		q.teams[j.Team] = t
	}
	t.weight = weightOrOne(j.Weight)
	c := t.callers[j.Caller]
	if c == nil {
		c = &caller{team: t, virtualTime: t.callersClock}
		c.unstarted.caller = c
		c.started.caller = c
		t.callers[j.Caller] = c
	}
	return c
}

// Remove removes all waiting tasks of the job and returns their number. The job cannot be
// added again.
func (q *Queue) Remove(j *Job) int {
	n := j.waiting
	if j.removed {
		return 0
	}
	j.removed = true
	if j.caller == nil {
		return 0
	}
	q.addWaiting(j, -n)
	if j.queued {
		j.caller.node(j.started).noteRemoved()
	}
	q.forgetIdle(j.caller)
	return n
}

func (q *Queue) addWaiting(j *Job, n int) {
	j.waiting += n
	j.caller.waiting += n
	j.caller.team.waiting += n
	q.waiting += n
}

// Top returns the job whose task goes next, or nil. If startedOnly is set, it skips jobs
// of which no task was taken yet.
func (q *Queue) Top(startedOnly bool) *Job {
	started := top(&q.started)
	if startedOnly {
		return started
	}
	unstarted := top(&q.unstarted)
	if started == nil || (unstarted != nil && unstarted.precedes(started)) {
		return unstarted
	}
	return started
}

func (j *Job) precedes(o *Job) bool {
	if j.caller.team != o.caller.team {
		return j.caller.team.virtualTime < o.caller.team.virtualTime
	}
	if j.caller != o.caller {
		return j.caller.virtualTime < o.caller.virtualTime
	}
	return j.before(o)
}

// Take takes one task of the job that Top returned and charges the cost to its team and
// caller. The unit of cost is arbitrary, but the same for all tasks.
func (q *Queue) Take(j *Job, cost float64) {
	c := j.caller
	t := c.team
	q.virtualClock = max(q.virtualClock, t.virtualTime)
	t.callersClock = max(t.callersClock, c.virtualTime)
	t.virtualTime += cost / t.weight
	c.virtualTime += cost
	q.addWaiting(j, -1)
	node := c.node(j.started)
	node.jobs.pop()
	j.queued = false
	j.started = true
	if j.waiting > 0 {
		q.push(j)
	}
	q.forgetIdle(c)
}

// forgetIdle drops callers of c's team, and the team, that have no waiting tasks and whose
// virtual time is not ahead of the others'. It does so only while the team has no waiting
// tasks and there are more than maxIdleFlows teams or callers of the team. Without it the
// queue would keep every caller it ever saw.
func (q *Queue) forgetIdle(c *caller) {
	t := c.team
	if t.waiting > 0 || len(t.callers) <= maxIdleFlows && len(q.teams) <= maxIdleFlows {
		return
	}
	for n, o := range t.callers {
		if o.waiting == 0 && o.virtualTime <= t.callersClock {
			delete(t.callers, n)
		}
	}
	if len(q.teams) > maxIdleFlows && t.virtualTime <= q.virtualClock && !t.paused {
		delete(q.teams, t.name)
	}
}

// Pause keeps the team's tasks in the queue and skips them until Resume.
func (q *Queue) Pause(name string) {
	if t := q.teams[name]; t != nil {
		t.paused = true
	}
}

// Resume ends a pause.
func (q *Queue) Resume(name string) {
	t := q.teams[name]
	if t == nil || !t.paused {
		return
	}
	t.paused = false
	q.pushTeam(&t.unstarted, false)
	q.pushTeam(&t.started, true)
}

func weightOrOne(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}
