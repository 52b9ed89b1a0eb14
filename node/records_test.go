package node

import (
	"net/netip"
	"slices"
	"testing"
)

func vmAt(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)
}

// A VM is lost for good and a new one comes at another address, eight times in a
// deployment of four. The records of the lost ones stayed, so that the four that live
// were no majority any more, and the workers of the next one that died got no holder:
// their tasks did not start for as long as the deployment ran.
func TestReplacedProcessesDoNotCount(t *testing.T) {
	r := newRecords(vmAt(1))
	live := []netip.AddrPort{vmAt(1), vmAt(2), vmAt(3), vmAt(4)}
	next := 5
	renew := func() {
		for _, a := range live {
			r.renewed(a)
		}
	}
	renew()
	for range 8 {
		live[3] = vmAt(next)
		next++
		for range renewals + 1 {
			renew()
		}
		if got := r.list(); !slices.Equal(got, live) {
			t.Fatalf("%d processes are listed, want the %d that live: %v", len(got), len(live), got)
		}
	}
}

// A process that lives renews its record a little later than the others, or misses two
// renewals because the store turns it away. It still counts.
func TestProcessThatRenewsLateCounts(t *testing.T) {
	r := newRecords(vmAt(1))
	r.renewed(vmAt(2))
	for range renewals {
		if gone := r.renewed(vmAt(1)); len(gone) != 0 {
			t.Fatalf("%v was forgotten", gone)
		}
	}
	r.renewed(vmAt(2))
	for range renewals {
		r.renewed(vmAt(1))
	}
	if got := r.list(); len(got) != 2 {
		t.Errorf("listed are %v", got)
	}
}

// The store is away for an hour. Nobody can renew, and nobody is forgotten.
func TestNobodyIsForgottenWithoutTheStore(t *testing.T) {
	r := newRecords(vmAt(1))
	r.renewed(vmAt(1))
	r.renewed(vmAt(2))
	if got := r.list(); len(got) != 2 {
		t.Errorf("listed are %v", got)
	}
}
