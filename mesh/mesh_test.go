package mesh

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"snipehub.example/internal/memnet"
)

// process is a mesh on a host of an in-memory network, and the events that it has
// delivered.
type process struct {
	mesh   *Mesh[string]
	host   *memnet.Host
	member Member
	cancel context.CancelFunc
	done   chan struct{}

	mu     sync.Mutex
	events []Event[string]
}

func startProcess(t *testing.T, n *memnet.Net, ip string, boot uint64) *process {
	t.Helper()
	p := &process{host: n.Host(ip), done: make(chan struct{})}
	addr := netip.MustParseAddrPort(ip + ":7000")
	ln, err := p.host.Listen("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	p.member = Member{ID: ID{addr, boot}, VM: ip}
	p.mesh = New(slog.New(slog.DiscardHandler), p.member, ln, p.host.DialContext, func(e Event[string]) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.events = append(p.events, e)
	})
	ctx, cancel := context.WithCancel(t.Context())
	p.cancel = cancel
	go func() {
		defer close(p.done)
		_ = p.mesh.Serve(ctx)
	}()
	return p
}

func (p *process) kinds() (out []Kind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.events {
		if e.Kind != Received {
			out = append(out, e.Kind)
		}
	}
	return out
}

func (p *process) messages() (out []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.events {
		out = append(out, e.Messages...)
	}
	return out
}

func (p *process) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = nil
}

// withTwoMembers runs a test with two processes that are connected.
func withTwoMembers(t *testing.T, test func(t *testing.T, n *memnet.Net, a, b *process)) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(time.Millisecond)
		a, b := startProcess(t, n, "127.0.0.1", 1), startProcess(t, n, "127.0.0.2", 2)
		b.mesh.AddAddresses(a.member.ID.Address)
		time.Sleep(time.Second)
		test(t, n, a, b)
		for _, p := range []*process{a, b} {
			p.cancel()
			<-p.done
		}
		n.Close()
		time.Sleep(time.Minute)
	})
}

func wantKinds(t *testing.T, name string, got, want []Kind) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("%s got events %v, want %v", name, got, want)
	}
}

func TestMembersMeet(t *testing.T) {
	withTwoMembers(t, func(t *testing.T, _ *memnet.Net, a, b *process) {
		wantKinds(t, "a", a.kinds(), []Kind{Up})
		wantKinds(t, "b", b.kinds(), []Kind{Up})
		a.mesh.Send(b.member.ID, "1", "2")
		a.mesh.Send(b.member.ID, "3")
		b.mesh.Send(a.member.ID, "4")
		time.Sleep(100 * time.Millisecond)
		if got := b.messages(); !slices.Equal(got, []string{"1", "2", "3"}) {
			t.Errorf("b got %v", got)
		}
		if got := a.messages(); !slices.Equal(got, []string{"4"}) {
			t.Errorf("a got %v", got)
		}
		time.Sleep(time.Minute)
		wantKinds(t, "a after a minute of silence", a.kinds(), []Kind{Up})
	})
}

// A third process knows the address of one member and learns that of the other from it.
func TestMembersAreFoundThroughOthers(t *testing.T) {
	withTwoMembers(t, func(t *testing.T, n *memnet.Net, a, b *process) {
		c := startProcess(t, n, "127.0.0.3", 3)
		c.mesh.AddAddresses(a.member.ID.Address, c.member.ID.Address)
		time.Sleep(2 * time.Second)
		wantKinds(t, "c", c.kinds(), []Kind{Up, Up})
		wantKinds(t, "b", b.kinds(), []Kind{Up, Up})
		c.cancel()
		<-c.done
	})
}

func TestMemberStateChange(t *testing.T) {
	withTwoMembers(t, func(t *testing.T, _ *memnet.Net, a, b *process) {
		m := a.member
		m.Leaving = true
		a.mesh.Advertise(m)
		time.Sleep(50 * time.Millisecond)
		wantKinds(t, "b", b.kinds(), []Kind{Up, Changed})
	})
}

// A session ends by a partition, a frozen link, or a connection that dies without a
// reset. Both sides must get Down within a bounded time, or a caller waits for a process
// that is gone; and they must connect again.
func TestSessionsEndAndBeginAgain(t *testing.T) {
	a, b := netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")
	tests := []struct {
		name  string
		begin func(n *memnet.Net)
		end   func(n *memnet.Net)
	}{
		{
			"partition",
			func(n *memnet.Net) { n.SetCut(a, b, true); n.SetCut(b, a, true) },
			func(n *memnet.Net) { n.SetCut(a, b, false); n.SetCut(b, a, false) },
		},
		{
			"partition one way",
			func(n *memnet.Net) { n.SetCut(a, b, true) },
			func(n *memnet.Net) { n.SetCut(a, b, false) },
		},
		{
			"frozen link",
			func(n *memnet.Net) { n.SetFrozen(a, true) },
			func(n *memnet.Net) { n.SetFrozen(a, false) },
		},
		{"dead connections", func(n *memnet.Net) { n.Blackhole(a) }, func(*memnet.Net) {}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withTwoMembers(t, func(t *testing.T, n *memnet.Net, a, b *process) {
				a.mesh.Watch(b.member.ID, true)
				b.mesh.Watch(a.member.ID, true)
				time.Sleep(HeartbeatInterval)
				tt.begin(n)
				a.mesh.Send(b.member.ID, "lost")
				time.Sleep(SessionTimeout + HeartbeatInterval + 50*time.Millisecond)
				for _, p := range []*process{a, b} {
					k := slices.DeleteFunc(p.kinds(), func(k Kind) bool { return k == Overdue })
					if len(k) < 2 || k[1] != Down {
						t.Errorf("%s got events %v, want the end of the session", p.member.VM, k)
					}
				}
				tt.end(n)
				time.Sleep(5 * time.Second)
				for _, p := range []*process{a, b} {
					if k := p.kinds(); k[len(k)-1] != Up {
						t.Errorf("%s got events %v, want a new session", p.member.VM, k)
					}
				}
				b.clear()
				a.mesh.Send(b.member.ID, "again")
				time.Sleep(50 * time.Millisecond)
				if got := b.messages(); !slices.Equal(got, []string{"again"}) {
					t.Errorf("b got %v in the new session", got)
				}
			})
		})
	}
}

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

// Both sides dial at once, as all do after a power failure, and each connection arrives
// first at the other side. If each kept the one that it saw last, both could be closed,
// and the members would keep losing each other.
func TestBothSidesDialAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(2 * higherAddressDialDelay)
		a, b := startProcess(t, n, "127.0.0.1", 1), startProcess(t, n, "127.0.0.2", 2)
		a.mesh.AddAddresses(b.member.ID.Address)
		b.mesh.AddAddresses(a.member.ID.Address)
		time.Sleep(10 * time.Second)
		for _, p := range []*process{a, b} {
			if k := p.kinds(); len(k) > 3 || k[len(k)-1] != Up {
				t.Errorf("%s got events %v, want a session that lasts", p.member.VM, k)
			}
		}
		for _, p := range []*process{a, b} {
			p.cancel()
			<-p.done
		}
		n.Close()
		time.Sleep(time.Minute)
	})
}

// A member accepts connections but does not greet for a second, since it greets a hundred
// others as well. Dialling again meanwhile would discard the greeting under way and slow
// the member down further.
func TestGreetingUnderWayIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(time.Millisecond)
		a := startProcess(t, n, "127.0.0.1", 1)
		slow := n.Host("127.0.0.2")
		ln, err := slow.Listen("tcp", "127.0.0.2:7000")
		if err != nil {
			t.Fatal(err)
		}
		var accepted atomic.Int64
		go func() {
			for {
				if _, err := ln.Accept(); err != nil {
					return
				}
				accepted.Add(1)
			}
		}()
		a.mesh.AddAddresses(netip.MustParseAddrPort("127.0.0.2:7000"))
		time.Sleep(time.Second)
		if got := accepted.Load(); got != 1 {
			t.Errorf("dialled %d times within a second, want once", got)
		}
		a.cancel()
		<-a.done
		n.Close()
		time.Sleep(time.Minute)
	})
}

// A process restarts at its address. The other one must get Down for the old incarnation
// and Up for the new one, and no message for the old one may reach the new one.
func TestRestart(t *testing.T) {
	withTwoMembers(t, func(t *testing.T, n *memnet.Net, a, b *process) {
		b.cancel()
		<-b.done
		time.Sleep(50 * time.Millisecond)
		wantKinds(t, "a", a.kinds(), []Kind{Up, Down})
		restarted := startProcess(t, n, "127.0.0.2", 9)
		restarted.mesh.AddAddresses(a.member.ID.Address)
		time.Sleep(2 * time.Second)
		wantKinds(t, "a", a.kinds(), []Kind{Up, Down, Up})
		a.mesh.Send(b.member.ID, "for the one before")
		a.mesh.Send(restarted.member.ID, "for the new one")
		time.Sleep(50 * time.Millisecond)
		if got := restarted.messages(); !slices.Equal(got, []string{"for the new one"}) {
			t.Errorf("the new incarnation got %v", got)
		}
		restarted.cancel()
		<-restarted.done
	})
}

// Some other program connects to the port and sends garbage, or nothing. The connection
// must be closed without an effect on the members.
func TestStrangers(t *testing.T) {
	withTwoMembers(t, func(t *testing.T, n *memnet.Net, a, _ *process) {
		h := n.Host("127.0.0.9")
		silent, err := h.DialContext(t.Context(), "tcp", a.member.ID.Address.String())
		if err != nil {
			t.Fatal(err)
		}
		loud, err := h.DialContext(t.Context(), "tcp", a.member.ID.Address.String())
		if err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = loud.Write([]byte("GET / HTTP/1.1\r\n\r\n")) }()
		time.Sleep(2 * time.Second)
		for _, c := range []net.Conn{silent, loud} {
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			var buf [4096]byte
			for {
				if _, err := c.Read(buf[:]); err != nil {
					if e, ok := err.(net.Error); ok && e.Timeout() {
						t.Error("the connection was not closed")
					}
					break
				}
			}
		}
		wantKinds(t, "a", a.kinds(), []Kind{Up})
	})
}

func TestIDText(t *testing.T) {
	id := ID{netip.MustParseAddrPort("10.1.0.13:8166"), 0xfeed}
	b, err := id.MarshalText()
	if err != nil {
		t.Fatal(err)
	}
	var got ID
	if err := got.UnmarshalText(b); err != nil || got != id {
		t.Errorf("%s was parsed as %v, %v", b, got, err)
	}
	if err := got.UnmarshalText(nil); err != nil || got != (ID{}) {
		t.Errorf("the empty ID was parsed as %v, %v", got, err)
	}
	for _, bad := range []string{"10.1.0.13:8166", "x/1", "10.1.0.13:8166/zz"} {
		if err := got.UnmarshalText([]byte(bad)); err == nil {
			t.Errorf("%q was parsed without an error", bad)
		}
	}
}

// A process gets its number from the store while it greets a member: the greeting has
// been sent with the old state, and the session isn't registered yet when the change is
// announced to the sessions. The member never learned the number, took another process
// for the planner for as long as both lived, and none of its callers was served.
func TestStateChangeDuringGreeting(t *testing.T) {
	const step, last = 250 * time.Microsecond, 10 * time.Millisecond
	for delay := time.Duration(0); delay <= last; delay += step {
		t.Run(delay.String(), func(t *testing.T) { testStateChangeDuringGreeting(t, delay) })
	}
}

func testStateChangeDuringGreeting(t *testing.T, delay time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(time.Millisecond)
		a, b := startProcess(t, n, "127.0.0.1", 1), startProcess(t, n, "127.0.0.2", 2)
		b.mesh.AddAddresses(a.member.ID.Address)
		time.Sleep(higherAddressDialDelay + delay)
		m := a.member
		m.Number = 7
		a.mesh.Advertise(m)
		time.Sleep(time.Second)
		if got := b.lastMemberState().Number; got != m.Number {
			t.Errorf("number is %d, want %d", got, m.Number)
		}
		for _, p := range []*process{a, b} {
			p.cancel()
			<-p.done
		}
		n.Close()
		time.Sleep(time.Minute)
	})
}

// lastMemberState returns the state of the other member in the last Up or Changed event.
func (p *process) lastMemberState() (m Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.events {
		if e.Kind == Up || e.Kind == Changed {
			m = e.Member
		}
	}
	return m
}
