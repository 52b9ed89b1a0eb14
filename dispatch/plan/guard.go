package plan

import (
	"fmt"
	"time"

	"snipehub.example/dispatch/queue"
	"snipehub.example/refusal"
	"snipehub.example/tables"
)

const (
	// retryBudgetBurst is the most retries that the budget can hold.
	retryBudgetBurst = 20
	// retryBudgetRefill is the number of retries a second that are allowed without first
	// attempts, so that the last tasks before an idle period are retried too.
	retryBudgetRefill = 2

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// retryBudget is a token bucket that allows retries as a share of first attempts.
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

// drainRate measures how many tasks of a pool end in a second while tasks wait.
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

// tick closes a window if it is due. Only windows in which tasks wait throughout count:
// in the others, the rate is that at which callers submit.
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

// Submit accepts all tasks of the job or refuses it as a whole, in which case none of
// them ever starts.
func (p *Planner) Submit(now time.Time, j Job) error {
	route, err := p.admit(now, j)
	if err != nil {
		return err
	}
	t := p.team(j)
	js := &jobState{job: j, poolQueue: p.poolQueue(route.Pool), team: t, unfinished: j.Tasks, expiryIndex: -1}
	js.queueJob = &queue.Job{Team: t.name, Caller: j.Caller, Weight: t.weight, Arrived: now, Data: js}
	// A job of one task is never partly started and needs no job slot.
	js.queueJob.SetStarted(j.Tasks == 1)
	t.jobs++
	p.jobs[j.ID] = js
	p.expiry.add(js)
	p.waiting += j.Tasks
	js.poolQueue.Add(js.queueJob, j.Tasks)
	p.addRunning(t, 0)
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
		return route, refusal.New(refusal.NoServer, route.Pool).WithRetryAfter(minRetryAfter)
	case j.FromPeer && p.Free() == 0 && p.waiting >= p.startableSoon(p.poolQueue(route.Pool)):
		return route, refusal.New(refusal.Overloaded, "no room for a peer's task")
	case !now.Before(j.Expires):
		return route, refusal.New(refusal.Hopeless, "its time is over")
	}
	if minDuration := p.minDuration(route.Pool, j); now.Add(minDuration).After(j.Expires) {
		return route, refusal.New(refusal.Hopeless, fmt.Sprintf("it takes %v at the least", minDuration))
	}
	if p.waiting+j.Tasks > p.cfg.QueuedTasks {
		return route, refusal.New(refusal.Overloaded, "too many tasks wait").WithRetryAfter(p.retryAfter(p.cfg.MaxWait))
	}
	if teamWait := p.quotaWait(j); teamWait > p.cfg.MaxWait || now.Add(teamWait).After(j.Expires) {
		return route, refusal.New(refusal.OverQuota, j.Team).WithRetryAfter(p.retryAfter(teamWait))
	}
	expectedWait := p.expectedWait(route.Pool, j)
	switch {
	case expectedWait > p.cfg.MaxWait:
		return route, refusal.New(refusal.Overloaded, "").WithRetryAfter(p.retryAfter(expectedWait - p.cfg.MaxWait))
	case expectedWait+p.ownDuration(route.Pool, j) > time.Duration(maxTimeShare*float64(j.Expires.Sub(now))):
		return route, refusal.New(refusal.Overloaded, "its deadline would pass").WithRetryAfter(p.retryAfter(expectedWait))
	}
	return route, nil
}

// learnedTimeFactor scales down learned service times when deciding that work cannot meet
// its deadline: a wrong decision refuses work that could be done.
const learnedTimeFactor = 0.5

// maxTimeShare is the largest share of a job's remaining time that its wait and its own
// tasks may be expected to take. The rest covers the error of the learned rate and the
// slowest task; a job that ends after its deadline has used slots for nothing.
const maxTimeShare = 0.5

// minDuration returns the shortest time that the job could take if all slots of its pool,
// in every data centre, were free.
func (p *Planner) minDuration(poolName string, j Job) time.Duration {
	st := p.serviceTime(j.Kind)
	slots := p.poolSummary(poolName).slots
	if !st.Known() || slots == 0 {
		return 0
	}
	rounds := (j.Tasks + slots - 1) / slots
	return time.Duration(learnedTimeFactor * float64(rounds) * float64(st.Mean()))
}

// tooLate reports whether a task of the job can no longer end before its deadline.
// Starting it would use a slot for a result that nobody waits for. Under overload such
// starts make goodput fall as the offered load rises.
func (p *Planner) tooLate(now time.Time, js *jobState) bool {
	minTime := time.Duration(0)
	if st := p.serviceTime(js.job.Kind); st.Known() {
		minTime = time.Duration(learnedTimeFactor * float64(st.Mean()))
	}
	return !now.Add(minTime).Before(js.job.Expires)
}

// expectedWait returns how long the job's first task is expected to wait: behind its own
// team's tasks, at the team's share of the drain rate, or behind all tasks, whichever is
// shorter.
func (p *Planner) expectedWait(poolName string, j Job) time.Duration {
	pq := p.poolQueue(poolName)
	rate := pq.drainRate.perSecond
	if rate <= 0 {
		return 0
	}
	t := p.team(j)
	defer p.forgetIfIdle(t)
	own, share := pq.Backlog(t.name, t.weight)
	behind := min(float64(own)/share, float64(pq.Len()))
	return time.Duration(behind / rate * float64(time.Second))
}

// quotaWait returns how long the job's tasks wait for the team's quota, or 0 while the
// service time of their kind is unknown.
func (p *Planner) quotaWait(j Job) time.Duration {
	t := p.team(j)
	defer p.forgetIfIdle(t)
	st := p.serviceTime(j.Kind)
	if t.quotaShare == 0 || !st.Known() {
		return 0
	}
	own, _ := p.poolQueue(p.poolOf(j)).Backlog(t.name, t.weight)
	return st.Mean() * time.Duration(own) / time.Duration(t.quotaShare)
}

func (p *Planner) poolOf(j Job) string {
	r, _ := p.cluster.Tables.Route(j.Kind)
	return r.Pool
}

// ownDuration returns how long the job's own tasks take at the drain rate or, if that is
// higher, at the rate that this dispatcher's slots and connections allow, scaled by
// learnedTimeFactor. Without the second rate, one learned while servers were failing would
// refuse work for ever: refused tasks do not wait, and the rate is only updated while
// tasks wait.
func (p *Planner) ownDuration(poolName string, j Job) time.Duration {
	rate := p.poolQueue(poolName).drainRate.perSecond
	st := p.serviceTime(j.Kind)
	if here := p.fleet.Pool(poolName); here != nil && st.Known() {
		rate = max(rate, float64(min(here.Limit(), p.cfg.Connections))/st.Mean().Seconds())
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(learnedTimeFactor * float64(j.Tasks) / rate * float64(time.Second))
}

// retryAfter returns a random time between d, within its bounds, and twice that, so that
// callers refused together do not retry together.
func (p *Planner) retryAfter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d + time.Duration(p.rnd.Int64N(int64(d)))
}
