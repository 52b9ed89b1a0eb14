package lease

import (
	"cmp"
	"slices"
	"time"
)

const (
	// leaseDuration is how long each renewal asks for. A platform grants a second at the
	// most; a shorter lease ends lost runs sooner, a longer one survives longer pauses of
	// this process. Four polls begin within it if each waits for pollWait.
	leaseDuration = 1000 * time.Millisecond
	// pollWait is how long a hold call waits for a run to end.
	pollWait = 300 * time.Millisecond
	// idlePollWait is pollWait while nothing runs: there is no end to wait for and no
	// lease to renew, only the worker's silence to be noticed. It must be below
	// leaseDuration, since a run can start while the call waits.
	idlePollWait = 600 * time.Millisecond
	// lossyPollWait is pollWait while calls get lost: an end is noticed only with the
	// next answer.
	lossyPollWait = 100 * time.Millisecond
	// answerTimeout is when a call that does not wait counts as unanswered; a call that
	// waits has this in addition to its wait. A round trip takes a millisecond within a
	// data centre and a few between two; with a slow VM of our own it takes tens.
	answerTimeout = 100 * time.Millisecond
	// startTimeout is answerTimeout for a start. It may be shorter: finding out what
	// became of the start costs one more call, and its caller waits.
	startTimeout = 50 * time.Millisecond
	// lossyStartTimeout is startTimeout while calls get lost.
	lossyStartTimeout = 25 * time.Millisecond
	// lossyPeriod is how long after a lost call further losses are expected.
	lossyPeriod = 3 * time.Second
	// unreachableThreshold is how many calls in a row must go unanswered before a worker
	// counts as unreachable. With one, a loss of 15% of the calls left half of the
	// workers unused at any time, and callers got 0.48 of the worth in the model; with
	// this and the shorter lossy times 0.86 (TestLostCalls).
	unreachableThreshold = 3
	// startValidity is the time within which a start must be carried out. An unanswered
	// order can reach the worker seconds later; it is refused then.
	startValidity = 250 * time.Millisecond
	// claimTimeout is how long a new holder waits for the owners of the runs that it
	// finds: two trips between data centres, and time for a busy process.
	claimTimeout = 150 * time.Millisecond
	// leaseEndMargin is added to the computed end of a lease, for the worker's own timer.
	leaseEndMargin = 50 * time.Millisecond
	// maxFenceRaises bounds the search for a fence that the worker accepts, which doubles
	// its step each time.
	maxFenceRaises = 20
	// holdRetryInterval is the pause between hold calls that fail.
	holdRetryInterval = 60 * time.Millisecond
	// reportDelay is how long after its start a run that has not ended is reported to the
	// planner: with this, two tasks in three of the users' jobs are reported once, at
	// their end. It is well below the time for which a grant counts without a report.
	reportDelay = 250 * time.Millisecond
	// stopRetryInterval is how long after a stop without effect it is repeated.
	stopRetryInterval = 150 * time.Millisecond
)

type phase int

const (
	// connecting: the first hold call is unanswered.
	connecting phase = iota + 1
	// claiming: runs of unknown owners were found, and the owners may claim them.
	claiming
	// open: tasks may be started.
	open
	// releasing: the worker is being released; nothing is started any more.
	releasing
	// closed: this process does not hold the worker any more.
	closed
)

type state int

const (
	starting state = iota + 1
	// unconfirmed: the start got no answer.
	unconfirmed
	running
	stopping
)

type run struct {
	// Claim is the owner's latest description of the run.
	Claim
	// text is set by the start alone: a start that the worker turns down is sent again,
	// and it must carry the same text.
	text Text
	// incarnation is the only incarnation of the worker that may run it, 0 if any may.
	incarnation int64

	owner   Owner
	state   state
	fence   Fence
	attempt int
	// sentAt is when the start was sent, confirmedAt when it was confirmed, and clock the
	// worker's clock at the confirmation.
	sentAt, confirmedAt time.Time
	clock               int64
	percent             int
	// progressedAt is when percent last changed. sampled is set if the worker's speed was
	// learned from this run before its end, adopted if the run's beginning is unknown.
	progressedAt     time.Time
	sampled, adopted bool
	// reported is set if the planner knows of the run and, if sampled is set, of the
	// speed learned from it.
	reported bool
	// orphan is set while the owner is unknown, needsUnknown while the resources are: the
	// worker lists neither.
	orphan, needsUnknown bool
	// stopSentAt is when the last stop was sent.
	stopSentAt time.Time
}

// WorkerLease is the state of one worker at its holder.
type WorkerLease struct {
	worker Worker
	// firstFence is the fence with which the holding began, spentFence the last one if
	// the worker was given up without an answer.
	firstFence, spentFence Fence
	fence                  Fence
	phase                  phase
	closeReason            string
	fenceRaises            int
	// incarnation is that of the newest list, 0 before the first; worker may describe another
	// one.
	incarnation int64
	// incarnationSince is when it was first heard. Another one that answers an earlier call is the
	// one before, whose answer comes late on another connection.
	incarnationSince time.Time

	// clock is the worker's clock at the local time clockAt, from the newest answer.
	clock   int64
	clockAt time.Time
	// listClock is the worker's clock in the newest list of runs.
	listClock int64
	// leaseEnd is the latest end of a lease that was ever asked for, on the worker's
	// clock.
	leaseEnd    int64
	lastEndSeen int64

	runs map[Run]*run
	// unreachableOwners maps each unreachable owner to the time from which its callers
	// may retry.
	unreachableOwners map[Owner]time.Time
	// unclaimedEnds are the outcomes of runs that ended before this holder knew their
	// owners.
	unclaimedEnds map[Run]Outcome
	claimDeadline time.Time

	// callCount counts the hold calls. openPoll is the number of the unanswered poll (a
	// hold call that waits for ends), openCheck that of the unanswered check (one that
	// returns at once); 0 if there is none.
	callCount           int
	openPoll, openCheck int
	// checkedAt is when the last check was made.
	checkedAt time.Time
	// usable is set while the worker answers and accepts hold calls. checkDue is set when
	// a check is needed.
	usable   bool
	checkDue bool
	// resourcesRefused is set if the worker has refused a start for lack of resources
	// since its last list.
	resourcesRefused bool
	// resumedAt is when this process last resumed after a suspension. Answers to earlier
	// calls may be long out of date.
	resumedAt  time.Time
	failures   int
	lossyUntil time.Time
	nextHoldAt time.Time

	// draining is set if the worker takes no new tasks; drainedIncarnation is the incarnation
	// of which that was said last, 0 if it is unknown.
	draining           bool
	drainedIncarnation int64
	// evacuated is set while no tasks may be started in the worker's data centre.
	evacuated bool

	speed Speed
	pool  *PoolStats
	// unreported is set if there is something to report to the planner, fullStateSent if
	// a full state was reported and none is due again. removedRuns are the runs removed
	// since the last report.
	unreported, fullStateSent bool
	removedRuns               []Run
	// lastReported is what the planner was last told of the parts that a partial report
	// leaves out while they are unchanged.
	lastReported struct {
		Fence                  Fence
		Speed                  Speed
		Incarnation, Described int64
	}
	actions []Action
}

// NewWorkerLease begins to hold a worker with a fence above minFence, and with what its
// former holder had learned of its speed. No fence that is known to have been used for the
// worker may be above minFence, including those of this process (HighestFence).
func NewWorkerLease(now time.Time, w Worker, own, minFence Fence, speed Speed, stats *PoolStats) *WorkerLease {
	fence := own.Above(minFence)
	wl := &WorkerLease{worker: w, speed: speed, pool: stats, firstFence: fence, fence: fence, phase: connecting, runs: make(map[Run]*run), unreachableOwners: make(map[Owner]time.Time), unclaimedEnds: make(map[Run]Outcome), nextHoldAt: now}
	wl.Tick(now)
	return wl
}

// TakeActions returns the actions that have come up since the last call.
func (wl *WorkerLease) TakeActions() []Action {
	a := wl.actions
	wl.actions = nil
	return a
}

func (wl *WorkerLease) Worker() Worker { return wl.worker }

// Closed reports whether this process does not hold the worker any more: another holder
// has taken over, the worker is gone or has never answered, all rounds of the term are
// used, or the worker was released. There is nothing left to do.
func (wl *WorkerLease) Closed() bool { return wl.phase == closed }

// CloseReason returns the reason why the worker is not held any more, as a short name.
func (wl *WorkerLease) CloseReason() string { return wl.closeReason }

// maxWorkerClock returns the highest value that the worker's clock can have at a local
// time: the clock may run slow, but not fast.
func (wl *WorkerLease) maxWorkerClock(t time.Time) int64 {
	return wl.clock + t.Sub(wl.clockAt).Milliseconds()
}

// LeaseEnd returns when every lease asked for so far has expired.
func (wl *WorkerLease) LeaseEnd() time.Time {
	left := time.Duration(float64(wl.leaseEnd-wl.clock)/(1-MaxClockDrift)) * time.Millisecond
	return wl.clockAt.Add(max(left, 0) + leaseEndMargin)
}

// hasUnknownUsage reports whether the runs may take all resources of the worker, for all that is
// known: one has no owner who could say what it needs, and its worker would start more than fits.
// Such a run is claimed, or stopped and then listed as ended.
func (wl *WorkerLease) hasUnknownUsage() bool {
	if wl.pool.EnforcesCapacity {
		return false
	}
	for _, e := range wl.runs {
		if e.needsUnknown {
			return true
		}
	}
	return false
}

// usedResources returns the resources that all runs of known needs take together.
func (wl *WorkerLease) usedResources() Resources {
	var r Resources
	for _, e := range wl.runs {
		r = r.Plus(e.Resources)
	}
	return r
}

// callMissed records a call that got no answer.
func (wl *WorkerLease) callMissed(now time.Time) {
	wl.failures++
	wl.lossyUntil = now.Add(lossyPeriod)
	wl.checkDue = true
	wl.nextHoldAt = now
	if wl.failures >= unreachableThreshold {
		wl.unreported = wl.unreported || wl.usable
		wl.usable = false
	}
	if wl.failures > unreachableThreshold {
		wl.nextHoldAt = now.Add(holdRetryInterval)
	}
}

// Stop stops a run.
func (wl *WorkerLease) Stop(now time.Time, r Run) {
	e, ok := wl.runs[r]
	if !ok {
		return
	}
	wl.stop(now, e)
}

func (wl *WorkerLease) stop(now time.Time, e *run) {
	if e.state == stopping && now.Sub(e.stopSentAt) < stopRetryInterval {
		return
	}
	e.state, e.stopSentAt = stopping, now
	wl.unreported = true
	wl.emit(Action{Stop: &StopCall{Run: e.Run, Fence: wl.fence, Unclaimed: e.orphan}})
}

// OwnerLost stops the runs of a process that was lost. Its callers may retry at another
// process and have the tasks started again.
func (wl *WorkerLease) OwnerLost(now time.Time, o Owner) {
	for _, e := range wl.sortedRuns() {
		if e.owner == o {
			wl.stop(now, e)
		}
	}
}

// Drain marks an incarnation of the worker as draining: all further starts there are refused.
// Incarnation 0 stands for the one that runs. It reports whether that is news.
func (wl *WorkerLease) Drain(incarnation int64) bool {
	wl.drainedIncarnation = incarnation
	applies := incarnation == 0 || wl.incarnation == 0 || incarnation == wl.incarnation
	if !applies || wl.draining {
		return false
	}
	wl.draining, wl.unreported = true, true
	return true
}

// Describe replaces the worker's description, and reports whether it did. One of the
// incarnation that runs is not replaced by that of another.
func (wl *WorkerLease) Describe(w Worker) bool {
	isCurrent := wl.incarnation != 0 && wl.worker.Incarnation == wl.incarnation
	if w == wl.worker || isCurrent && w.Incarnation != wl.incarnation {
		return false
	}
	if w.Kind != wl.worker.Kind {
		wl.speed = Speed{}
	}
	wl.worker = w
	wl.reportFullState()
	return true
}

// SetEvacuated sets whether starts are refused because the worker's data centre is being
// evacuated.
func (wl *WorkerLease) SetEvacuated(on bool) { wl.evacuated = on }

// Release gives the worker up for another holder: nothing is started any more, and the
// WorkerLease closes once no start is unanswered.
func (wl *WorkerLease) Release(now time.Time) {
	if wl.phase != closed {
		wl.phase = releasing
		wl.unreported = true
	}
	wl.Tick(now)
}

// Tick performs what is due at a time.
func (wl *WorkerLease) Tick(now time.Time) {
	switch wl.phase {
	case closed:
		return
	case claiming:
		if now.After(wl.claimDeadline) {
			wl.endClaiming(now)
		}
	case releasing:
		if wl.UnansweredStarts() == 0 {
			wl.close("passed_on")
			return
		}
	}
	for _, e := range wl.sortedRuns() {
		if e.state == stopping && now.Sub(e.stopSentAt) >= stopRetryInterval {
			wl.stop(now, e)
		}
		// The planner knows what it has granted and needs no report of each start; short
		// runs end before this delay, with one report in place of two.
		if !e.reported && now.Sub(e.sentAt) >= reportDelay {
			wl.unreported = true
		}
	}
	// A lost poll hides ends until it times out. While calls get lost, a second call
	// checks from time to time, but not so often that the checks fill the link.
	if len(wl.runs) > 0 && now.Before(wl.lossyUntil) && wl.openCheck == 0 && now.Sub(wl.checkedAt) >= wl.pool.timeout(0) {
		wl.checkDue = true
	}
	if !wl.usable && len(wl.runs) > 0 && wl.clock != 0 && now.After(wl.LeaseEnd()) {
		wl.expireRuns(now)
	}
	wl.callHold(now)
}

// UnansweredStarts returns the number of unanswered starts.
func (wl *WorkerLease) UnansweredStarts() int {
	n := 0
	for _, e := range wl.runs {
		if e.state == starting {
			n++
		}
	}
	return n
}

// expireRuns reports the runs of an unusable worker as lost: their leases have expired.
func (wl *WorkerLease) expireRuns(now time.Time) {
	for _, e := range wl.sortedRuns() {
		wl.end(now, e, End{Run: e.Run, Outcome: Lost})
	}
}

func (wl *WorkerLease) emit(a Action) { wl.actions = append(wl.actions, a) }

func (wl *WorkerLease) reportToOwner(o Owner, e End) {
	wl.emit(Action{Report: &OwnerReport{Owner: o, End: e}})
}

// end removes a run and reports its end to the owner.
func (wl *WorkerLease) end(now time.Time, e *run, end End) {
	if _, ok := wl.runs[e.Run]; !ok {
		return
	}
	if !e.confirmedAt.IsZero() {
		end.Took = now.Sub(e.confirmedAt)
	}
	delete(wl.runs, e.Run)
	wl.removedRuns = append(wl.removedRuns, e.Run)
	wl.unreported = true
	wl.speed.learnFromEnd(e, end)
	if !e.orphan {
		wl.reportToOwner(e.owner, end)
	}
}

// close ends this holding for a reason, a short name. What still runs there belongs to
// the next holder.
func (wl *WorkerLease) close(why string) {
	wl.phase, wl.closeReason = closed, why
	wl.unreported = true
}

// sortedRuns returns the runs in the order of their starts, so that the same events have
// the same outcome.
func (wl *WorkerLease) sortedRuns() []*run {
	out := make([]*run, 0, len(wl.runs))
	for _, e := range wl.runs {
		out = append(out, e)
	}
	slices.SortFunc(out, func(x, y *run) int {
		return cmp.Or(x.sentAt.Compare(y.sentAt), cmp.Compare(x.Task, y.Task), cmp.Compare(x.Number, y.Number))
	})
	return out
}
