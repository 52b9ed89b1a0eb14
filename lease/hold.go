package lease

import (
	"slices"
	"time"
)

// callHold issues hold calls: a poll, which waits for ends, and a check, which returns at
// once, when the worker does not answer or something has to be known now. No poll is made
// while runs are being claimed: it would renew nothing and delay the call that renews.
func (wl *WorkerLease) callHold(now time.Time) {
	if wl.phase == closed || now.Before(wl.nextHoldAt) {
		return
	}
	switch {
	case wl.openPoll == 0 && wl.usable && wl.failures == 0 && wl.phase != connecting && wl.phase != claiming:
		wl.openPoll = wl.emitHoldCall(now, wl.nextPollWait(now))
	case (!wl.usable || wl.checkDue) && wl.openCheck == 0:
		wl.checkDue, wl.checkedAt = false, now
		wl.openCheck = wl.emitHoldCall(now, 0)
	}
}

func (wl *WorkerLease) nextPollWait(now time.Time) time.Duration {
	switch {
	case now.Before(wl.lossyUntil):
		return lossyPollWait
	case len(wl.runs) == 0:
		return idlePollWait
	}
	return pollWait
}

func (wl *WorkerLease) emitHoldCall(now time.Time, wait time.Duration) int {
	wl.callCount++
	c := &HoldCall{Number: wl.callCount, Fence: wl.fence, LastEndSeen: wl.lastEndSeen, Wait: wait, Timeout: wait + wl.pool.timeout(answerTimeout), Sent: now}
	// A call to an unreachable worker renews nothing: the renewal may take effect
	// although the answer is lost, and the runs there would be in doubt for as long as
	// calls are tried. Nor does the first call after a suspension.
	if wl.clock != 0 && wl.usable && wl.failures == 0 && (wl.phase == open || wl.phase == releasing) {
		c.Until = wl.renewalEnd(now)
		wl.leaseEnd = max(wl.leaseEnd, c.Until)
	}
	wl.emit(Action{Hold: c})
	return c.Number
}

// HoldAnswered handles the answer to a hold call.
func (wl *WorkerLease) HoldAnswered(now time.Time, c HoldCall, r Result) {
	if wl.fromEarlierHolding(c.Fence) {
		return
	}
	switch c.Number {
	case wl.openPoll:
		wl.openPoll = 0
	case wl.openCheck:
		wl.openCheck = 0
	}
	if wl.phase == closed {
		return
	}
	if c.Sent.Before(wl.resumedAt) {
		wl.Tick(now)
		return
	}
	if c.Wait == 0 {
		wl.pool.recordAnswer(now.Sub(c.Sent), r)
	}
	switch r.Verdict {
	case OK:
		wl.handleList(now, c, r)
	case Refused:
		wl.holdRefused(now, c, r)
	case OtherIncarnation:
		wl.loseAllRuns(now)
		wl.close("worker_gone")
	case NoAnswer:
		wl.callMissed(now)
		wl.closeIfNeverAnswered()
	}
	wl.Tick(now)
}

// fromEarlierHolding reports whether a call was made in an earlier holding of the worker
// by this process. Its answer shows the state before others held the worker: taken for
// the answer to the first call, it would make this holder report runs as missing that it
// has never seen.
func (wl *WorkerLease) fromEarlierHolding(f Fence) bool { return f < wl.firstFence }

// HighestFence returns the highest fence that was used in calls. The next holding of this
// process must begin above it, also when the planner does not know of it.
func (wl *WorkerLease) HighestFence() Fence { return max(wl.spentFence, wl.fence) }

// closeIfNeverAnswered gives up a worker that has never answered.
func (wl *WorkerLease) closeIfNeverAnswered() {
	if wl.phase == connecting && wl.clock == 0 && wl.failures >= unreachableThreshold {
		wl.spentFence, wl.fence = wl.fence, 0
		wl.close("out_of_reach")
	}
}

// holdRefused looks for a higher fence at the beginning; later, a refusal of the fence in
// use means that another holder has taken over.
func (wl *WorkerLease) holdRefused(now time.Time, c HoldCall, r Result) {
	switch {
	case r.Reason != Fenced:
		wl.usable = false
		wl.failures++
		wl.nextHoldAt = now.Add(holdRetryInterval)
	case c.Fence < wl.fence:
		// A call from before the last round.
	case wl.phase == connecting && wl.fenceRaises < maxFenceRaises:
		wl.fence = wl.fence.AddTerms(1 << wl.fenceRaises)
		wl.fenceRaises++
		wl.nextHoldAt = now
	default:
		wl.close(string(Fenced))
	}
}

// handleList handles a worker's list of what it runs and what has ended.
func (wl *WorkerLease) handleList(now time.Time, c HoldCall, r Result) {
	if r.Incarnation != wl.incarnation && c.Sent.Before(wl.incarnationSince) {
		return
	}
	if wl.incarnation != 0 && r.Incarnation != wl.incarnation {
		wl.handleRestart(now, c, r)
	}
	wl.setIncarnation(now, r.Incarnation)
	wl.unreported = wl.unreported || wl.failures > 0
	wl.failures = 0
	if c.Fence == wl.fence && !wl.usable {
		wl.usable, wl.unreported = true, true
	}
	wl.nextHoldAt = now
	wl.updateClock(now, r)
	for _, e := range r.Ended {
		wl.handleListedEnd(now, e)
	}
	// Answers on two connections can overtake each other; an old list says nothing of
	// what has started since.
	if r.Clock >= wl.listClock {
		wl.listClock = r.Clock
		wl.unreported = wl.unreported || wl.resourcesRefused
		wl.resourcesRefused = false
		wl.reconcileRuns(now, c, r)
	}
	if wl.phase == connecting {
		// The previous holder may have renewed until just now. It can't renew from here
		// on, but its last renewal keeps its runs alive for a whole lease.
		wl.leaseEnd = max(wl.leaseEnd, r.Clock+leaseDuration.Milliseconds())
		wl.firstListDone(now)
	}
}

// firstListDone announces the worker as held, and opens it or waits for claims.
func (wl *WorkerLease) firstListDone(now time.Time) {
	wl.emit(Action{AnnounceHeld: true})
	wl.unreported = true
	if len(wl.runs) == 0 && len(wl.unclaimedEnds) == 0 {
		wl.phase = open
		return
	}
	wl.phase = claiming
	wl.claimDeadline = now.Add(claimTimeout)
}

// setIncarnation records which incarnation has answered. What was known of another one does not
// hold for it.
func (wl *WorkerLease) setIncarnation(now time.Time, i int64) {
	if i == wl.incarnation {
		return
	}
	switch {
	case wl.drainedIncarnation != 0:
		wl.draining = wl.drainedIncarnation == i
	case wl.incarnation != 0:
		wl.draining = false
	}
	wl.incarnation, wl.incarnationSince = i, now
	wl.reportFullState()
}

// handleRestart handles a restart of the worker: nothing that ran before runs any more,
// and its clock and the numbers of its ends start over. A start in flight may have
// reached the new incarnation, which knows no fence yet; it is either listed, or
// unconfirmed for as long as the worker may still accept it.
func (wl *WorkerLease) handleRestart(now time.Time, c HoldCall, r Result) {
	wl.clock, wl.listClock, wl.lastEndSeen = 0, 0, 0
	// A call that was meant for the former incarnation may have begun a lease of the new one.
	wl.leaseEnd = r.Clock + leaseDuration.Milliseconds()
	wl.unclaimedEnds = make(map[Run]Outcome)
	for _, e := range wl.sortedRuns() {
		here := slices.ContainsFunc(r.Running, func(l ListedRun) bool { return l.Run == e.Run })
		switch {
		case here:
			e.clock = r.Clock
		case e.confirmedAt.IsZero() && c.Fence <= e.fence:
			wl.resolveStart(now, e)
		default:
			wl.end(now, e, End{Run: e.Run, Outcome: Lost})
		}
	}
}

func (wl *WorkerLease) loseAllRuns(now time.Time) {
	for _, e := range wl.sortedRuns() {
		wl.end(now, e, End{Run: e.Run, Outcome: Lost})
	}
}

func (wl *WorkerLease) handleListedEnd(now time.Time, l ListedEnd) {
	if l.Number <= wl.lastEndSeen {
		return
	}
	wl.lastEndSeen = l.Number
	e, ok := wl.runs[l.Run]
	switch {
	case ok && e.orphan:
		delete(wl.runs, l.Run)
		wl.unclaimedEnds[l.Run] = l.Outcome
		wl.removedRuns = append(wl.removedRuns, l.Run)
		wl.unreported = true
	case ok:
		wl.end(now, e, End{Run: l.Run, Outcome: l.Outcome})
	case wl.phase == connecting || wl.phase == claiming:
		wl.unclaimedEnds[l.Run] = l.Outcome
	}
}

// reconcileRuns updates the known runs from a list.
func (wl *WorkerLease) reconcileRuns(now time.Time, c HoldCall, r Result) {
	listed := make(map[Run]ListedRun, len(r.Running))
	for _, l := range r.Running {
		listed[l.Run] = l
	}
	for _, e := range wl.sortedRuns() {
		l, ok := listed[e.Run]
		switch {
		case ok:
			wl.updateProgress(now, e, l.Percent)
			if e.state == unconfirmed || e.state == starting {
				wl.confirmStart(now, e, r.Clock)
			}
		case e.state == unconfirmed && c.Fence > e.fence:
			wl.end(now, e, End{Run: e.Run, Outcome: NeverStarted, Why: Unanswered})
		case e.state == stopping && e.confirmedAt.IsZero() && c.Fence > e.fence:
			wl.end(now, e, End{Run: e.Run, Outcome: NeverStarted, Why: Unanswered})
		case !e.confirmedAt.IsZero() && r.Clock > e.clock:
			wl.end(now, e, End{Run: e.Run, Outcome: Lost})
		}
	}
	for _, l := range r.Running {
		if _, ok := wl.runs[l.Run]; !ok {
			wl.adopt(now, l, r.Clock)
		}
	}
}

// adopt adds a listed run that is unknown here: it was started by the previous holder, or
// by an order that was carried out late. If tasks may already be started, or the worker
// is being released, the run is stopped.
func (wl *WorkerLease) adopt(now time.Time, l ListedRun, clock int64) {
	e := &run{Claim: Claim{Run: l.Run}, state: running, orphan: true, needsUnknown: true, adopted: true, sentAt: now, confirmedAt: now, progressedAt: now, clock: clock, percent: l.Percent}
	wl.runs[l.Run] = e
	if wl.phase == open || wl.phase == releasing {
		wl.stop(now, e)
	}
}

func (wl *WorkerLease) updateClock(now time.Time, r Result) {
	if r.Clock > wl.clock {
		wl.clock, wl.clockAt = r.Clock, now
	}
}
