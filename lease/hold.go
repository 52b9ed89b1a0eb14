package lease

import (
	"slices"
	"time"
)

// callHold issues hold calls: a poll, which waits for ends, and a check, which returns at
// once, when the worker does not answer or something has to be known now. No poll is made
// while runs are being claimed: it would renew nothing and delay the call that renews.
func (b *WorkerLease) callHold(now time.Time) {
	if b.phase == closed || now.Before(b.nextHoldAt) {
		return
	}
	switch {
	case b.openPoll == 0 && b.usable && b.failures == 0 && b.phase != connecting && b.phase != claiming:
		b.openPoll = b.emitHoldCall(now, b.nextPollWait(now))
	case (!b.usable || b.checkDue) && b.openCheck == 0:
		b.checkDue, b.checkedAt = false, now
		b.openCheck = b.emitHoldCall(now, 0)
	}
}

func (b *WorkerLease) nextPollWait(now time.Time) time.Duration {
	switch {
	case now.Before(b.lossyUntil):
		return lossyPollWait
	case len(b.runs) == 0:
		return idlePollWait
	}
	return pollWait
}

func (b *WorkerLease) emitHoldCall(now time.Time, wait time.Duration) int {
	b.callCount++
	c := &HoldCall{Number: b.callCount, Fence: b.fence, LastEndSeen: b.lastEndSeen, Wait: wait, Timeout: wait + b.pool.timeout(answerTimeout), Sent: now}
	// A call to an unreachable worker renews nothing: the renewal may take effect
	// although the answer is lost, and the runs there would be in doubt for as long as
	// calls are tried. Nor does the first call after a suspension.
	if b.clock != 0 && b.usable && b.failures == 0 && (b.phase == open || b.phase == releasing) {
		c.Until = b.renewalEnd(now)
		b.leaseEnd = max(b.leaseEnd, c.Until)
	}
	b.emit(Action{Hold: c})
	return c.Number
}

// HoldAnswered handles the answer to a hold call.
func (b *WorkerLease) HoldAnswered(now time.Time, c HoldCall, r Result) {
	if b.fromEarlierHolding(c.Fence) {
		return
	}
	switch c.Number {
	case b.openPoll:
		b.openPoll = 0
	case b.openCheck:
		b.openCheck = 0
	}
	if b.phase == closed {
		return
	}
	if c.Sent.Before(b.resumedAt) {
		b.Tick(now)
		return
	}
	if c.Wait == 0 {
		b.pool.recordAnswer(now.Sub(c.Sent), r)
	}
	switch r.Verdict {
	case OK:
		b.handleList(now, c, r)
	case Refused:
		b.holdRefused(now, c, r)
	case OtherIncarnation:
		b.loseAllRuns(now)
		b.close("worker_gone")
	case NoAnswer:
		b.callMissed(now)
		b.closeIfNeverAnswered()
	}
	b.Tick(now)
}

// fromEarlierHolding reports whether a call was made in an earlier holding of the worker
// by this process. Its answer shows the state before others held the worker: taken for
// the answer to the first call, it would make this holder report runs as missing that it
// has never seen.
func (b *WorkerLease) fromEarlierHolding(f Fence) bool { return f < b.firstFence }

// HighestFence returns the highest fence that was used in calls. The next holding of this
// process must begin above it, also when the planner does not know of it.
func (b *WorkerLease) HighestFence() Fence { return max(b.spentFence, b.fence) }

// closeIfNeverAnswered gives up a worker that has never answered.
func (b *WorkerLease) closeIfNeverAnswered() {
	if b.phase == connecting && b.clock == 0 && b.failures >= unreachableThreshold {
		b.spentFence, b.fence = b.fence, 0
		b.close("out_of_reach")
	}
}

// holdRefused looks for a higher fence at the beginning; later, a refusal of the fence in
// use means that another holder has taken over.
func (b *WorkerLease) holdRefused(now time.Time, c HoldCall, r Result) {
	switch {
	case r.Reason != Fenced:
		b.usable = false
		b.failures++
		b.nextHoldAt = now.Add(holdRetryInterval)
	case c.Fence < b.fence:
		// A call from before the last round.
	case b.phase == connecting && b.fenceRaises < maxFenceRaises:
		b.fence = b.fence.AddTerms(1 << b.fenceRaises)
		b.fenceRaises++
		b.nextHoldAt = now
	default:
		b.close(string(Fenced))
	}
}

// handleList handles a worker's list of what it runs and what has ended.
func (b *WorkerLease) handleList(now time.Time, c HoldCall, r Result) {
	if b.incarnation != 0 && r.Incarnation != b.incarnation {
		b.handleRestart(now, c, r)
	}
	b.incarnation = r.Incarnation
	b.unreported = b.unreported || b.failures > 0
	b.failures = 0
	if c.Fence == b.fence && !b.usable {
		b.usable, b.unreported = true, true
	}
	b.nextHoldAt = now
	b.updateClock(now, r)
	for _, e := range r.Ended {
		b.handleListedEnd(now, e)
	}
	// Answers on two connections can overtake each other; an old list says nothing of
	// what has started since.
	if r.Clock >= b.listClock {
		b.listClock = r.Clock
		b.unreported = b.unreported || b.resourcesRefused
		b.resourcesRefused = false
		b.reconcileRuns(now, c, r)
	}
	if b.phase == connecting {
		// The previous holder may have renewed until just now. It can't renew from here
		// on, but its last renewal keeps its runs alive for a whole lease.
		b.leaseEnd = max(b.leaseEnd, r.Clock+leaseDuration.Milliseconds())
		b.firstListDone(now)
	}
}

// firstListDone announces the worker as held, and opens it or waits for claims.
func (b *WorkerLease) firstListDone(now time.Time) {
	b.emit(Action{AnnounceHeld: true})
	b.unreported = true
	if len(b.runs) == 0 && len(b.unclaimedEnds) == 0 {
		b.phase = open
		return
	}
	b.phase = claiming
	b.claimDeadline = now.Add(claimTimeout)
}

// handleRestart handles a restart of the worker: nothing that ran before runs any more,
// and its clock and the numbers of its ends start over. A start in flight may have
// reached the new incarnation, which knows no fence yet; it is either listed, or
// unconfirmed for as long as the worker may still accept it.
func (b *WorkerLease) handleRestart(now time.Time, c HoldCall, r Result) {
	b.clock, b.listClock, b.leaseEnd, b.lastEndSeen = 0, 0, 0, 0
	b.unclaimedEnds = make(map[Run]Outcome)
	for _, e := range b.sortedRuns() {
		here := slices.ContainsFunc(r.Running, func(l ListedRun) bool { return l.Run == e.Run })
		switch {
		case here:
			e.clock = r.Clock
		case e.confirmedAt.IsZero() && c.Fence <= e.fence:
			b.resolveStart(now, e)
		default:
			b.end(now, e, End{Run: e.Run, Outcome: Lost})
		}
	}
}

func (b *WorkerLease) loseAllRuns(now time.Time) {
	for _, e := range b.sortedRuns() {
		b.end(now, e, End{Run: e.Run, Outcome: Lost})
	}
}

func (b *WorkerLease) handleListedEnd(now time.Time, l ListedEnd) {
	if l.Number <= b.lastEndSeen {
		return
	}
	b.lastEndSeen = l.Number
	e, ok := b.runs[l.Run]
	switch {
	case ok && e.orphan:
		delete(b.runs, l.Run)
		b.unclaimedEnds[l.Run] = l.Outcome
		b.removedRuns = append(b.removedRuns, l.Run)
		b.unreported = true
	case ok:
		b.end(now, e, End{Run: l.Run, Outcome: l.Outcome})
	case b.phase == connecting || b.phase == claiming:
		b.unclaimedEnds[l.Run] = l.Outcome
	}
}

// reconcileRuns updates the known runs from a list.
func (b *WorkerLease) reconcileRuns(now time.Time, c HoldCall, r Result) {
	listed := make(map[Run]ListedRun, len(r.Running))
	for _, l := range r.Running {
		listed[l.Run] = l
	}
	for _, e := range b.sortedRuns() {
		l, ok := listed[e.Run]
		switch {
		case ok:
			b.updateProgress(now, e, l.Percent)
			if e.state == unconfirmed || e.state == starting {
				b.confirmStart(now, e, r.Clock)
			}
		case e.state == unconfirmed && c.Fence > e.fence:
			b.end(now, e, End{Run: e.Run, Outcome: NeverStarted, Why: Unanswered})
		case e.state == stopping && e.confirmedAt.IsZero() && c.Fence > e.fence:
			b.end(now, e, End{Run: e.Run, Outcome: NeverStarted, Why: Unanswered})
		case !e.confirmedAt.IsZero() && r.Clock > e.clock:
			b.end(now, e, End{Run: e.Run, Outcome: Lost})
		}
	}
	for _, l := range r.Running {
		if _, ok := b.runs[l.Run]; !ok {
			b.adopt(now, l, r.Clock)
		}
	}
}

// adopt adds a listed run that is unknown here: it was started by the previous holder, or
// by an order that was carried out late. If tasks may already be started, or the worker
// is being released, the run is stopped.
func (b *WorkerLease) adopt(now time.Time, l ListedRun, clock int64) {
	e := &run{Claim: Claim{Run: l.Run}, state: running, orphan: true, adopted: true, sentAt: now, confirmedAt: now, progressedAt: now, clock: clock, percent: l.Percent}
	b.runs[l.Run] = e
	if b.phase == open || b.phase == releasing {
		b.stop(now, e)
	}
}

func (b *WorkerLease) updateClock(now time.Time, r Result) {
	if r.Clock > b.clock {
		b.clock, b.clockAt = r.Clock, now
	}
}
