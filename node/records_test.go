package node

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"snipehub.example/mesh"
)

// renewed returns what is read when the processes at the addresses have renewed their
// records.
func renewed(addrs ...netip.AddrPort) (changes []recordChange) {
	for _, a := range addrs {
		changes = append(changes, recordChange{address: a, member: mesh.Member{ID: mesh.ID{Address: a}}})
	}
	return changes
}

// listedAddrs returns the addresses of the listed processes.
func (r *recordTracker) listedAddrs() (addrs []netip.AddrPort) {
	for _, m := range r.list() {
		addrs = append(addrs, m.ID.Address)
	}
	return addrs
}

func vmAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)
}

// A VM is lost for good and replaced by one at another address, eight times in a
// deployment of four. If the records of the lost ones stayed, the four live processes
// would be no majority any more, and the workers of the next process that died would get
// no holder: their tasks would never start.
func TestReplacedProcessesDoNotCount(t *testing.T) {
	r := newRecordTracker(vmAddr(1), 0)
	live := []netip.AddrPort{vmAddr(1), vmAddr(2), vmAddr(3), vmAddr(4)}
	next, now := 5, ms(0)
	renew := func() {
		now = now.Add(renewInterval)
		r.apply(now, 0, false, renewed(live...))
	}
	renew()
	for range 8 {
		live[3] = vmAddr(next)
		next++
		for range maxMissedRenewals + 1 {
			renew()
		}
		if got := r.listedAddrs(); !slices.Equal(got, live) {
			t.Fatalf("%d processes are listed, want the %d that live: %v", len(got), len(live), got)
		}
	}
}

// A live process renews its record a little later than the others, or misses two renewals
// because the store rejects it. It still counts.
func TestProcessThatRenewsLateCounts(t *testing.T) {
	r := newRecordTracker(vmAddr(1), 0)
	now := ms(0)
	r.apply(now, 0, false, renewed(vmAddr(2)))
	for range maxMissedRenewals {
		now = now.Add(renewInterval)
		if _, gone := r.apply(now, 0, false, renewed(vmAddr(1))); len(gone) != 0 {
			t.Fatalf("%v was removed", gone)
		}
	}
	r.apply(now, 0, false, renewed(vmAddr(2)))
	for range maxMissedRenewals {
		now = now.Add(renewInterval)
		r.apply(now, 0, false, renewed(vmAddr(1)))
	}
	if got := r.list(); len(got) != 2 {
		t.Errorf("listed processes are %v, want both", got)
	}
}

// While the store is unreachable for an hour, no record can be renewed, and none must be
// removed.
func TestNobodyIsForgottenWithoutTheStore(t *testing.T) {
	r := newRecordTracker(vmAddr(1), 0)
	r.apply(ms(0), 0, false, renewed(vmAddr(1)))
	r.apply(ms(0), 0, false, renewed(vmAddr(2)))
	if got := r.list(); len(got) != 2 {
		t.Errorf("listed processes are %v, want both", got)
	}
}

// At the start of a large deployment appends queue in the store. A process gives its own up,
// repeats it, and all attempts are carried out within a second or two. If each counted as a
// renewal, it would take most live processes for gone, and a planner would delete their
// records.
func TestRepeatedAttemptsAreNoRenewals(t *testing.T) {
	r := newRecordTracker(vmAddr(1), 0)
	for n := 2; n <= 9; n++ {
		r.apply(ms(0), 0, false, renewed(vmAddr(n)))
	}
	for attempt := range 2 * maxMissedRenewals {
		if _, gone := r.apply(ms(700*attempt), 0, false, renewed(vmAddr(1))); len(gone) != 0 {
			t.Fatalf("attempt %d: %d live processes were removed", attempt, len(gone))
		}
	}
	for n := range maxMissedRenewals {
		r.apply(ms(0).Add(time.Duration(n+1)*renewInterval), 0, false, renewed(vmAddr(1)))
	}
	if got := r.list(); len(got) != 1 {
		t.Errorf("listed processes are %v, want this one alone after %d renewals of its own", got, maxMissedRenewals+1)
	}
}

// The store serves the own partition and not another one. The processes in that one go on
// renewing their records, which can't be seen, and must not be taken for gone.
func TestUnreadPartitionForgetsNobody(t *testing.T) {
	r := newRecordTracker(vmAddr(1), 0)
	now := ms(0)
	r.apply(now, 1, true, renewed(vmAddr(2)))
	for range 3 * maxMissedRenewals {
		now = now.Add(renewInterval)
		if _, gone := r.apply(now, 0, false, renewed(vmAddr(1))); len(gone) != 0 {
			t.Fatalf("%v was removed", gone)
		}
	}
	for range maxMissedRenewals + 1 {
		now = now.Add(renewInterval)
		r.apply(now.Add(-time.Second), 1, false, nil)
		r.apply(now, 0, false, renewed(vmAddr(1)))
	}
	if got := r.list(); len(got) != 1 {
		t.Errorf("listed are %v, want this process alone after its partition was read without a renewal", got)
	}
}

// Guards against a process that is cut off, and renews its record early because it is probed,
// taking the others for gone: it would have a quorum by itself, and take their workers. In a
// large deployment they renew their records only each few minutes.
func TestAnswersToProbesAreNoRenewals(t *testing.T) {
	for _, processes := range []int{8, 200, 1000} {
		r := newRecordTracker(vmAddr(1), 0)
		var others []netip.AddrPort
		for i := range processes - 1 {
			others = append(others, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 250), byte(i % 250)}), 7000))
		}
		r.apply(ms(0), 0, true, renewed(append(others, vmAddr(1))...))
		longest := longestRenewalPause(processes)
		for at := time.Duration(0); at < 2*longest; at += minProbePause {
			if _, gone := r.apply(ms(0).Add(at), 0, false, renewed(vmAddr(1))); len(gone) != 0 {
				t.Errorf("%d processes: %d were removed after %v, though each may miss a renewal within %v", processes, len(gone), at, 2*longest)
				break
			}
		}
	}
}
