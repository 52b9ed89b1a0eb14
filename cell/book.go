// Package cell plans for a cell: some hundreds of workers and the processes that
// hold them.
//
// One process of the cell plans, because free room must be seen in one place: with
// a planner for each data centre, jobs wait in one while workers idle in the next.
// A Book is what the planner knows: free room as the holders report it, the tasks
// that wait, and what it has granted and not yet seen. All of it is soft. Two
// planners at once, or a wrong one, cost starts that are turned down for want of
// room, never a broken promise; a planner that dies is replaced by the next, which
// is told everything again.
//
// It decides three things: which member holds which worker (duty.go), who waits
// and who is refused (admit.go), and which worker a task goes to (place.go).
//
// Limits: the cost of a decision grows with the workers that have room and the
// jobs that wait, so a cell has a few hundred workers.
package cell

import (
	"log/slog"
	"time"

	"snipehub.example/event"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

const (
	// grantFor is how long a grant counts as used that no holder reports: the
	// entry process got it and sends the start, two messages, or it died.
	grantFor = 550 * time.Millisecond
)

// worker is what the planner knows of one worker.
type worker struct {
	lease.Worker
	// listed tells that the platform lists it, draining that it takes no new
	// tasks.
	listed, draining bool
	// holder is who holds it; zero for nobody. since is from when on.
	holder mesh.ID
	since  time.Time
	// confirmed tells that the holder has reported it. told is when the holder
	// was last told to hold it, relieved to pass it on.
	confirmed      bool
	told, relieved time.Time
	// former is the holder before, letGo when it ended.
	former mesh.ID
	letGo  time.Time
	// brief counts the holders in a row that did not keep it.
	brief int
	fence lease.Fence
	open  bool
	// shut is when it last ceased to be open.
	shut time.Time
	// failures counts the holder's calls without an answer.
	failures int
	badSince time.Time
	// aside tells that it is given one task now and then, to see whether it is
	// well again: the next at probeAt, after that with the pause probeWait.
	aside     bool
	probeAt   time.Time
	probeWait time.Duration

	runs  map[lease.Run]held
	used  lease.Room
	speed lease.Speed
}

// held is a run on a worker, reported or granted.
type held struct {
	room lease.Room
	// began is when it was started, or granted.
	began    time.Time
	estimate time.Duration
	// percent is how much is done, as of seen.
	percent int
	seen    time.Time
	// granted tells that no holder has reported it yet.
	granted bool
	job     string
}

// put and drop keep the room in use with the runs.
func (w *worker) put(r lease.Run, h held) {
	w.drop(r)
	w.runs[r] = h
	w.used = w.used.Plus(h.room)
}

func (w *worker) drop(r lease.Run) {
	if h, ok := w.runs[r]; ok {
		w.used = w.used.Minus(h.room)
		delete(w.runs, r)
	}
}

// left is the room that is not in use.
func (w *worker) left() lease.Room { return w.Room.Minus(w.used) }

// key names the waiting tasks of one step of a job.
type key struct {
	job  string
	step int
}

// wait is the tasks of one step of a job that wait for workers.
type wait struct {
	Ask
	key
	owner             mesh.ID
	arrived, aim, end time.Time
	// asked is when the planner was last asked.
	asked time.Time
}

// Action is what a book asks its shell to do. One of the pointers is set.
type Action struct {
	To      mesh.ID
	Grant   *Grant
	Refusal *Refusal
	Duty    *Duty
	Relief  *Relief
	Drain   *Drain
}

// Book is the planner's state. It is a pure value.
type Book struct {
	log     *slog.Logger
	self    mesh.ID
	policy  Policy
	active  bool
	began   time.Time
	members map[mesh.ID]*member
	// callers are the data centres of the processes that may ask: the members, and those of
	// other cells.
	callers map[mesh.ID]string
	workers map[string]*worker
	waits   map[key]*wait
	line    line
	// bySpeed is the workers, fastest first, as of the last tick.
	bySpeed []*worker
	// room is the memory for the seats of one Place.
	room []seat
	// byID is the workers in the order of their names.
	byID []*worker
	// admitted is when it was last looked ahead.
	admitted time.Time
	// late is how late the last job was that was refused then.
	late time.Duration
	// changed tells that something may be placed, loose that a worker may be
	// without a holder.
	changed, loose bool
	// may tells whether workers of lost members may be given to others, all
	// whether every process that there is is in sight.
	may, all bool
	acts     []Action
	counts   Counts
	// listedOnce tells that the platform's list was read.
	listedOnce bool
}

type member struct {
	mesh.Member
	reported bool
}

// New makes a book that doesn't plan yet.
func New(log *slog.Logger, self mesh.ID, policy Policy) *Book {
	b := &Book{log: log, self: self, policy: policy.orDefault(), counts: Counts{Refused: make(map[string]int64)}}
	b.clear()
	return b
}

func (b *Book) clear() {
	b.members = make(map[mesh.ID]*member)
	b.workers = make(map[string]*worker)
	b.waits = make(map[key]*wait)
	b.line = line{order: b.policy.Order}
	b.bySpeed, b.byID = nil, nil
	b.listedOnce = false
}

// Take returns the actions that have come up since the last call.
func (b *Book) Take() []Action {
	a := b.acts
	b.acts = nil
	return a
}

// Counts is what this process has decided as the planner since it started.
type Counts struct {
	Granted int64
	Refused map[string]int64
}

// Counts returns the counts, which the book goes on to change.
func (b *Book) Counts() Counts { return b.counts }

// Active tells whether this process plans.
func (b *Book) Active() bool { return b.active }

// Begin makes this process the planner.
func (b *Book) Begin(now time.Time) {
	if b.active {
		return
	}
	b.clear()
	b.active, b.began = true, now
	event.PlannerBegan.Log(b.log, "planner", b.self)
}

// Stop ends the planning.
func (b *Book) Stop() {
	if !b.active {
		return
	}
	b.active = false
	event.PlannerEnded.Log(b.log, "planner", b.self, "waiting", len(b.waits))
	b.clear()
}

// Members takes the processes of the cell that are in sight, this one included, and all
// that may ask, the members included.
// may tells whether the workers of those out of sight may be given to others, whole
// whether nobody is out of sight.
func (b *Book) Members(now time.Time, all, callers []mesh.Member, may, whole bool) {
	if !b.active {
		return
	}
	b.may, b.all = may, whole
	next := make(map[mesh.ID]*member, len(all))
	for _, m := range all {
		e := b.members[m.ID]
		if e == nil {
			e = &member{}
		}
		e.Member = m
		next[m.ID] = e
	}
	b.members = next
	b.callers = make(map[mesh.ID]string, len(callers))
	for _, m := range callers {
		b.callers[m.ID] = m.DataCenter
	}
	for _, w := range b.workers {
		if w.holder != (mesh.ID{}) && next[w.holder] == nil {
			b.unhold(now, w)
		}
	}
	for _, wt := range b.waits {
		if _, ok := b.callers[wt.owner]; !ok {
			b.drop(wt)
		}
	}
	b.assign(now)
}

// opened takes note of whether tasks may be started there.
func (w *worker) opened(now time.Time, open bool) {
	if w.open && !open {
		w.shut = now
	}
	w.open = open
}

// unhold takes note that nobody holds the worker.
func (b *Book) unhold(now time.Time, w *worker) {
	w.countBrief(now)
	w.letGo = now
	w.opened(now, false)
	w.former, w.holder, w.confirmed = w.holder, mesh.ID{}, false
	w.told, w.relieved = time.Time{}, time.Time{}
	b.loose = true
}

// HasList tells whether the platform's list has been read for this planner.
func (b *Book) HasList() bool { return b.listedOnce }

// Listed is a worker as the platform lists it.
type Listed struct {
	lease.Worker
	Draining bool `cbor:"8,keyasint,omitzero"`
}

// Workers takes the platform's list, or changes of it.
func (b *Book) Workers(now time.Time, l Listing) {
	if !b.active {
		return
	}
	if l.Whole && !l.Copy {
		for _, w := range b.workers {
			w.listed = false
		}
		b.listedOnce = true
	}
	for _, w := range l.Listed {
		b.listed(w)
	}
	for _, id := range l.Dropped {
		if w := b.workers[id]; w != nil {
			w.listed = false
		}
	}
	b.assign(now)
	b.changed = true
}

func (b *Book) listed(l Listed) {
	w := b.workers[l.ID]
	if w == nil {
		w = &worker{runs: make(map[lease.Run]held)}
		b.workers[l.ID], b.byID = w, nil
		event.WorkerListed.Log(b.log, "worker", l.ID, "address", l.Address, "pool", l.Pool, "data_center", l.DataCenter, "kind", l.Kind, "rack", l.Rack, "cpu", l.Room.CPU, "memory", l.Room.Memory)
	}
	w.Worker, w.listed = l.Worker, true
	if l.Draining && !w.draining {
		w.draining = true
		event.WorkerDraining.Log(b.log, "worker", l.ID)
		b.tellDraining(w)
	}
}

// tellDraining has the holder refuse starts on a worker that drains: grants are
// still on the way, and the next planner learns it from the holder before it has
// read the platform's list.
func (b *Book) tellDraining(w *worker) {
	if w.holder != (mesh.ID{}) {
		b.act(Action{To: w.holder, Drain: &Drain{Worker: w.ID}})
	}
}

// Tick does what is due.
func (b *Book) Tick(now time.Time) {
	if !b.active {
		return
	}
	for _, w := range b.workers {
		for r, h := range w.runs {
			if h.granted && now.Sub(h.began) >= grantFor {
				w.drop(r)
			}
		}
	}
	b.prune(now)
	b.assign(now)
	b.balance(now)
	b.sortSeats()
	b.changed = true
}

func (b *Book) act(a Action) { b.acts = append(b.acts, a) }
