package plan

import (
	"fmt"
	"time"

	"snipehub.example/dispatch/queue"
	"snipehub.example/refusal"
	"snipehub.example/tables"
)

const (
	// budgetBurst is how many retries may come at once.
	budgetBurst = 20
	// budgetTrickle is the retries a second that are allowed without any
	// first attempts, so that the last tasks of a lull are tried again too.
	budgetTrickle = 2

	leastRetryAfter = 100 * time.Millisecond
	mostRetryAfter  = 30 * time.Second
)

// budget allows retries as a share of first attempts.
type budget struct {
	share  float64
	tokens float64
}

func (b *budget) first() { b.tokens = min(b.tokens+b.share, budgetBurst) }

func (b *budget) pass(d time.Duration) {
	b.tokens = min(b.tokens+budgetTrickle*d.Seconds(), budgetBurst)
}

func (b *budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// drain learns how many tasks of a pool end in a second while tasks wait.
type drain struct {
	rate   float64
	ended  int
	from   time.Time
	waited bool
}

const (
	drainWindow = time.Second
	drainStep   = 0.3
)

// tick closes a window. Only windows with tasks waiting from end to end count:
// in the others the rate is that of the callers.
func (d *drain) tick(now time.Time, waiting bool) {
	if now.Sub(d.from) < drainWindow {
		d.waited = d.waited && waiting
		return
	}
	if d.waited && waiting {
		sample := float64(d.ended) / now.Sub(d.from).Seconds()
		if d.rate == 0 {
			d.rate = sample
		}
		d.rate += (sample - d.rate) * drainStep
	}
	d.ended = 0
	d.from = now
	d.waited = waiting
}

// Submit takes all tasks of the job, or refuses it whole; then nothing of it is
// ever started.
func (p *Planner) Submit(now time.Time, j Job) error {
	route, err := p.admit(now, j)
	if err != nil {
		return err
	}
	t := p.team(j)
	w := &work{job: j, line: p.line(route.Pool), team: t, left: j.Tasks, index: -1}
	w.q = &queue.Job{Team: t.name, Caller: j.Caller, Weight: t.weight, Arrived: now, Owner: w}
	// A job of one task is never partly started and needs no slot.
	w.q.SetOpened(j.Tasks == 1)
	t.jobs++
	p.jobs[j.ID] = w
	p.expiry.add(w)
	p.waiting += j.Tasks
	w.line.Add(w.q, j.Tasks)
	p.quota(t, 0)
	return nil
}

func (p *Planner) admit(now time.Time, j Job) (tables.Route, error) {
	route, ok := p.world.Tables.Route(j.Kind)
	switch {
	case !ok:
		return route, refusal.New(refusal.NoRoute, j.Kind)
	case p.jobs[j.ID] != nil:
		return route, refusal.New(refusal.Internal, "the job is here already")
	case j.Tasks <= 0:
		return route, refusal.New(refusal.BadRequest, "no tasks")
	case !p.world.MayPlace:
		return route, refusal.New(refusal.CutOff, "")
	case !p.usable(route.Pool):
		return route, refusal.New(refusal.NoServer, route.Pool).After(leastRetryAfter)
	case j.Guest && p.Free() == 0 && p.waiting >= p.soon(p.line(route.Pool)):
		return route, refusal.New(refusal.Overloaded, "no room for a peer's task")
	case !now.Before(j.Expires):
		return route, refusal.New(refusal.Hopeless, "its time is over")
	}
	if least := p.least(route.Pool, j); now.Add(least).After(j.Expires) {
		return route, refusal.New(refusal.Hopeless, fmt.Sprintf("it takes %v at the least", least))
	}
	if p.waiting+j.Tasks > p.cfg.QueuedTasks {
		return route, refusal.New(refusal.Overloaded, "too many tasks wait").After(p.retryAfter(p.cfg.MaxWait))
	}
	if over := p.quotaWait(j); over > p.cfg.MaxWait || now.Add(over).After(j.Expires) {
		return route, refusal.New(refusal.OverQuota, j.Team).After(p.retryAfter(over))
	}
	wait := p.wait(route.Pool, j)
	switch {
	case wait > p.cfg.MaxWait:
		return route, refusal.New(refusal.Overloaded, "").After(p.retryAfter(wait - p.cfg.MaxWait))
	case wait+p.work(route.Pool, j) > time.Duration(waitShare*float64(j.Expires.Sub(now))):
		return route, refusal.New(refusal.Overloaded, "its deadline would pass").After(p.retryAfter(wait))
	}
	return route, nil
}

// doubt is by how much learned times are trusted when work is called hopeless:
// a wrong "hopeless" turns away work that could be done.
const doubt = 0.5

// waitShare is the largest part of a job's time that it may be expected to wait.
// The rest covers its tasks' own time, the error of the learned rate, and the
// slowest of its tasks; a job that ends late has held slots for nothing.
const waitShare = 0.5

// least returns the shortest time in which the job could be done if all slots
// of its pool, in every data centre, were free.
func (p *Planner) least(name string, j Job) time.Duration {
	u := p.kind(j.Kind)
	slots := p.reach(name).slots
	if !u.Known() || slots == 0 {
		return 0
	}
	rounds := (j.Tasks + slots - 1) / slots
	return time.Duration(doubt * float64(rounds) * float64(u.Mean()))
}

// tooLate tells that a task of the work can't end in time any more. Starting
// it would hold a slot for an answer that nobody waits for; under overload
// that is how goodput falls when the offered load rises.
func (p *Planner) tooLate(now time.Time, w *work) bool {
	least := time.Duration(0)
	if u := p.kind(w.job.Kind); u.Known() {
		least = time.Duration(doubt * float64(u.Mean()))
	}
	return !now.Add(least).Before(w.job.Expires)
}

// wait returns the expected wait of the job's first task behind what waits:
// behind its own team's tasks at the team's part of the drain rate, or behind
// everything, whichever is shorter.
func (p *Planner) wait(name string, j Job) time.Duration {
	l := p.line(name)
	rate := l.drain.rate
	if rate <= 0 {
		return 0
	}
	t := p.team(j)
	defer p.forget(t)
	own, part := l.Backlog(t.name, t.weight)
	behind := min(float64(own)/part, float64(l.Len()))
	return time.Duration(behind / rate * float64(time.Second))
}

// quotaWait returns how long a team's tasks wait for its own quota, as far as
// service times are known.
func (p *Planner) quotaWait(j Job) time.Duration {
	t := p.team(j)
	defer p.forget(t)
	u := p.kind(j.Kind)
	if t.part == 0 || !u.Known() {
		return 0
	}
	own, _ := p.line(p.pool(j)).Backlog(t.name, t.weight)
	return u.Mean() * time.Duration(own) / time.Duration(t.part)
}

func (p *Planner) pool(j Job) string {
	r, _ := p.world.Tables.Route(j.Kind)
	return r.Pool
}

// work returns the time that the job's own tasks take at the drain rate, or at
// the rate of all connections when that is higher, with the doubt that is due to
// a learned rate. Without the second, a rate that was learned while servers were
// sick turns work away for ever: what is refused does not wait, and only waiting
// tasks teach a new rate.
func (p *Planner) work(name string, j Job) time.Duration {
	rate := p.line(name).drain.rate
	u := p.kind(j.Kind)
	if here := p.fleet.Pool(name); here != nil && u.Known() {
		rate = max(rate, float64(min(here.Limit(), p.cfg.Connections))/u.Mean().Seconds())
	}
	if rate <= 0 {
		return 0
	}
	return time.Duration(doubt * float64(j.Tasks) / rate * float64(time.Second))
}

// retryAfter spreads the callers that were refused together, who would
// otherwise come back together.
func (p *Planner) retryAfter(d time.Duration) time.Duration {
	d = min(max(d, leastRetryAfter), mostRetryAfter)
	return d + time.Duration(p.rnd.Int64N(int64(d)))
}
