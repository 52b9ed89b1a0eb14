package node

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// maxMissedRenewals is how many times a process renews its own record before it removes
	// one that was not renewed meanwhile. Time is measured in own renewals because they
	// prove that the store accepts records: while it is unreachable, no process is removed.
	maxMissedRenewals = 3
	// minRenewalGap is the least time between two own renewals that are counted. An attempt
	// that timed out may have been carried out, and is repeated at once: counted alike, the
	// attempts of the first second would remove all live processes.
	minRenewalGap = renewInterval / 2
)

// recordTracker tracks the processes that the store lists. It does no I/O.
//
// A listed process counts towards the quorum without which no worker is assigned to
// another holder, and a killed process does not delete its own record. So records that
// are no longer renewed must expire: otherwise a deployment of eight could not reassign
// workers after its eighth replacement at a new address, nor after five of eight
// processes were lost at once, and tasks on the workers of the lost ones would never
// start.
type recordTracker struct {
	self netip.AddrPort
	// missedRenewals counts the own renewals since each record was last renewed.
	missedRenewals map[netip.AddrPort]int
	// countedAt is when the last own renewal that was counted was read.
	countedAt time.Time
}

func newRecordTracker(self netip.AddrPort) *recordTracker {
	return &recordTracker{self: self, missedRenewals: make(map[netip.AddrPort]int)}
}

// markRenewed records the renewal of a record, read at the given time, and returns the
// processes that are removed as a result.
func (r *recordTracker) markRenewed(now time.Time, a netip.AddrPort) (gone []netip.AddrPort) {
	r.missedRenewals[a] = 0
	if a != r.self || now.Sub(r.countedAt) < minRenewalGap {
		return nil
	}
	r.countedAt = now
	for o := range r.missedRenewals {
		if o == r.self {
			continue
		}
		r.missedRenewals[o]++
		if r.missedRenewals[o] > maxMissedRenewals {
			gone = append(gone, o)
		}
	}
	for _, o := range gone {
		delete(r.missedRenewals, o)
	}
	slices.SortFunc(gone, netip.AddrPort.Compare)
	return gone
}

// remove records that a record was deleted.
func (r *recordTracker) remove(a netip.AddrPort) { delete(r.missedRenewals, a) }

// clear removes all processes, before the whole list is read again.
func (r *recordTracker) clear() { clear(r.missedRenewals) }

// list returns the listed processes, sorted.
func (r *recordTracker) list() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(r.missedRenewals), netip.AddrPort.Compare)
}
