package lease

import "testing"

// A run's owner is killed, and the worker's holder dies a moment later, before it has
// stopped the run. The lease renewed just before kept the run alive past the time at
// which the caller retried: the task ran twice at once. While the owner is unreachable,
// no renewal goes beyond that time, also for a worker whose clock is slow; when the owner
// is reachable again, or has no run there, the renewal is for a whole lease.
func TestNoLeaseBeyondTheReturnOfCallers(t *testing.T) {
	whole := leaseDuration.Milliseconds()
	for _, tt := range []struct {
		name   string
		change func(wl *WorkerLease)
		// want is the duration that the next renewal, at 300 ms, asks for.
		want int64
	}{
		{"reachable", func(*WorkerLease) {}, whole},
		{"unreachable", func(wl *WorkerLease) { wl.OwnerUnreachable(alice, ms(1000)) }, 686},
		{"unreachable, retry is far", func(wl *WorkerLease) { wl.OwnerUnreachable(alice, ms(2000)) }, whole},
		{"unreachable, retry has passed", func(wl *WorkerLease) { wl.OwnerUnreachable(alice, ms(250)) }, 0},
		{"reachable again", func(wl *WorkerLease) { wl.OwnerUnreachable(alice, ms(1000)); wl.OwnerReachable(alice) }, whole},
		{"another one is unreachable", func(wl *WorkerLease) { wl.OwnerUnreachable(bob, ms(1000)) }, whole},
	} {
		t.Run(tt.name, func(t *testing.T) {
			wl, poll, s := newRunningLease(t)
			tt.change(wl)
			wl.HoldAnswered(ms(300), poll, listResult(ms(300), []Run{s.Run}))
			holds := takeActions(wl).holds
			if len(holds) != 1 {
				t.Fatalf("calls %+v", holds)
			}
			got := holds[0].Until
			if got != 0 {
				got -= 5300
			}
			if got != tt.want {
				t.Errorf("renews for %d ms, want %d", got, tt.want)
			}
		})
	}
}
