package lease

import "time"

// Start starts a run for its owner, or reports why not.
func (b *WorkerLease) Start(now time.Time, owner Owner, o Order) {
	if e, ok := b.runs[o.Run]; ok {
		b.handleRepeatedStart(owner, e, o)
		return
	}
	why := b.refusalReason(o)
	if why != "" {
		b.tellOwner(owner, End{Run: o.Run, Outcome: NeverStarted, Why: why})
		b.removedRuns = append(b.removedRuns, o.Run)
		b.reportFullState()
		return
	}
	e := &run{Claim: o.Claim, text: o.Text, owner: owner, state: starting, sentAt: now}
	b.runs[o.Run] = e
	b.sendStart(now, e)
}

// handleRepeatedStart handles the start of a run that exists already. If the order is
// that of another job under the same id, its owner must not be given the end of this run.
func (b *WorkerLease) handleRepeatedStart(owner Owner, e *run, o Order) {
	if e.text != (Text{}) && e.text != o.Text {
		b.tellOwner(owner, End{Run: o.Run, Outcome: NeverStarted, Why: TextDiffers})
		return
	}
	e.owner, e.orphan = owner, false
}

func (b *WorkerLease) refusalReason(o Order) Reason {
	switch {
	case b.phase != open:
		return NotHeld
	case b.draining:
		return Draining
	case !b.usable:
		return Unusable
	case b.resourcesRefused || !b.usedResources().Plus(o.Resources).Fits(b.worker.Resources):
		return InsufficientResources
	}
	return ""
}

// sendStart issues the start of a run. A worker would run whatever text comes with the
// order, so a text that is not the job's is not sent; the owner has the task placed
// again.
func (b *WorkerLease) sendStart(now time.Time, e *run) {
	if !e.text.matches(e.Job()) {
		b.end(now, e, End{Run: e.Run, Outcome: NeverStarted, Why: TextDiffers})
		return
	}
	e.state, e.fence, e.sentAt = starting, b.fence, now
	e.attempt++
	until := b.maxWorkerClock(now) + startValidity.Milliseconds()
	b.leaseEnd = max(b.leaseEnd, until)
	b.emit(Action{Start: &StartCall{Order: Order{Claim: e.Claim, Text: e.text}, Until: until, Fence: e.fence, Attempt: e.attempt, Clock: b.clock, Timeout: b.nextStartTimeout(now), Sent: now}})
}

func (b *WorkerLease) nextStartTimeout(now time.Time) time.Duration {
	if now.Before(b.lossyUntil) {
		return b.pool.timeout(lossyStartTimeout)
	}
	return b.pool.timeout(startTimeout)
}

// StartAnswered handles the answer to a start.
func (b *WorkerLease) StartAnswered(now time.Time, c StartCall, r Result) {
	if b.fromEarlierHolding(c.Fence) {
		return
	}
	if c.Sent.Before(b.resumedAt) {
		r = Result{Verdict: NoAnswer}
	} else {
		b.pool.recordAnswer(now.Sub(c.Sent), r)
	}
	b.updateClock(now, r)
	e, ok := b.runs[c.Run]
	if !ok || e.attempt != c.Attempt || e.state != starting && e.state != unconfirmed && e.state != stopping {
		return
	}
	switch {
	case r.Verdict == OK && r.Clock < c.Clock:
		// A clock that went back is that of another incarnation under the same id. The
		// run is there; the next list shows what else became of the worker.
		b.resolveStart(now, e)
	case r.Verdict == OK:
		b.confirmStart(now, e, r.Clock)
	case r.Verdict == Refused:
		b.startRefused(now, e, c, r.Reason)
	case r.Verdict == OtherIncarnation:
		b.end(now, e, End{Run: e.Run, Outcome: NeverStarted, Why: NotHeld})
		b.close("worker_gone")
	default:
		b.resolveStart(now, e)
	}
}

func (b *WorkerLease) confirmStart(now time.Time, e *run, clock int64) {
	e.confirmedAt, e.progressedAt, e.clock = now, now, clock
	if e.state != stopping {
		e.state = running
	}
}

func (b *WorkerLease) startRefused(now time.Time, e *run, c StartCall, why Reason) {
	if why != Fenced {
		switch why {
		case Unhealthy:
			b.speed.countBad(e.Run)
		case InsufficientResources:
			b.handleResourcesRefused(now)
		}
		b.end(now, e, End{Run: e.Run, Outcome: NeverStarted, Why: why})
		return
	}
	if c.Fence < b.fence && e.state == starting && b.phase == open {
		b.sendStart(now, e)
		return
	}
	b.end(now, e, End{Run: e.Run, Outcome: NeverStarted, Why: Fenced})
	if c.Fence == b.fence {
		b.close(string(Fenced))
	}
}

// handleResourcesRefused handles a start that the worker has refused for lack of
// resources although some seemed free: it runs something unknown here. Until the next
// list nothing is started: the planner would give the resources that seem free to one
// task after the other.
func (b *WorkerLease) handleResourcesRefused(now time.Time) {
	b.resourcesRefused, b.checkDue = true, true
	b.reportFullState()
	b.nextHoldAt = now
	b.Tick(now)
}

// reportFullState has the full state reported to the planner: it has granted a task that
// could not be started. A new planner that was told only of the refused run, and did not
// know the others, granted the same resources again every two milliseconds.
func (b *WorkerLease) reportFullState() { b.unreported, b.fullStateSent = true, false }

// resolveStart begins to find out what became of an unanswered start. The order may still
// be in flight. A hold call with a higher fence resolves this: the worker refuses the
// order from then on, so the list in the answer is final.
func (b *WorkerLease) resolveStart(now time.Time, e *run) {
	if e.state == starting {
		e.state = unconfirmed
	}
	next, ok := b.fence.NextRound()
	if !ok {
		// All rounds are used. It is safe to give the worker up; the planner assigns it
		// to a holder with a new term.
		b.close("rounds_used")
		return
	}
	b.fence = next
	b.callMissed(now)
	b.Tick(now)
}
