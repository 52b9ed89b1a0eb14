package lease

import "time"

// Start starts a run for its owner, or reports why not.
func (wl *WorkerLease) Start(now time.Time, owner Owner, o Order) {
	if e, ok := wl.runs[o.Run]; ok {
		wl.handleRepeatedStart(owner, e, o)
		return
	}
	why := wl.refusalReason(o)
	if why != "" {
		wl.reportToOwner(owner, End{Run: o.Run, Outcome: NeverStarted, Why: why})
		wl.removedRuns = append(wl.removedRuns, o.Run)
		wl.reportFullState()
		return
	}
	e := &run{Claim: o.Claim, text: o.Text, incarnation: o.Incarnation, owner: owner, state: starting, sentAt: now}
	wl.runs[o.Run] = e
	wl.sendStart(now, e)
}

// handleRepeatedStart handles the start of a run that exists already. If the order is
// that of another job under the same id, its owner must not be given the end of this run.
func (wl *WorkerLease) handleRepeatedStart(owner Owner, e *run, o Order) {
	if e.text != (Text{}) && e.text != o.Text {
		wl.reportToOwner(owner, End{Run: o.Run, Outcome: NeverStarted, Why: TextDiffers})
		return
	}
	e.owner, e.orphan = owner, false
	if e.needsUnknown {
		wl.describeRun(e, o.Claim)
	}
}

func (wl *WorkerLease) refusalReason(o Order) Reason {
	switch {
	case wl.phase != open:
		return NotHeld
	case !wl.isFor(o.Incarnation):
		return Restarted
	case wl.closedToNew() != "":
		return wl.closedToNew()
	case !wl.usable:
		return Unusable
	case wl.hasUnknownUsage():
		return UnknownNeeds
	case wl.resourcesRefused || !wl.usedResources().Plus(o.Resources).Fits(wl.worker.Resources):
		return InsufficientResources
	case o.MaxPerWorker > 0 && wl.tasksOfStep(o.Task.Step()) >= o.MaxPerWorker:
		return StepLimit
	}
	return ""
}

// tasksOfStep returns how many runs of a step are on the worker, or may be: also those that are
// being stopped, whose start is unanswered, or whose owner is unknown. Only the holder knows this
// for certain; what the planner knows of the runs is late.
func (wl *WorkerLease) tasksOfStep(step string) int {
	n := 0
	for r := range wl.runs {
		if r.Task.Step() == step {
			n++
		}
	}
	return n
}

// isFor reports whether an order for an incarnation may be sent: 0 is for any. The order rests
// on the description of that incarnation, so the holder must have it too.
func (wl *WorkerLease) isFor(incarnation int64) bool {
	return incarnation == 0 || incarnation == wl.incarnation && incarnation == wl.worker.Incarnation
}

// closedToNew returns why the worker takes no new tasks for now, whatever its state: it
// drains, or its data centre is being evacuated.
func (wl *WorkerLease) closedToNew() Reason {
	switch {
	case wl.draining:
		return Draining
	case wl.evacuated:
		return Evacuated
	}
	return ""
}

// sendStart issues the start of a run. A worker would run whatever text comes with the
// order, so a text that is not the job's is not sent; the owner has the task placed
// again.
func (wl *WorkerLease) sendStart(now time.Time, e *run) {
	if !e.text.matches(e.Job()) {
		wl.end(now, e, End{Run: e.Run, Outcome: NeverStarted, Why: TextDiffers})
		return
	}
	e.state, e.fence, e.sentAt = starting, wl.fence, now
	e.attempt++
	until := wl.maxWorkerClock(now) + startValidity.Milliseconds()
	wl.leaseEnd = max(wl.leaseEnd, until)
	wl.emit(Action{Start: &StartCall{Order: Order{Claim: e.Claim, Text: e.text, Incarnation: e.incarnation}, Until: until, Fence: e.fence, Attempt: e.attempt, Clock: wl.clock, Timeout: wl.nextStartTimeout(now), Sent: now}})
}

func (wl *WorkerLease) nextStartTimeout(now time.Time) time.Duration {
	if now.Before(wl.lossyUntil) {
		return wl.pool.timeout(lossyStartTimeout)
	}
	return wl.pool.timeout(startTimeout)
}

// StartAnswered handles the answer to a start.
func (wl *WorkerLease) StartAnswered(now time.Time, c StartCall, r Result) {
	if wl.fromEarlierHolding(c.Fence) {
		return
	}
	if c.Sent.Before(wl.resumedAt) {
		r = Result{Verdict: NoAnswer}
	} else {
		wl.pool.recordAnswer(now.Sub(c.Sent), r)
	}
	wl.updateClock(now, r)
	e, ok := wl.runs[c.Run]
	if !ok || e.attempt != c.Attempt || e.state != starting && e.state != unconfirmed && e.state != stopping {
		return
	}
	switch {
	case r.Verdict == OK && r.Clock < c.Clock:
		// A clock that went back is that of another incarnation under the same id. The
		// run is there; the next list shows what else became of the worker.
		wl.resolveStart(now, e)
	case r.Verdict == OK:
		wl.confirmStart(now, e, r.Clock)
	case r.Verdict == Refused:
		wl.startRefused(now, e, c, r.Reason)
	case r.Verdict == OtherIncarnation:
		wl.end(now, e, End{Run: e.Run, Outcome: NeverStarted, Why: NotHeld})
		wl.loseAllRuns(now)
		wl.close("worker_gone")
	default:
		wl.resolveStart(now, e)
	}
}

func (wl *WorkerLease) confirmStart(now time.Time, e *run, clock int64) {
	e.confirmedAt, e.progressedAt, e.clock = now, now, clock
	if e.state != stopping {
		e.state = running
	}
}

func (wl *WorkerLease) startRefused(now time.Time, e *run, c StartCall, why Reason) {
	if why != Fenced {
		switch why {
		case Unhealthy:
			wl.speed.countBad(e.Run)
		case InsufficientResources:
			wl.handleResourcesRefused(now)
		case Restarted:
			wl.handleOtherIncarnation(now)
		}
		wl.end(now, e, End{Run: e.Run, Outcome: NeverStarted, Why: why})
		return
	}
	sendAgain := c.Fence < wl.fence && e.state == starting && wl.phase == open
	switch {
	case sendAgain && !wl.isFor(e.incarnation):
		why = Restarted
	case sendAgain && wl.closedToNew() != "":
		why = wl.closedToNew()
	case sendAgain:
		wl.sendStart(now, e)
		return
	}
	wl.end(now, e, End{Run: e.Run, Outcome: NeverStarted, Why: why})
	if c.Fence == wl.fence {
		wl.close(string(Fenced))
	}
}

// handleResourcesRefused handles a start that the worker has refused for lack of
// resources although some seemed free: it runs something unknown here. Until the next
// list nothing is started: the planner would give the resources that seem free to one
// task after the other.
func (wl *WorkerLease) handleResourcesRefused(now time.Time) {
	wl.resourcesRefused, wl.checkDue = true, true
	wl.reportFullState()
	wl.nextHoldAt = now
	wl.Tick(now)
}

// handleOtherIncarnation handles a start that was not sent because another incarnation is there.
// Nothing is started until the next list, which is asked for at once.
func (wl *WorkerLease) handleOtherIncarnation(now time.Time) {
	wl.usable, wl.checkDue = false, true
	wl.reportFullState()
	wl.nextHoldAt = now
	wl.Tick(now)
}

// reportFullState has the full state reported to the planner: it has granted a task that
// could not be started. A new planner that was told only of the refused run, and did not
// know the others, granted the same resources again every two milliseconds.
func (wl *WorkerLease) reportFullState() { wl.unreported, wl.fullStateSent = true, false }

// resolveStart begins to find out what became of an unanswered start. The order may still
// be in flight. A hold call with a higher fence resolves this: the worker refuses the
// order from then on, so the list in the answer is final.
func (wl *WorkerLease) resolveStart(now time.Time, e *run) {
	if e.state == starting {
		e.state = unconfirmed
	}
	next, ok := wl.fence.NextRound()
	if !ok {
		// All rounds are used. It is safe to give the worker up; the planner assigns it
		// to a holder with a new term.
		wl.close("rounds_used")
		return
	}
	wl.fence = next
	wl.callMissed(now)
	wl.Tick(now)
}
