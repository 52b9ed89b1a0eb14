package node

import (
	"net/netip"
	"slices"
	"testing"
)

func vmAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)
}

// A VM is lost for good and replaced by one at another address, eight times in a
// deployment of four. If the records of the lost ones stayed, the four live processes
// would be no majority any more, and the workers of the next process that died would get
// no holder: their tasks would never start.
func TestReplacedProcessesDoNotCount(t *testing.T) {
	r := newRecordTracker(vmAddr(1))
	live := []netip.AddrPort{vmAddr(1), vmAddr(2), vmAddr(3), vmAddr(4)}
	next := 5
	renew := func() {
		for _, a := range live {
			r.markRenewed(a)
		}
	}
	renew()
	for range 8 {
		live[3] = vmAddr(next)
		next++
		for range maxMissedRenewals + 1 {
			renew()
		}
		if got := r.list(); !slices.Equal(got, live) {
			t.Fatalf("%d processes are listed, want the %d that live: %v", len(got), len(live), got)
		}
	}
}

// A live process renews its record a little later than the others, or misses two renewals
// because the store rejects it. It still counts.
func TestProcessThatRenewsLateCounts(t *testing.T) {
	r := newRecordTracker(vmAddr(1))
	r.markRenewed(vmAddr(2))
	for range maxMissedRenewals {
		if gone := r.markRenewed(vmAddr(1)); len(gone) != 0 {
			t.Fatalf("%v was removed", gone)
		}
	}
	r.markRenewed(vmAddr(2))
	for range maxMissedRenewals {
		r.markRenewed(vmAddr(1))
	}
	if got := r.list(); len(got) != 2 {
		t.Errorf("listed processes are %v, want both", got)
	}
}

// While the store is unreachable for an hour, no record can be renewed, and none must be
// removed.
func TestNobodyIsForgottenWithoutTheStore(t *testing.T) {
	r := newRecordTracker(vmAddr(1))
	r.markRenewed(vmAddr(1))
	r.markRenewed(vmAddr(2))
	if got := r.list(); len(got) != 2 {
		t.Errorf("listed processes are %v, want both", got)
	}
}
