package plan

import (
	"fmt"
	"time"

	"snipehub.example/dispatch/queue"
	"snipehub.example/refusal"
	"snipehub.example/tables"
)

const (
	// retryBudgetBurst is how many retries may come at once.
	retryBudgetBurst = 20
	// retryBudgetRefill is the retries a second that are allowed without any
	// first attempts, so that the last tasks of a lull are tried again too.
	retryBudgetRefill = 2

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// retryBudget allows retries as a share of first attempts.
type retryBudget struct {
	share  float64
	tokens float64
}

func (b *retryBudget) earn() { b.tokens = min(b.tokens+b.share, retryBudgetBurst) }

func (b *retryBudget) refill(d time.Duration) {
	b.tokens = min(b.tokens+retryBudgetRefill*d.Seconds(), retryBudgetBurst)
}

func (b *retryBudget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// drainRate learns how many tasks of a pool end in a second while tasks wait.
type drainRate struct {
	perSecond   float64
	endedTasks  int
	windowStart time.Time
	backlogged  bool
}

const (
	drainWindow = time.Second
	drainWeight = 0.3
)

// tick closes a window. Only windows with tasks waiting from end to end count:
// in the others the rate is that of the callers.
func (d *drainRate) tick(now time.Time, waiting bool) {
	if now.Sub(d.windowStart) < drainWindow {
		d.backlogged = d.backlogged && waiting
		return
	}
	if d.backlogged && waiting {
		sample := float64(d.endedTasks) / now.Sub(d.windowStart).Seconds()
		if d.perSecond == 0 {
			d.perSecond = sample
		}
		d.perSecond += (sample - d.perSecond) * drainWeight
	}
	d.endedTasks = 0
	d.windowStart = now
	d.backlogged = waiting
}

// Submit takes all tasks of the job, or refuses it whole; then nothing of it is
// ever started.
func (p *Planner) Submit(now time.Time, j Job) error {
	route, err := p.admit(now, j)
	if err != nil {
		return err
	}
	t := p.team(j)
	js := &jobState{job: j, poolQueue: p.poolQueue(route.Pool), team: t, unfinished: j.Tasks, expiryIndex: -1}
	js.queueJob = &queue.Job{Team: t.name, Caller: j.Caller, Weight: t.weight, Arrived: now, Owner: js}
	// A job of one task is never partly started and needs no slot.
	js.queueJob.SetStarted(j.Tasks == 1)
	t.jobs++
	p.jobs[j.ID] = js
	p.expiry.add(js)
	p.waiting += j.Tasks
	js.poolQueue.Add(js.queueJob, j.Tasks)
	p.countRunning(t, 0)
	return nil
}

func (p *Planner) admit(now time.Time, j Job) (tables.Route, error) {
	route, ok := p.cluster.Tables.Route(j.Kind)
	switch {
	case !ok:
		return route, refusal.New(refusal.NoRoute, j.Kind)
	case p.jobs[j.ID] != nil:
		return route, refusal.New(refusal.Internal, "the job is here already")
	case j.Tasks <= 0:
		return route, refusal.New(refusal.BadRequest, "no tasks")
	case !p.cluster.MayPlace:
		return route, refusal.New(refusal.CutOff, "")
	case !p.reachable(route.Pool):
		return route, refusal.New(refusal.NoServer, route.Pool).After(minRetryAfter)
	case j.FromPeer && p.Free() == 0 && p.waiting >= p.startableSoon(p.poolQueue(route.Pool)):
		return route, refusal.New(refusal.Overloaded, "no room for a peer's task")
	case !now.Before(j.Expires):
		return route, refusal.New(refusal.Hopeless, "its time is over")
	}
	if minDuration := p.minDuration(route.Pool, j); now.Add(minDuration).After(j.Expires) {
		return route, refusal.New(refusal.Hopeless, fmt.Sprintf("it takes %v at the least", minDuration))
	}
	if p.waiting+j.Tasks > p.cfg.QueuedTasks {
		return route, refusal.New(refusal.Overloaded, "too many tasks wait").After(p.retryAfter(p.cfg.MaxWait))
	}
	if teamWait := p.quotaWait(j); teamWait > p.cfg.MaxWait || now.Add(teamWait).After(j.Expires) {
		return route, refusal.New(refusal.OverQuota, j.Team).After(p.retryAfter(teamWait))
	}
	expectedWait := p.expectedWait(route.Pool, j)
	switch {
	case expectedWait > p.cfg.MaxWait:
		return route, refusal.New(refusal.Overloaded, "").After(p.retryAfter(expectedWait - p.cfg.MaxWait))
	case expectedWait+p.ownDuration(route.Pool, j) > time.Duration(maxWaitShare*float64(j.Expires.Sub(now))):
		return route, refusal.New(refusal.Overloaded, "its deadline would pass").After(p.retryAfter(expectedWait))
	}
	return route, nil
}

// learnedTimeFactor is by how much learned times are trusted when work is called hopeless:
// a wrong "hopeless" turns away work that could be done.
const learnedTimeFactor = 0.5

// maxWaitShare is the largest part of a job's time that it may be expected to wait.
// The rest covers its tasks' own time, the error of the learned rate, and the
// slowest of its tasks; a job that ends late has held slots for nothing.
const maxWaitShare = 0.5

// minDuration returns the shortest time in which the job could be done if all slots
// of its pool, in every data centre, were free.
func (p *Planner) minDuration(name string, j Job) time.Duration {
	u := p.serviceTime(j.Kind)
	slots := p.poolSummary(name).slots
	if !u.Known() || slots == 0 {
		return 0
	}
	rounds := (j.Tasks + slots - 1) / slots
	return time.Duration(learnedTimeFactor * float64(rounds) * float64(u.Mean()))
}

// tooLate tells that a task of the work can't end in time any more. Starting
// it would hold a slot for an answer that nobody waits for; under overload
// that is how goodput falls when the offered load rises.
func (p *Planner) tooLate(now time.Time, js *jobState) bool {
	minTime := time.Duration(0)
	if u := p.serviceTime(js.job.Kind); u.Known() {
		minTime = time.Duration(learnedTimeFactor * float64(u.Mean()))
	}
	return !now.Add(minTime).Before(js.job.Expires)
}

// expectedWait returns the expected expectedWait of the job's first task behind what waits:
// behind its own team's tasks at the team's part of the drain rate, or behind
// everything, whichever is shorter.
func (p *Planner) expectedWait(name string, j Job) time.Duration {
	l := p.poolQueue(name)
	rate := l.drainRate.perSecond
	if rate <= 0 {
		return 0
	}
	t := p.team(j)
	defer p.forgetIfIdle(t)
	own, part := l.Backlog(t.name, t.weight)
	behind := min(float64(own)/part, float64(l.Len()))
	return time.Duration(behind / rate * float64(time.Second))
}

// quotaWait returns how long a team's tasks wait for its own quota, as far as
// service times are known.
func (p *Planner) quotaWait(j Job) time.Duration {
	t := p.team(j)
	defer p.forgetIfIdle(t)
	u := p.serviceTime(j.Kind)
	if t.quotaShare == 0 || !u.Known() {
		return 0
	}
	own, _ := p.poolQueue(p.poolOf(j)).Backlog(t.name, t.weight)
	return u.Mean() * time.Duration(own) / time.Duration(t.quotaShare)
}

func (p *Planner) poolOf(j Job) string {
	r, _ := p.cluster.Tables.Route(j.Kind)
	return r.Pool
}

// ownDuration returns the time that the job's own tasks take at the drain rate, or at
// the rate of all connections when that is higher, with the doubt that is due to
// a learned rate. Without the second, a rate that was learned while servers were
// sick turns ownDuration away for ever: what is refused does not wait, and only waiting
// tasks teach a new rate.
func (p *Planner) ownDuration(name string, j Job) time.Duration {
	rate := p.poolQueue(name).drainRate.perSecond
	u := p.serviceTime(j.Kind)
	if here := p.fleet.Pool(name); here != nil && u.Known() {
		rate = max(rate, float64(min(here.Limit(), p.cfg.Connections))/u.Mean().Seconds())
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(learnedTimeFactor * float64(j.Tasks) / rate * float64(time.Second))
}

// retryAfter spreads the callers that were refused together, who would
// otherwise come back together.
func (p *Planner) retryAfter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d + time.Duration(p.rnd.Int64N(int64(d)))
}
