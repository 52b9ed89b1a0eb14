package lease

import "time"

// OwnerUnreachable records that the owner of runs is unreachable, and the time from which
// its callers may retry at another process. The runs must be over by then even if this
// process dies before it has stopped them, so no lease is renewed beyond that time.
func (wl *WorkerLease) OwnerUnreachable(o Owner, retryAt time.Time) {
	wl.unreachableOwners[o] = retryAt
}

// OwnerReachable records that the owner is reachable again.
func (wl *WorkerLease) OwnerReachable(o Owner) { delete(wl.unreachableOwners, o) }

// renewalEnd returns the end of the lease that a call asks for now, or 0 for none.
func (wl *WorkerLease) renewalEnd(now time.Time) int64 {
	until := wl.maxWorkerClock(now) + leaseDuration.Milliseconds()
	for o, retryAt := range wl.unreachableOwners {
		switch {
		case wl.hasRuns(o):
			until = min(until, wl.minWorkerClock(retryAt))
		case now.After(retryAt):
			delete(wl.unreachableOwners, o)
		}
	}
	if until <= wl.maxWorkerClock(now) {
		return 0
	}
	return until
}

func (wl *WorkerLease) hasRuns(o Owner) bool {
	for _, e := range wl.runs {
		if e.owner == o {
			return true
		}
	}
	return false
}

// minWorkerClock returns the lowest value that the worker's clock can have at a local
// time: the clock may run slow by MaxClockDrift.
func (wl *WorkerLease) minWorkerClock(t time.Time) int64 {
	return wl.clock + int64(float64(t.Sub(wl.clockAt).Milliseconds())*(1-MaxClockDrift))
}
