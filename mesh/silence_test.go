package mesh

import (
	"slices"
	"testing"
	"time"

	"snipehub.example/internal/memnet"
)

// A run is given to a member that was not watched so far, and which is gone. Its silence
// must be noticed as soon as that of a member that was always watched. Without a watch it
// may take seconds.
func TestSilenceOfMembers(t *testing.T) {
	tests := []struct {
		name string
		// watchAfter is the time from the cut to the start of the watch; negative means
		// never.
		watchAfter time.Duration
		latest     time.Duration
		earliest   time.Duration
	}{
		{"watched before", 0, SessionTimeout + HeartbeatInterval, SessionTimeout},
		{"watched from later on", time.Second, time.Second + SessionTimeout + HeartbeatInterval, time.Second + SessionTimeout},
		{"never watched", -1, IdleSessionTimeout + IdleHeartbeatInterval, SessionTimeout + HeartbeatInterval},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withTwoMembers(t, func(t *testing.T, n *memnet.Net, a, b *process) {
				n.SetCut(a.member.ID.Address.Addr(), b.member.ID.Address.Addr(), true)
				n.SetCut(b.member.ID.Address.Addr(), a.member.ID.Address.Addr(), true)
				begun := time.Now()
				if tt.watchAfter >= 0 {
					time.Sleep(tt.watchAfter)
					a.mesh.Watch(b.member.ID, true)
				}
				time.Sleep(time.Until(begun.Add(tt.earliest - 20*time.Millisecond)))
				if k := a.kinds(); slices.Contains(k, Down) {
					t.Errorf("got events %v, want no end of the session yet", k)
				}
				time.Sleep(time.Until(begun.Add(tt.latest + 20*time.Millisecond)))
				if k := a.kinds(); !slices.Contains(k, Down) {
					t.Errorf("got events %v, want the end of the session", k)
				}
			})
		})
	}
}

// Only one side watches the other. The watched side must send frequent heartbeats to it
// even after a message or an interruption of the watch, or it would be taken for lost
// while it lives.
func TestWatchedMemberShowsItself(t *testing.T) {
	withTwoMembers(t, func(t *testing.T, _ *memnet.Net, a, b *process) {
		for range 20 {
			a.mesh.Watch(b.member.ID, true)
			time.Sleep(1300 * time.Millisecond)
			a.mesh.Send(b.member.ID, "1")
			a.mesh.Watch(b.member.ID, false)
			time.Sleep(900 * time.Millisecond)
		}
		wantKinds(t, "a", a.kinds(), []Kind{Up})
		wantKinds(t, "b", b.kinds(), []Kind{Up})
	})
}

// The heartbeat of a watched member is overdue. Overdue must be delivered before Down, once
// for each silence, so that others can prepare for the loss.
func TestLateHeartbeatIsTold(t *testing.T) {
	withTwoMembers(t, func(t *testing.T, n *memnet.Net, a, b *process) {
		a.mesh.Watch(b.member.ID, true)
		time.Sleep(2 * time.Second)
		n.SetCut(a.member.ID.Address.Addr(), b.member.ID.Address.Addr(), true)
		n.SetCut(b.member.ID.Address.Addr(), a.member.ID.Address.Addr(), true)
		time.Sleep(HeartbeatOverdueAfter + 50*time.Millisecond)
		wantKinds(t, "a", a.kinds(), []Kind{Up, Overdue})
		time.Sleep(SessionTimeout)
		wantKinds(t, "a", a.kinds(), []Kind{Up, Overdue, Down})
	})
}

// A member whose heartbeat was overdue sends something before the session ends. Recovered must
// be delivered, so that preparations for its loss can be undone.
func TestOverdueMemberRecovers(t *testing.T) {
	withTwoMembers(t, func(t *testing.T, n *memnet.Net, a, b *process) {
		a.mesh.Watch(b.member.ID, true)
		time.Sleep(2 * time.Second)
		n.SetCut(b.member.ID.Address.Addr(), a.member.ID.Address.Addr(), true)
		time.Sleep(HeartbeatOverdueAfter + HeartbeatInterval)
		n.SetCut(b.member.ID.Address.Addr(), a.member.ID.Address.Addr(), false)
		time.Sleep(time.Second)
		wantKinds(t, "a", a.kinds(), []Kind{Up, Overdue, Recovered})
	})
}

// An idle session costs one heartbeat in two seconds. With two hundred idle members and
// five heartbeats a second, half of a small VM's processor was used before the first job.
func TestIdleSessionsBeatSeldom(t *testing.T) {
	withTwoMembers(t, func(t *testing.T, n *memnet.Net, a, b *process) {
		before := n.SentBytes(a.member.ID.Address.Addr())
		time.Sleep(time.Minute)
		const heartbeatBytes = 2
		if got, most := n.SentBytes(a.member.ID.Address.Addr())-before, int64(time.Minute/IdleHeartbeatInterval+1)*heartbeatBytes; got > most {
			t.Errorf("wrote %d bytes in a minute, want %d at most", got, most)
		}
	})
}
