package node

import (
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"time"

	"snipehub.example/catalog"
	"snipehub.example/cell"
	"snipehub.example/entry"
	"snipehub.example/event"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

const (
	// orphanStopDelay is how long after the last sign of life of an entry process its runs
	// are stopped. They must end before a caller that lost its connection retries over
	// another process, which the platform allows after 1,300 ms; until then, a process
	// that only lost its connection has time to reconnect.
	orphanStopDelay = 900 * time.Millisecond
	// callerRetryDelay is how long after the last sign of life of a process its callers
	// may retry over another one, less the time that a worker takes to end runs whose
	// lease expires.
	callerRetryDelay = 1250 * time.Millisecond
)

// Core makes the decisions of one process in all its roles: entry, holder and planner,
// and which process has which role. It is a deterministic state machine without I/O:
// events and times go in, outputs come out. It is owned by one goroutine.
type Core struct {
	log      *slog.Logger
	self     mesh.Member
	catalogs *catalog.Store
	// evacuations are the data centres in which no tasks may be started.
	evacuations      catalog.Evacuations
	evacuationsQuery evacuationsQuery
	// evacuationDelays are how late, at most, changes of the evacuations were read from the
	// store since they were last exported.
	evacuationDelays []time.Duration
	// copy is the state of copying a newer catalog, packed the catalog as it is sent to
	// others. catalogDelays are like evacuationDelays.
	copy          catalogCopy
	packed        packedCatalog
	catalogDelays []time.Duration
	catalogParts  catalogParts
	members       map[mesh.ID]peerState
	// directory is what the store lists of the processes, layout how they are divided into
	// cells.
	directory directory
	layout    cellLayout
	// cellRecords are the listed processes of this cell, otherCells the first ones by
	// priority of the others.
	cellRecords map[netip.AddrPort]mesh.Member
	// left holds the processes that announced their stop before their session ended.
	left map[mesh.ID]struct{}
	// missing holds since when processes in cellRecords have been unreachable.
	missing    map[netip.AddrPort]time.Time
	otherCells map[cellID][]mesh.Member
	// foreign are the reachable processes of other cells. plannerHints are the planners that
	// processes there have named, unreachable when those that could not be reached were
	// last tried.
	foreign      map[cellID][]mesh.Member
	plannerHints map[cellID]mesh.ID
	unreachable  map[netip.AddrPort]time.Time
	// onDemand are the sessions with processes of other cells on which jobs here depend,
	// peers all processes to keep sessions with, nil if these are all that are known.
	onDemand map[mesh.ID]*onDemandSession
	peers    []mesh.Peer
	planner  mesh.ID
	// readers are the processes that read the platform's list of workers for this one while
	// it is the planner; readFor are the reads that this process makes for another planner.
	readers listReaders
	readFor ListReading
	// list is the platform's list of workers, as this process uses it if it is the
	// planner, or as the planner has copied it to this deputy. deputies are the members to
	// which this process copies the list while it is the planner.
	list     workerList
	deputies map[mesh.ID]struct{}
	entry    *entry.Jobs
	cell     *cell.Planner
	held     map[string]*lease.WorkerLease
	// sortedHeld caches the sorted keys of held, since they are iterated after each event.
	// It is nil when held has changed.
	sortedHeld []string
	poolStats  map[string]*lease.PoolStats
	// unannounced are the workers that became held since the members were last notified.
	unannounced []string
	// maxUsedFence is the highest fence used by leases of this process that have ended.
	maxUsedFence lease.Fence
	// lostMembers maps members whose session has ended to the time they were last heard,
	// until they reconnect or their runs here are stopped.
	lostMembers map[mesh.ID]time.Time
	// watched are the members whose heartbeats are watched closely. Until watchAllUntil,
	// all members are.
	watched       map[mesh.ID]struct{}
	watchAllUntil time.Time
	// quorum is set if more than half of the processes that the store lists are reachable,
	// and quorumSince is when it was set or this process last resumed from a suspension.
	quorum      bool
	quorumSince time.Time
	// settlesAt is resumeSettleTime after the last long suspension.
	settlesAt time.Time
	// fullReportAt is when the planner was last sent the list of all held workers, or zero
	// while that is due; describedAt is when it was last sent their complete states.
	fullReportAt, describedAt time.Time
	// reportedAt is when the planner was last sent any report.
	reportedAt time.Time
	// lookups are the searches for jobs that are not here. ending is set once this process
	// answers them at once, because it ends.
	lookups    map[uint64]*lookup
	lastLookup uint64
	ending     bool
	// cancelled are jobs that must not run, since a caller was told that they are cancelled.
	cancelled cancelledJobs
	out       []Output
}

// peerState is a reachable member and the number of the session with it.
type peerState struct {
	mesh.Member
	session uint64
}

// NewCore returns the core of a process.
func NewCore(log *slog.Logger, self mesh.Member, catalogs *catalog.Store, policy cell.Policy) *Core {
	return &Core{
		log:          log,
		self:         self,
		catalogs:     catalogs,
		members:      make(map[mesh.ID]peerState),
		plannerHints: make(map[cellID]mesh.ID),
		unreachable:  make(map[netip.AddrPort]time.Time),
		left:         make(map[mesh.ID]struct{}),
		missing:      make(map[netip.AddrPort]time.Time),
		onDemand:     make(map[mesh.ID]*onDemandSession),
		entry:        entry.New(log),
		cell:         cell.New(log, self.ID, policy),
		held:         make(map[string]*lease.WorkerLease),
		poolStats:    make(map[string]*lease.PoolStats),
		lostMembers:  make(map[mesh.ID]time.Time),
		lookups:      make(map[uint64]*lookup),
		watched:      make(map[mesh.ID]struct{}),
		readers:      listReaders{asked: make(map[mesh.ID]*listReader), tried: make(map[mesh.ID]struct{})},
	}
}

// Self returns the state that this process advertises.
func (c *Core) Self() mesh.Member { return c.self }

// Planner returns the elected planner, or the zero ID if there is none.
func (c *Core) Planner() mesh.ID { return c.planner }

// IsPlanner reports whether this process is the planner.
func (c *Core) IsPlanner() bool { return c.cell.Active() }

// PlannerPasses returns how many passes over pending requests this process has made as the
// planner.
func (c *Core) PlannerPasses() int64 { return c.cell.Counts().Passes }

// PlannerPending returns the number of pending requests at this process as the planner.
func (c *Core) PlannerPending() int { return c.cell.Pending() }

// Idle reports whether no job is in progress here and no worker is held.
func (c *Core) Idle() bool { return c.entry.Len() == 0 && len(c.held) == 0 }

// Take carries out all pending actions and returns the outputs since the last call.
func (c *Core) Take(now time.Time) []Output {
	c.runActions(now)
	c.report(now)
	c.runActions(now)
	out := c.out
	c.out = nil
	return out
}

// NextPass returns when Take should be called again at the latest although no event has
// come, because the planner has put off a pass over its pending requests; it returns the
// zero time otherwise.
func (c *Core) NextPass(now time.Time) time.Time { return c.cell.NextPass(now) }

// runActions routes the actions of the entry, the planner and the leases until none is
// left.
func (c *Core) runActions(now time.Time) {
	for c.runActionsOnce(now) {
	}
}

func (c *Core) runActionsOnce(now time.Time) bool {
	c.cell.Place(now)
	entryActions, plannerActions := c.entry.TakeActions(), c.cell.TakeActions()
	for _, a := range entryActions {
		c.handleEntryAction(now, a)
	}
	for _, a := range plannerActions {
		c.handlePlannerAction(now, a)
	}
	more := len(entryActions)+len(plannerActions) > 0
	for _, id := range c.heldIDs() {
		wl := c.held[id]
		acts := wl.TakeActions()
		more = more || len(acts) > 0
		for _, a := range acts {
			c.handleLeaseAction(now, wl, a)
		}
	}
	return more
}

func (c *Core) handleEntryAction(now time.Time, a entry.Action) {
	switch {
	case a.Answer != nil:
		c.out = append(c.out, Output{Answer: a.Answer})
	case a.Request != nil:
		c.send(now, c.plannerFor(now, a.To), Message{Request: a.Request})
	case a.Withdraw != nil:
		c.send(now, c.plannerFor(now, a.To), Message{Withdraw: a.Withdraw})
	case a.Start != nil:
		c.watch(a.To)
		c.send(now, a.To, Message{Start: a.Start})
	case a.Stop != nil:
		c.send(now, a.To, Message{Stop: a.Stop})
	case a.Claim != nil:
		c.watch(a.To)
		c.send(now, a.To, Message{Claim: a.Claim})
	}
}

// plannerFor returns the recipient of a message about a job: the planner of another cell
// if one is given, else that of the own cell.
func (c *Core) plannerFor(now time.Time, other mesh.ID) mesh.ID {
	if other == (mesh.ID{}) {
		return c.planner
	}
	if s := c.onDemand[other]; s != nil {
		s.usedAt = now
	}
	c.watch(other)
	return other
}

func (c *Core) handlePlannerAction(now time.Time, a cell.Action) {
	c.send(now, a.To, Message{Grant: a.Grant, Refusal: a.Refusal, Assignment: a.Assignment, Release: a.Release, Drain: a.Drain, Levels: a.Levels, Description: a.Description})
}

func (c *Core) handleLeaseAction(now time.Time, wl *lease.WorkerLease, a lease.Action) {
	w := wl.Worker()
	switch {
	case a.Hold != nil:
		c.out = append(c.out, Output{Worker: w, Hold: a.Hold})
	case a.Start != nil:
		c.out = append(c.out, Output{Worker: w, Start: a.Start})
	case a.Stop != nil:
		if a.Stop.Unclaimed {
			event.UnclaimedRunStopped.Log(c.log, "worker", w.ID, "task", a.Stop.Task, "run", a.Stop.Number, "fence", uint64(a.Stop.Fence))
		}
		c.out = append(c.out, Output{Worker: w, Stop: a.Stop})
	case a.Report != nil:
		if a.Report.End.Why == lease.TextDiffers {
			event.TextDiffers.Log(c.log, "worker", w.ID, "task", a.Report.End.Task, "run", a.Report.End.Number, "owner", a.Report.Owner)
		}
		c.send(now, a.Report.Owner, Message{Ended: &entry.Ended{Worker: w.ID, End: a.Report.End}})
	case a.AnnounceHeld:
		event.WorkerHeld.Log(c.log, "worker", w.ID, "fence", uint64(wl.Fence()))
		c.unannounced = append(c.unannounced, w.ID)
		if wl.Claiming() {
			c.announceNewlyHeld(now)
		}
	}
}

// send delivers a message. One to this process itself does not pass through the mesh, and
// one to the zero ID is dropped.
func (c *Core) send(now time.Time, to mesh.ID, m Message) {
	switch {
	case to == (mesh.ID{}):
	case to == c.self.ID:
		c.handleMessage(now, to, m)
	case c.needsSession(to, m):
		c.openFor(now, to, m)
	default:
		c.out = append(c.out, Output{To: to, Message: &m})
	}
}

// reachableMembers returns the members with a session, and this process, sorted by ID.
func (c *Core) reachableMembers() []mesh.Member {
	out := []mesh.Member{c.self}
	for _, m := range c.members {
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(x, y mesh.Member) int { return x.ID.Compare(y.ID) })
	return out
}

// Receive handles messages of a member. Messages of an ended session are dropped, because
// what they ask for was settled when its end was noticed.
func (c *Core) Receive(now time.Time, from mesh.ID, session uint64, messages []Message) {
	if c.members[from].session != session {
		return
	}
	for _, m := range messages {
		c.handleMessage(now, from, m)
	}
}

func (c *Core) handleMessage(now time.Time, from mesh.ID, m Message) {
	switch {
	case m.Request != nil && !c.cell.Active():
		c.redirectRequest(now, from, *m.Request)
	case m.Request != nil && c.cancelled.has(now, m.Request.Job):
		c.refuseCancelled(now, from, *m.Request)
	case m.Request != nil:
		c.cell.Request(now, from, *m.Request)
	case m.Withdraw != nil:
		c.cell.Withdraw(*m.Withdraw)
	case m.Report != nil:
		c.cell.Report(now, from, *m.Report)
	case m.JobQuery != nil:
		c.answerJobQuery(now, from, *m.JobQuery)
	case m.JobReply != nil:
		c.handleJobReply(now, from, *m.JobReply)
	case m.Cancelled != nil:
		c.handleCancelled(now, from, *m.Cancelled)
	case m.Grant != nil:
		c.entry.Grant(now, from, *m.Grant)
	case m.Refusal != nil:
		c.noteRefusal(now, from, *m.Refusal)
		c.entry.Refused(now, from, *m.Refusal)
	case m.Addresses != nil:
		c.out = append(c.out, Output{Addresses: m.Addresses})
	case m.Levels != nil:
		c.entry.SetLevels(now, from, *m.Levels)
	case m.Ended != nil:
		c.entry.Ended(now, from, *m.Ended)
	case m.Held != nil:
		c.entry.Held(from, m.Held.Worker, m.Held.Fence)
	case m.Unheld != nil:
		c.entry.Unheld(now, from, m.Unheld.Worker)
	case m.Assignment != nil:
		c.startHolding(now, *m.Assignment)
		if m.Assignment.Draining {
			c.drainWorker(from, cell.Drain{Worker: m.Assignment.Worker.ID, Incarnation: m.Assignment.Worker.Incarnation})
		}
	case m.Drain != nil:
		c.drainWorker(from, *m.Drain)
	case m.Description != nil:
		c.describeWorker(m.Description.Worker)
	case m.WorkerList != nil:
		c.handleWorkerList(now, from, *m.WorkerList)
	case m.ReadList != nil:
		c.handleReadList(from, *m.ReadList)
	case m.EvacuationsRequest != nil:
		c.answerEvacuationsRequest(now, from)
	case m.CatalogRequest != nil:
		c.handleCatalogRequest(now, from, *m.CatalogRequest)
	case m.CatalogPart != nil:
		c.handleCatalogPart(now, from, *m.CatalogPart)
	case m.Evacuations != nil:
		c.setEvacuations(now, c.evacuations.Merge(*m.Evacuations), from.String(), time.Time{})
	case m.Release != nil:
		c.releaseWorker(now, m.Release.Worker)
	case m.Start != nil:
		c.watch(from)
		c.startRuns(now, from, *m.Start)
	case m.Stop != nil:
		c.stopRuns(now, *m.Stop)
	case m.Claim != nil:
		c.watch(from)
		c.claimRuns(now, from, *m.Claim)
	}
}

// GiveUp answers all jobs and lookups that callers still wait for, since this process ends. Lookups
// that begin later find only what is here.
func (c *Core) GiveUp(now time.Time) {
	c.entry.GiveUp(now, reasonProcessEnds)
	c.ending = true
	for _, number := range slices.Sorted(maps.Keys(c.lookups)) {
		c.endLookup(now, number, entry.JobState{})
	}
}

// CallerLeft records that a caller has disconnected.
func (c *Core) CallerLeft(now time.Time, w entry.Waiter) { c.entry.CallerLeft(now, w) }

// NotStarted returns how many runs of this process's jobs were not started for a given
// reason.
func (c *Core) NotStarted(why lease.Reason) int64 { return c.entry.Counts().NotStarted[why] }

// Pending returns the number of pending jobs of a queue.
func (c *Core) Pending(queue string) int { return c.entry.Pending(queue) }

// HoldAnswered handles the answer to a hold call.
func (c *Core) HoldAnswered(now time.Time, worker string, call lease.HoldCall, r lease.Result) {
	if wl := c.held[worker]; wl != nil {
		wl.HoldAnswered(now, call, r)
	}
}

// StartAnswered handles the answer to a start call.
func (c *Core) StartAnswered(now time.Time, worker string, call lease.StartCall, r lease.Result) {
	if wl := c.held[worker]; wl != nil {
		wl.StartAnswered(now, call, r)
	}
}

// Tick does the work that is due by time.
func (c *Core) Tick(now time.Time) {
	for _, id := range sortedIDs(c.lostMembers) {
		if now.Sub(c.lostMembers[id]) > orphanStopDelay {
			c.ownerLost(now, id)
		}
	}
	for _, id := range c.heldIDs() {
		c.held[id].Tick(now)
	}
	c.cell.Tick(now)
	c.updateReaders(now)
	c.updateCopy(now)
	c.retryEvacuations(now)
	c.entry.Tick(now)
	c.announceNewlyHeld(now)
	c.updateOnDemand(now)
	c.updateLookups(now)
	c.expireCancelled(now)
	c.updateWatches(now)
}

func (c *Core) ownerLost(now time.Time, id mesh.ID) {
	delete(c.lostMembers, id)
	for _, w := range c.heldIDs() {
		c.held[w].OwnerLost(now, id)
	}
}

// Resumed handles a suspension of the process, in which it did not run for a while: its
// jobs are given up, and its leases are verified before anything else is done. If others
// may have planned meanwhile, it forgets what it knew as a planner or deputy.
func (c *Core) Resumed(now time.Time, pause time.Duration) {
	c.quorumSince = now
	c.entry.Resumed(now)
	if pause >= mesh.SessionTimeout {
		c.forgetCell(now)
	}
	for _, id := range c.heldIDs() {
		c.held[id].Resumed(now)
	}
}
