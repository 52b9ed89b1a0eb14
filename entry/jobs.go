package entry

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"snipehub.example/cell"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

const (
	// lostHolderTimeout is how long after the loss of their holder runs are certainly
	// over: the holder stops them within a second after this process has become
	// unreachable to it, and if it can't, their lease of a second expires.
	lostHolderTimeout = 2100 * time.Millisecond
	// answerRetention is how long the answer of a job is kept for a late copy of its
	// request.
	answerRetention = 4 * time.Second
	// maxTasks bounds the tasks of the jobs of a process that are not over, which take some 300
	// bytes each. A request of a hundred bytes can ask for 10,000.
	maxTasks = 30_000
)

type state int

const (
	// blocked: an earlier step isn't done.
	blocked state = iota
	// pending: a worker was requested from the planner.
	pending
	// placed: the holder was told to start it.
	placed
	done
)

type task struct {
	step, index int
	state       state
	// runNumber is the number of the last run, failures how many runs failed, wrongOrders
	// how many were not started because the order itself was wrong.
	runNumber, failures, wrongOrders int
	// worker and holder are where it is placed.
	worker string
	holder mesh.ID
	// fence is the holder's fence.
	fence lease.Fence
	// estimate is the expected duration on that worker at ordinary speed.
	estimate time.Duration
	// avoidWorker is the worker where the last run ended without being done.
	avoidWorker string
	placedAt    time.Time
	// unreachableSince is when the holder was found to be unreachable, or not to hold the
	// worker any more; zero otherwise.
	unreachableSince time.Time
}

type job struct {
	Request
	text                             lease.Text
	arrivedAt, objectiveAt, deadline time.Time
	tasks                            []*task
	steps                            []step
	// openTasks is the number of tasks that are not done, placedTasks that of those that are
	// placed.
	openTasks, placedTasks int
	waiters                []Waiter
	// requestedAt is when workers were last requested from a planner; zero once this cell's
	// planner has answered.
	requestedAt time.Time
	// otherPlanner is the planner of another cell from which workers were requested after
	// this cell's planner refused the job; zero before.
	otherPlanner mesh.ID
	// redirects counts how often the process that was taken for otherPlanner has named
	// another one; refusal is the refusal of this cell's planner.
	redirects int
	refusal   cell.Refusal
	// share is the share of the queue's jobs of which the job was one when it was admitted.
	share float64
	// ran is set once a run has ended that may have begun.
	ran bool
	// answer is nil until the job is over.
	answer     *Answer
	answeredAt time.Time
}

// Jobs keeps the jobs of one process. It is a deterministic state machine without I/O:
// events and times go in, actions come out.
type Jobs struct {
	log     *slog.Logger
	jobs    map[string]*job
	waiters map[Waiter]*job
	// runs finds the task of a placed run.
	runs    map[lease.Run]placedTask
	planner mesh.ID
	// nextPlannerAt is when another planner is expected because the heartbeat of this one is
	// overdue; zero otherwise.
	nextPlannerAt time.Time
	// otherPlanners are the planners of other cells.
	otherPlanners []mesh.ID
	// refusedBy is when each of them last refused a job of this process.
	refusedBy map[mesh.ID]time.Time
	delay     delay
	// levels holds what each planner admits.
	levels map[mesh.ID]receivedLevels
	// tasks is the number of tasks of the jobs that are not over.
	tasks   int
	actions []Action
	counts  Counts
}

type placedTask struct {
	j *job
	t *task
}

// New returns a Jobs without any job.
func New(log *slog.Logger) *Jobs {
	return &Jobs{
		log:       log,
		jobs:      make(map[string]*job),
		waiters:   make(map[Waiter]*job),
		runs:      make(map[lease.Run]placedTask),
		levels:    make(map[mesh.ID]receivedLevels),
		refusedBy: make(map[mesh.ID]time.Time),
		counts:    Counts{Ended: make(map[lease.Outcome]int64), NotStarted: make(map[lease.Reason]int64)},
	}
}

// Counts counts the ends of runs since the process started.
type Counts struct {
	Ended      map[lease.Outcome]int64
	NotStarted map[lease.Reason]int64
}

// PlannerDelay returns how long the planner takes to answer, without the time for which
// it waits for free resources.
func (js *Jobs) PlannerDelay() time.Duration { return js.delay.plannerTime.Value(plannerTimeRange) }

// Counts returns the counts. They share the maps of Jobs, which change later.
func (js *Jobs) Counts() Counts { return js.counts }

// TakeActions returns the actions that have come up since the last call.
func (js *Jobs) TakeActions() []Action {
	a := js.actions
	js.actions = nil
	return a
}

// Tasks returns the number of tasks of the jobs that have no answer or still run.
func (js *Jobs) Tasks() int { return js.tasks }

// OwnedJobs returns all jobs that are not answered, for the planner: requests about them that
// reach other processes find this one through it.
func (js *Jobs) OwnedJobs(now time.Time) (owned []cell.OwnedJob) {
	for _, j := range js.sortedJobs() {
		if j.answer == nil {
			owned = append(owned, cell.OwnedJob{Job: j.ID, Timeout: j.deadline.Sub(now)})
		}
	}
	return owned
}

// Len returns the number of jobs that are not answered.
func (js *Jobs) Len() int {
	n := 0
	for _, j := range js.jobs {
		if j.answer == nil {
			n++
		}
	}
	return n
}

func (js *Jobs) sortedJobs() []*job {
	out := make([]*job, 0, len(js.jobs))
	for _, j := range js.jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(x, y *job) int { return cmp.Or(x.arrivedAt.Compare(y.arrivedAt), cmp.Compare(x.ID, y.ID)) })
	return out
}

// CallerLeft records that a caller has gone. Work that no caller waits for is stopped.
func (js *Jobs) CallerLeft(now time.Time, w Waiter) {
	j, ok := js.waiters[w]
	if !ok {
		return
	}
	delete(js.waiters, w)
	j.waiters = slices.DeleteFunc(j.waiters, func(o Waiter) bool { return o == w })
	if len(j.waiters) == 0 && j.answer == nil {
		js.finish(now, j, Answer{Status: Unknown, Why: "caller_left"})
	}
}

// Cancel stops a job at its caller's request, if it is here and has no answer.
func (js *Jobs) Cancel(now time.Time, id string) { js.EndCopy(now, id, Cancelled) }

// EndCopy ends a job that was cancelled elsewhere, if a copy of it is here and has no answer. status is
// the final answer that the job had before the cancel, if any.
func (js *Jobs) EndCopy(now time.Time, id string, status Status) {
	if j := js.jobs[id]; j != nil && j.answer == nil {
		js.finish(now, j, answerOfCopy(status))
	}
}

// State returns what is known here of a job: it is present or absent.
func (js *Jobs) State(id string) JobState {
	j, ok := js.jobs[id]
	if !ok {
		return JobState{Knowledge: Absent}
	}
	s := JobState{Knowledge: Present, Started: j.hasBegun()}
	if j.answer != nil {
		s.Status = j.answer.Status
	}
	return s
}

// Pending counts the jobs of a queue of which no task has begun.
func (js *Jobs) Pending(queue string) int {
	n := 0
	for _, j := range js.jobs {
		if j.Queue.Name == queue && j.answer == nil && !j.hasBegun() {
			n++
		}
	}
	return n
}

// Tick gives up jobs past their deadline, and runs whose holder was lost for so long that
// they have ended. It refuses jobs that can't meet their objective any more, and forgets
// those that are over.
func (js *Jobs) Tick(now time.Time) {
	js.delay.fade(now)
	js.expireLevels(now)
	for _, p := range js.expiredRuns(now) {
		js.handleRunEnd(now, p.j, p.t, lease.End{Run: p.j.lastRun(p.t), Outcome: lease.Lost})
	}
	for _, j := range js.sortedJobs() {
		switch {
		case j.answer != nil:
			js.forgetIfOver(now, j)
		case now.Before(j.deadline):
			js.refuseIfTooLate(now, j)
		case j.hasBegun():
			js.finish(now, j, Answer{Status: Unknown, Why: "time_over"})
		default:
			js.finish(now, j, Answer{Status: Refused, Why: "time_over"})
		}
	}
}

// Resumed gives up all jobs: this process was suspended for so long that its callers may
// be served by others.
func (js *Jobs) Resumed(now time.Time) {
	for _, j := range js.sortedJobs() {
		if j.answer == nil {
			js.finish(now, j, Answer{Status: Unknown, Why: "process_was_frozen"})
		}
	}
}

// GiveUp answers all jobs, since this process ends. Those that have not begun are refused.
func (js *Jobs) GiveUp(now time.Time, why string) {
	for _, j := range js.sortedJobs() {
		switch {
		case j.answer != nil:
		case j.hasBegun():
			js.finish(now, j, Answer{Status: Unknown, Why: why})
		default:
			js.finish(now, j, Answer{Status: Refused, Why: why, RetryAfter: minRetryAfter + cell.RetryJitter(j.ID)})
		}
	}
}

func (js *Jobs) emit(a Action) { js.actions = append(js.actions, a) }

func compareRuns(x, y lease.Run) int {
	return cmp.Or(cmp.Compare(x.Task, y.Task), cmp.Compare(x.Number, y.Number))
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
