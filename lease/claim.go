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
func (b *WorkerLease) Claim(now time.Time, owner Owner, claims []Claim) {
	for _, c := range claims {
		b.claim(owner, c)
	}
	if b.phase == claiming && !b.hasOrphans() {
		b.endClaiming(now)
	}
}

func (b *WorkerLease) claim(owner Owner, c Claim) {
	if e, ok := b.runs[c.Run]; ok {
		e.owner, e.orphan = owner, false
		e.Claim = c
		e.reported, b.unreported = false, true
		return
	}
	if how, ok := b.unclaimedEnds[c.Run]; ok {
		b.tellOwner(owner, End{Run: c.Run, Outcome: how})
		return
	}
	// Before the first list nothing is known; the claim is repeated when the worker is
	// announced as held.
	if b.phase == connecting {
		return
	}
	b.tellOwner(owner, End{Run: c.Run, Outcome: Lost})
}

func (b *WorkerLease) hasOrphans() bool {
	for _, e := range b.runs {
		if e.orphan {
			return true
		}
	}
	return false
}

// endClaiming opens the worker after the owners have claimed their runs. Unclaimed runs
// are stopped: their caller may be served by another process by now.
func (b *WorkerLease) endClaiming(now time.Time) {
	b.phase = open
	b.unclaimedEnds = make(map[Run]Outcome)
	b.unreported = true
	for _, e := range b.sortedRuns() {
		if e.orphan {
			b.stop(now, e)
		}
	}
	b.nextHoldAt = now
	b.Tick(now)
}
