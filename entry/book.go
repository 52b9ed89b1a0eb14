package entry

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"snipehub.example/lease"
	"snipehub.example/mesh"
)

const (
	// forgetAfter is when runs at a holder that was lost are surely over: it
	// stops them within a second of losing sight of this process, and if it
	// can't, their lease of a second runs out.
	forgetAfter = 2100 * time.Millisecond
	// keepDone is how long the answer of a job is kept for a late copy of its
	// request.
	keepDone = 4 * time.Second
)

type state int

const (
	// blocked: an earlier step isn't done.
	blocked state = iota
	// waiting: the planner was asked.
	waiting
	// placed: the holder was told to start it.
	placed
	done
)

type task struct {
	step, index int
	state       state
	// run is the number of the last run, failures how many ended as failed, unfit how many
	// were not started because the order itself was wrong.
	run, failures, unfit int
	// worker and holder are where it is placed.
	worker string
	holder mesh.ID
	// fence is the holder's.
	fence lease.Fence
	// estimate is the expected time there at ordinary speed.
	estimate time.Duration
	// avoid is the worker that did not start the last run.
	avoid string
	// placedAt is when it was placed.
	placedAt time.Time
	// adrift is since when the holder is out of sight, zero while it isn't.
	adrift time.Time
}

type job struct {
	Request
	text                lease.Text
	arrived, aim, limit time.Time
	tasks               []*task
	waiters             []Waiter
	// asked is when the planner was asked for tasks of which none was granted yet.
	asked time.Time
	// elsewhere is the planner of another cell that was asked after this cell's has refused
	// the job; zero before.
	elsewhere mesh.ID
	// ran tells that a run has ended that had begun.
	ran bool
	// answer is set when the job is over; until then it is nil.
	answer *Answer
	over   time.Time
}

// Book is the jobs of one process. It is a pure value: events and times go in,
// actions come out.
type Book struct {
	log     *slog.Logger
	jobs    map[string]*job
	waiters map[Waiter]*job
	// runs finds the task of a run that is placed.
	runs    map[lease.Run]placedTask
	planner mesh.ID
	// others are the planners of other cells.
	others []mesh.ID
	delay  delay
	acts   []Action
	counts Counts
}

type placedTask struct {
	j *job
	t *task
}

// New makes an empty book.
func New(log *slog.Logger) *Book {
	return &Book{
		log:     log,
		jobs:    make(map[string]*job),
		waiters: make(map[Waiter]*job),
		runs:    make(map[lease.Run]placedTask),
		counts:  Counts{Ended: make(map[lease.How]int64), NotStarted: make(map[lease.Reason]int64)},
	}
}

// Counts is what has happened to runs since the process started.
type Counts struct {
	Ended      map[lease.How]int64
	NotStarted map[lease.Reason]int64
}

// PlannerDelay is how long the planner has taken to answer, beside its wait for room.
func (b *Book) PlannerDelay() time.Duration { return b.delay.ask.Value(asks) }

// Counts returns the counts, which the book goes on to change.
func (b *Book) Counts() Counts { return b.counts }

// Take returns the actions that have come up since the last call.
func (b *Book) Take() []Action {
	a := b.acts
	b.acts = nil
	return a
}

// Len returns the number of jobs that are not answered.
func (b *Book) Len() int {
	n := 0
	for _, j := range b.jobs {
		if j.answer == nil {
			n++
		}
	}
	return n
}

func (b *Book) sorted() []*job {
	out := make([]*job, 0, len(b.jobs))
	for _, j := range b.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(x, y *job) int { return cmp.Or(x.arrived.Compare(y.arrived), cmp.Compare(x.ID, y.ID)) })
	return out
}

// Leave takes note that a caller has gone. Work that nobody waits for is stopped.
func (b *Book) Leave(now time.Time, w Waiter) {
	j, ok := b.waiters[w]
	if !ok {
		return
	}
	delete(b.waiters, w)
	j.waiters = slices.DeleteFunc(j.waiters, func(o Waiter) bool { return o == w })
	if len(j.waiters) == 0 && j.answer == nil {
		b.finish(now, j, Answer{Status: Unknown, Why: "caller_left"})
	}
}

// Cancel stops a job by its caller's wish, and tells whether it is known here.
func (b *Book) Cancel(now time.Time, id string) bool {
	j, ok := b.jobs[id]
	if !ok {
		return false
	}
	if j.answer == nil {
		b.finish(now, j, Answer{Status: Unknown, Why: "cancelled"})
	}
	return true
}

// State tells what a caller who asks is shown; false if the job isn't known.
func (b *Book) State(id string) (started bool, answer *Answer, ok bool) {
	j, ok := b.jobs[id]
	if !ok {
		return false, nil, false
	}
	return j.begun(), j.answer, true
}

// Pending counts the jobs of a queue of which no task has begun.
func (b *Book) Pending(queue string) int {
	n := 0
	for _, j := range b.jobs {
		if j.Queue.Name == queue && j.answer == nil && !j.begun() {
			n++
		}
	}
	return n
}

// Tick gives up jobs whose time is over, and runs whose holder was lost for so
// long that they have ended.
func (b *Book) Tick(now time.Time) {
	b.delay.tick(now)
	for _, p := range b.adrift(now) {
		b.over(now, p.j, p.t, lease.End{Run: p.j.name(p.t), How: lease.Lost})
	}
	for _, j := range b.sorted() {
		switch {
		case j.answer != nil:
			b.settle(now, j)
		case now.Before(j.limit):
			b.silence(now, j)
		case j.begun():
			b.finish(now, j, Answer{Status: Unknown, Why: "time_over"})
		default:
			b.finish(now, j, Answer{Status: Refused, Why: "time_over"})
		}
	}
}

// Thawed gives up all jobs: this process did not run for so long that its callers
// may be served by others.
func (b *Book) Thawed(now time.Time) {
	for _, j := range b.sorted() {
		if j.answer == nil {
			b.finish(now, j, Answer{Status: Unknown, Why: "process_was_frozen"})
		}
	}
}

func (b *Book) act(a Action) { b.acts = append(b.acts, a) }

func compareRuns(x, y lease.Run) int {
	return cmp.Or(cmp.Compare(x.Task, y.Task), cmp.Compare(x.Number, y.Number))
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
