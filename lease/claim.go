package lease

import "time"

// Claim is an owner's description of its run, for a holder that may not know it. It has
// no text, so that a claim can't replace the text of the order that was given.
type Claim struct {
	Run
	Resources Resources
	// Estimate is the expected duration at ordinary speed.
	Estimate time.Duration
}

// Claim handles the claims of an owner: for runs that this holder has found on the
// worker, or, in a new session with the owner, for those that it has started itself. Runs
// that don't exist are reported as lost. It must not be called for runs that were placed
// under a later holder: this one's list is older than they are.
func (wl *WorkerLease) Claim(now time.Time, owner Owner, claims []Claim) {
	for _, c := range claims {
		wl.claim(owner, c)
	}
	if wl.phase == claiming && !wl.hasOrphans() {
		wl.endClaiming(now)
	}
}

func (wl *WorkerLease) claim(owner Owner, c Claim) {
	if e, ok := wl.runs[c.Run]; ok {
		e.owner, e.orphan = owner, false
		wl.describeRun(e, c)
		return
	}
	if outcome, ok := wl.unclaimedEnds[c.Run]; ok {
		wl.reportToOwner(owner, End{Run: c.Run, Outcome: outcome})
		return
	}
	// Before the first list nothing is known; the claim is repeated when the worker is
	// announced as held.
	if wl.phase == connecting {
		return
	}
	wl.reportToOwner(owner, End{Run: c.Run, Outcome: Lost})
}

// describeRun sets what the owner says of its run.
func (wl *WorkerLease) describeRun(e *run, c Claim) {
	e.Claim, e.needsUnknown = c, false
	e.reported, wl.unreported = false, true
}

func (wl *WorkerLease) hasOrphans() bool {
	for _, e := range wl.runs {
		if e.orphan {
			return true
		}
	}
	return false
}

// endClaiming opens the worker after the owners have claimed their runs. Unclaimed runs
// are stopped: their caller may be served by another process by now.
func (wl *WorkerLease) endClaiming(now time.Time) {
	wl.phase = open
	wl.unclaimedEnds = make(map[Run]Outcome)
	wl.unreported = true
	for _, e := range wl.sortedRuns() {
		if e.orphan {
			wl.stop(now, e)
		}
	}
	wl.nextHoldAt = now
	wl.Tick(now)
}
