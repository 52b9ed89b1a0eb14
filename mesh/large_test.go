package mesh

import (
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"snipehub.example/internal/memnet"
)

// A message of largeBytes takes four seconds on a link of slowLink bytes a second.
const (
	largeBytes = 1 << 20
	slowLink   = 256 << 10
)

// slowNet returns a network on which the first host has a slow link.
func slowNet(latency time.Duration) *memnet.Net {
	n := memnet.New(latency)
	n.SetBandwidth(netip.MustParseAddr("127.0.0.1"), slowLink)
	return n
}

// A planner on a slow link sends a list of thousands of workers. If the members took it for
// silent until the whole list has arrived, or the write had to end within the timeout of the
// session, the session would end and the list be sent again, without end.
func TestLargeMessageOnASlowLink(t *testing.T) {
	for _, watched := range []bool{false, true} {
		withTwoMembersOn(t, slowNet, func(t *testing.T, _ *memnet.Net, a, b *process) {
			for _, p := range [][2]*process{{a, b}, {b, a}} {
				p[0].mesh.Watch(p[1].member.ID, watched)
				p[0].mesh.Send(p[1].member.ID, strings.Repeat("x", largeBytes), "small")
			}
			time.Sleep(10 * time.Second)
			for _, p := range []*process{a, b} {
				wantKinds(t, p.member.VM, p.kinds(), []Kind{Up})
				if m := p.messages(); len(m) != 2 || len(m[0]) != largeBytes || m[1] != "small" {
					t.Errorf("watched %v: %s got %d messages, want both", watched, p.member.VM, len(m))
				}
			}
		})
	}
}

// A member is suspended in the middle of a large message. Its silence must be noticed as soon
// as at any other time, counted from the last bytes that arrived.
func TestSilenceInTheMiddleOfALargeMessage(t *testing.T) {
	withTwoMembersOn(t, slowNet, func(t *testing.T, n *memnet.Net, a, b *process) {
		b.mesh.Watch(a.member.ID, true)
		a.mesh.Send(b.member.ID, strings.Repeat("x", largeBytes))
		time.Sleep(2 * time.Second)
		suspended := time.Now()
		n.SetFrozen(a.member.ID.Address.Addr(), true)
		time.Sleep(SessionTimeout + HeartbeatInterval)
		if k := b.kinds(); !slices.Contains(k, Overdue) || !slices.Contains(k, Down) {
			t.Fatalf("got events %v, want the heartbeat overdue and the end of the session", k)
		}
		b.mu.Lock()
		heard := b.events[len(b.events)-1].LastHeard
		b.mu.Unlock()
		// What was on its way then arrives a little later.
		if late := heard.Sub(suspended); late.Abs() > HeartbeatInterval {
			t.Errorf("last heard %v after the suspension", late)
		}
		n.SetFrozen(a.member.ID.Address.Addr(), false)
		time.Sleep(5 * time.Second)
	})
}
