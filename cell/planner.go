// Package cell implements the planner of a cell: some hundreds of workers and the
// processes that hold them.
//
// One process of the cell is the planner, because free resources must be known in one
// place: with a planner for each data centre, jobs wait in one while workers idle in the
// next. The type Planner keeps its state: the free resources that the holders report, the
// pending requests, and the grants that no holder has reported yet. All of it is soft
// state. Two planners at once, or a planner with wrong data, cause starts that are
// refused for lack of resources; the guarantees of package lease hold all the same. When
// a planner dies, the next one builds its state anew from the members' reports and
// requests.
//
// It decides four things: which member holds which worker (assign.go), which share of the
// jobs is admitted at all (admission.go), which jobs stay pending and which are refused
// (admit.go), and which worker runs a task (pass.go, place.go).
//
// Limits: the cost of a decision grows with the number of workers that have free
// resources and with the number of pending jobs, so a cell has a few hundred workers.
package cell

import (
	"log/slog"
	"time"

	"snipehub.example/admission"
	"snipehub.example/catalog"
	"snipehub.example/event"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

const (
	// grantTimeout is how long the resources of a grant that no holder reports count as
	// used. Two messages separate the grant from the start, one to the entry process and
	// one from it; a grant that is not reported by then is taken as lost with its entry
	// process.
	grantTimeout = 550 * time.Millisecond
)

// worker is the planner's state of one worker.
type worker struct {
	lease.Worker
	// listed is set if the platform lists the worker.
	listed bool
	// running is the incarnation that answered a holder last, 0 if that is unknown. The
	// description may be that of another one.
	running int64
	// described is the incarnation whose description the holder has, describedAt when it was
	// last sent one.
	described   int64
	describedAt time.Time
	// drained is set if an incarnation accepts no new tasks: drainedIncarnation, or the one
	// that runs if that is 0.
	drained            bool
	drainedIncarnation int64
	// evacuated is set while no tasks may be started in the worker's data centre.
	evacuated bool
	// holder is the member that holds the worker, or zero; heldSince is when it was
	// assigned, or first reported the worker.
	holder    mesh.ID
	heldSince time.Time
	// confirmed is set once the holder has reported the worker. assignedAt is when the
	// last assignment was sent to the holder, releaseSentAt when it was last asked to
	// release the worker.
	confirmed                 bool
	assignedAt, releaseSentAt time.Time
	// formerHolder is the previous holder, releasedAt when it ceased to hold the worker.
	formerHolder mesh.ID
	releasedAt   time.Time
	// shortHolds counts the consecutive holders that kept the worker for less than
	// shortHoldThreshold.
	shortHolds int
	fence      lease.Fence
	// open is set if the holder reports that tasks may be started.
	open bool
	// closedAt is when open was last reset.
	closedAt time.Time
	// failures counts the consecutive calls of the holder that the worker did not answer;
	// failingSince is when the first of them was reported.
	failures     int
	failingSince time.Time
	// ejected is set while the worker gets only single probe tasks, to see whether it
	// works again: the next one at nextProbe, the one after it probeInterval later.
	ejected       bool
	nextProbe     time.Time
	probeInterval time.Duration

	runs  map[lease.Run]activeRun
	used  lease.Resources
	speed lease.Speed
}

// activeRun is a run that a holder has reported on a worker, or that was granted there.
type activeRun struct {
	resources lease.Resources
	// startedAt is when the run was started, or granted if it is unreported.
	startedAt time.Time
	estimate  time.Duration
	// percent is the progress at reportedAt.
	percent    int
	reportedAt time.Time
	// unreported is set for a grant that no holder has reported yet.
	unreported bool
	job        string
}

// addRun and dropRun keep used equal to the resources of all runs.
func (w *worker) addRun(r lease.Run, active activeRun) {
	w.dropRun(r)
	w.runs[r] = active
	w.used = w.used.Plus(active.resources)
}

func (w *worker) dropRun(r lease.Run) {
	if active, ok := w.runs[r]; ok {
		w.used = w.used.Minus(active.resources)
		delete(w.runs, r)
	}
}

// free returns the resources that no run uses.
func (w *worker) free() lease.Resources { return w.Resources.Minus(w.used) }

// stepKey identifies the pending request of one step of a job.
type stepKey struct {
	job  string
	step int
}

// pendingRequest is the tasks of one step of a job that wait for workers.
type pendingRequest struct {
	Request
	stepKey
	owner                          mesh.ID
	arrivedAt, objective, deadline time.Time
	// requestedAt is when the owner last sent the request.
	requestedAt time.Time
}

// Action is a message that the driver of a Planner must send. One of the pointers is set.
type Action struct {
	To         mesh.ID
	Grant      *Grant
	Refusal    *Refusal
	Assignment *Assignment
	Release    *Release
	Drain      *Drain
	Levels     *admission.Levels
	// Description is sent to the holder of the worker.
	Description *Description
}

// Planner is the planner of a cell as a deterministic state machine without I/O: it takes
// messages and times, and returns actions.
type Planner struct {
	log       *slog.Logger
	self      mesh.ID
	policy    Policy
	active    bool
	startedAt time.Time
	members   map[mesh.ID]*member
	// requesters holds the data centre of each process that may send requests: the members,
	// and processes of other cells.
	requesters map[mesh.ID]string
	workers    map[string]*worker
	pending    map[stepKey]*pendingRequest
	owners     jobOwners
	// tasks is the number of pending tasks and runs as of the last tick, and of those
	// requested since then.
	tasks        int
	requestQueue requestQueue
	// bySpeed is the workers, fastest first, as of the last tick.
	bySpeed []*worker
	// candidateBuf is the buffer for the candidates of one Place.
	candidateBuf []candidate
	// byID caches the workers in the order of their IDs; nil if it must be rebuilt.
	byID []*worker
	// passesUntil is how far the passes that left requests pending reach if each takes
	// passInterval.
	passesUntil time.Time
	// selector is the buffer for the choice among the holders of one request.
	selector  holderSelector
	admission admissionState
	// lastLookAhead is when lookAhead last ran.
	lastLookAhead time.Time
	// refusedDelay is how late the job would have been that the current look-ahead refused
	// last.
	refusedDelay time.Duration
	// needsPlanning is set if something has changed that may allow placing tasks,
	// hasUnheld if a worker may have lost its holder.
	needsPlanning, hasUnheld bool
	// mayReassign is set if workers of unreachable members may be assigned to others; while
	// it is not, no worker is assigned at all. allReachable is set if every existing process
	// is reachable.
	mayReassign, allReachable bool
	// hadQuorum is set if mayReassign was ever set in this term.
	hadQuorum bool
	// assignFrom is when workers may be assigned although not all members have reported.
	assignFrom time.Time
	// foundHeld is set once a member has reported a worker that this planner has not
	// assigned to it, or the planner was cut off from the others.
	foundHeld bool
	actions   []Action
	counts    Counts
	// listRead is set once the platform's worker list has been read. listAsOf is the time
	// as of which it is known, and listLate is set while that is more than MaxListAge ago.
	listRead bool
	listAsOf time.Time
	listLate bool
	// evacuations are the data centres in which no tasks may be started, which this process
	// knows whether it plans or not.
	evacuations catalog.Evacuations
	// guardedPools are the pools whose workers reject what exceeds their capacity, which this
	// process knows whether it plans or not.
	guardedPools map[string]struct{}
	// awaitListUntil is how long no tasks are granted unless the list has been read.
	awaitListUntil time.Time
}

type member struct {
	mesh.Member
	reported bool
	// toldJobs is set once the member has reported all its jobs.
	toldJobs bool
}

// New returns a Planner that is not active yet.
func New(log *slog.Logger, self mesh.ID, policy Policy) *Planner {
	pl := &Planner{log: log, self: self, policy: policy.withDefaults(), counts: Counts{Refused: make(map[string]int64), OfferedWork: make(map[string]int64), GrantedWork: make(map[string]int64)}}
	pl.clear()
	return pl
}

func (pl *Planner) clear() {
	pl.members = make(map[mesh.ID]*member)
	pl.workers = make(map[string]*worker)
	pl.pending = make(map[stepKey]*pendingRequest)
	pl.owners = jobOwners{byJob: make(map[string]jobOwner)}
	pl.requestQueue = requestQueue{order: pl.policy.Order}
	pl.admission = admissionState{controller: admission.NewController()}
	pl.bySpeed, pl.byID = nil, nil
	pl.tasks = 0
	pl.listRead, pl.listAsOf, pl.listLate = false, time.Time{}, false
	pl.mayReassign, pl.hadQuorum, pl.foundHeld = false, false, false
	pl.awaitListUntil = time.Time{}
}

// TakeActions returns and clears the actions that have accumulated since the last call.
func (pl *Planner) TakeActions() []Action {
	a := pl.actions
	pl.actions = nil
	return a
}

// Counts is what this process has decided as the planner since it started: the granted
// tasks, the refused requests by reason, the passes over the queue, and by queue the work
// that was offered and granted, in core milliseconds.
type Counts struct {
	Granted, Passes          int64
	Refused                  map[string]int64
	OfferedWork, GrantedWork map[string]int64
}

// Counts returns the counts. The maps in them are not copies: the Planner continues to change
// them.
func (pl *Planner) Counts() Counts { return pl.counts }

// Pending returns the number of pending requests.
func (pl *Planner) Pending() int { return len(pl.pending) }

// Active reports whether this process is the planner.
func (pl *Planner) Active() bool { return pl.active }

// Begin makes this process the planner, with an empty state.
func (pl *Planner) Begin(now time.Time) {
	if pl.active {
		return
	}
	pl.clear()
	pl.active, pl.startedAt, pl.listAsOf = true, now, now.Add(-mesh.SessionTimeout)
	pl.assignFrom = now.Add(reportGracePeriod)
	event.PlannerBegan.Log(pl.log, "planner", pl.self)
}

// Stop ends this process's time as the planner and drops the state.
func (pl *Planner) Stop() {
	if !pl.active {
		return
	}
	pl.active = false
	event.PlannerEnded.Log(pl.log, "planner", pl.self, "waiting", len(pl.pending))
	pl.clear()
}

// SetMembers sets the processes of the cell that are reachable, this one included, and the
// requesters: all processes that may send requests, the members included. mayReassign says
// whether the workers of unreachable members may be assigned to others; if not, no worker
// is assigned at all. allReachable says whether every existing process is reachable.
func (pl *Planner) SetMembers(now time.Time, reachable, requesters []mesh.Member, mayReassign, allReachable bool) {
	if !pl.active {
		return
	}
	next, joined := make(map[mesh.ID]*member, len(reachable)), false
	for _, m := range reachable {
		e := pl.members[m.ID]
		if e == nil {
			e, joined = &member{}, true
		}
		e.Member = m
		next[m.ID] = e
	}
	pl.members = next
	if joined && mayReassign && !pl.mayReassign && pl.hadQuorum {
		pl.assignFrom, pl.foundHeld = now.Add(reportGracePeriod), true
	}
	pl.hadQuorum = pl.hadQuorum || mayReassign
	pl.mayReassign, pl.allReachable = mayReassign, allReachable
	pl.requesters = make(map[mesh.ID]string, len(requesters))
	for _, m := range requesters {
		pl.requesters[m.ID] = m.DataCenter
	}
	for _, w := range pl.workers {
		if w.holder != (mesh.ID{}) && next[w.holder] == nil {
			pl.clearHolder(now, w)
		}
	}
	for _, p := range pl.pending {
		if _, ok := pl.requesters[p.owner]; !ok {
			pl.dropRequest(p)
		}
	}
	pl.assign(now)
}

// setOpen records whether tasks may be started on the worker.
func (w *worker) setOpen(now time.Time, open bool) {
	if w.open && !open {
		w.closedAt = now
	}
	w.open = open
}

// clearHolder records that nobody holds the worker.
func (pl *Planner) clearHolder(now time.Time, w *worker) {
	w.countShortHold(now)
	w.releasedAt = now
	w.setOpen(now, false)
	w.formerHolder, w.holder, w.confirmed = w.holder, mesh.ID{}, false
	w.assignedAt, w.releaseSentAt = time.Time{}, time.Time{}
	pl.hasUnheld = true
}

// HasWorkerList reports whether the platform's worker list has been read since this process
// became the planner.
func (pl *Planner) HasWorkerList() bool { return pl.listRead }

// ListedWorker is a worker as the platform lists it.
type ListedWorker struct {
	lease.Worker
	Draining bool `cbor:"8,keyasint,omitzero"`
}

// IsFromAnotherWriter reports whether an entry is not the worker's own, given what was known of it: a
// worker always says its incarnation.
func (l ListedWorker) IsFromAnotherWriter(known lease.Worker) bool {
	return l.Incarnation == 0 && known.Incarnation != 0
}

// UpdateWorkers applies the platform's worker list, or changes of it, as read or copied by
// a member.
func (pl *Planner) UpdateWorkers(now time.Time, from mesh.ID, l WorkerList) {
	if !pl.active {
		return
	}
	if !l.FromPlanner {
		pl.confirmList(now, from, now.Add(-l.Age))
	}
	if l.Full && !l.FromPlanner {
		for _, w := range pl.workers {
			w.listed = false
		}
		pl.listRead = true
	}
	for _, w := range l.Workers {
		pl.updateListed(now, w, from, l)
	}
	for _, id := range l.Removed {
		if w := pl.workers[id]; w != nil {
			w.listed = false
		}
	}
	pl.assign(now)
	pl.needsPlanning = true
}

// updateListed adds or updates a worker of a list that a member has read or copied.
func (pl *Planner) updateListed(now time.Time, l ListedWorker, from mesh.ID, list WorkerList) {
	w := pl.workers[l.ID]
	if w == nil {
		w = pl.addWorker(l.Worker)
		event.WorkerListed.Log(pl.log, "worker", l.ID, "address", l.Address, "pool", l.Pool, "data_center", l.DataCenter, "kind", l.Kind, "rack", l.Rack, "cpu", l.Resources.CPU, "memory", l.Resources.Memory, "incarnation", l.Incarnation)
	}
	w.listed = true
	if l.IsFromAnotherWriter(w.Worker) {
		return
	}
	// A copy can be older than what the holder has reported; a read can not.
	if !list.FromPlanner || !w.isCurrent() {
		pl.describe(now, w, l.Worker)
	}
	if l.Draining && pl.drain(w, l.Incarnation) {
		event.WorkerDraining.Log(pl.log, "worker", l.ID, "source", "list", "from", from, "read_ms_ago", list.Age.Milliseconds())
		pl.sendDrain(w)
	}
}

// addWorker adds a worker that was not known before.
func (pl *Planner) addWorker(l lease.Worker) *worker {
	w := &worker{Worker: l, evacuated: pl.evacuations.Includes(l.DataCenter), runs: make(map[lease.Run]activeRun)}
	pl.workers[l.ID], pl.byID = w, nil
	return w
}

// sendDrain has the holder refuse starts on a draining worker: grants may still be on
// their way, and the next planner learns of the drain from the holder before it has read
// the platform's list.
func (pl *Planner) sendDrain(w *worker) {
	if w.holder != (mesh.ID{}) {
		pl.emit(Action{To: w.holder, Drain: &Drain{Worker: w.ID, Incarnation: w.drainedIncarnation}})
	}
}

// Tick expires unreported grants and does the other periodic work: it forgets unlisted
// workers, assigns workers to holders, balances the load and sorts the workers by speed.
func (pl *Planner) Tick(now time.Time) {
	if !pl.active {
		return
	}
	for _, w := range pl.workers {
		for r, active := range w.runs {
			if active.unreported && now.Sub(active.startedAt) >= grantTimeout {
				w.dropRun(r)
			}
		}
	}
	pl.tasks = pl.countTasks()
	pl.owners.expire(now)
	pl.checkListAge(now)
	pl.forgetUnlisted(now)
	pl.assign(now)
	pl.balance(now)
	pl.sortBySpeed()
	pl.updateLevels(now)
	pl.needsPlanning = true
}

// countTasks returns the number of pending tasks and of runs, with long names counted as tasks.
func (pl *Planner) countTasks() int {
	n := 0
	for _, p := range pl.pending {
		n += p.weight()
	}
	for _, w := range pl.workers {
		n += len(w.runs)
	}
	return n
}

func (pl *Planner) emit(a Action) { pl.actions = append(pl.actions, a) }
