package lease

import "time"

// OwnerUnreachable records that the owner of runs is unreachable, and the time from which its
// callers may retry at another process. The runs must be over by then even if this
// process dies before it has stopped them, so no lease is renewed beyond that time.
func (b *WorkerLease) OwnerUnreachable(o Owner, retryAt time.Time) { b.unreachableOwners[o] = retryAt }

// OwnerReachable records that the owner is reachable again.
func (b *WorkerLease) OwnerReachable(o Owner) { delete(b.unreachableOwners, o) }

// renewalEnd returns the end of the lease that a call asks for now, or 0 for none.
func (b *WorkerLease) renewalEnd(now time.Time) int64 {
	until := b.maxWorkerClock(now) + leaseDuration.Milliseconds()
	for o, retryAt := range b.unreachableOwners {
		switch {
		case b.hasRuns(o):
			until = min(until, b.minWorkerClock(retryAt))
		case now.After(retryAt):
			delete(b.unreachableOwners, o)
		}
	}
	if until <= b.maxWorkerClock(now) {
		return 0
	}
	return until
}

func (b *WorkerLease) hasRuns(o Owner) bool {
	for _, e := range b.runs {
		if e.owner == o {
			return true
		}
	}
	return false
}

// minWorkerClock returns the lowest value that the worker's clock can have at a local
// time: the clock may run slow by MaxClockDrift.
func (b *WorkerLease) minWorkerClock(t time.Time) int64 {
	return b.clock + int64(float64(t.Sub(b.clockAt).Milliseconds())*(1-MaxClockDrift))
}
