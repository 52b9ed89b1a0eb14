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

// process is a mesh on a host of a network in memory, and what it has told.
type process struct {
	mesh   *Mesh[string]
	host   *memnet.Host
	member Member
	cancel context.CancelFunc
	done   chan struct{}

	mu     sync.Mutex
	events []Event[string]
}

func start(t *testing.T, n *memnet.Net, ip string, boot uint64) *process {
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
		if e.Kind != Mail {
			out = append(out, e.Kind)
		}
	}
	return out
}

func (p *process) mail() (out []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.events {
		out = append(out, e.Mail...)
	}
	return out
}

func (p *process) clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.events = nil
}

// two runs a test with two processes that have met.
func two(t *testing.T, test func(t *testing.T, n *memnet.Net, a, b *process)) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(time.Millisecond)
		a, b := start(t, n, "127.0.0.1", 1), start(t, n, "127.0.0.2", 2)
		b.mesh.Learn(a.member.ID.Address)
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
		t.Errorf("%s was told %v, want %v", name, got, want)
	}
}

func TestMembersMeet(t *testing.T) {
	two(t, func(t *testing.T, _ *memnet.Net, a, b *process) {
		wantKinds(t, "a", a.kinds(), []Kind{Up})
		wantKinds(t, "b", b.kinds(), []Kind{Up})
		a.mesh.Send(b.member.ID, "1", "2")
		a.mesh.Send(b.member.ID, "3")
		b.mesh.Send(a.member.ID, "4")
		time.Sleep(100 * time.Millisecond)
		if got := b.mail(); !slices.Equal(got, []string{"1", "2", "3"}) {
			t.Errorf("b got %v", got)
		}
		if got := a.mail(); !slices.Equal(got, []string{"4"}) {
			t.Errorf("a got %v", got)
		}
		time.Sleep(time.Minute)
		wantKinds(t, "a after a minute of silence", a.kinds(), []Kind{Up})
	})
}

// A third process knows one member and learns the other from it.
func TestMembersAreFoundThroughOthers(t *testing.T) {
	two(t, func(t *testing.T, n *memnet.Net, a, b *process) {
		c := start(t, n, "127.0.0.3", 3)
		c.mesh.Learn(a.member.ID.Address, c.member.ID.Address)
		time.Sleep(2 * time.Second)
		wantKinds(t, "c", c.kinds(), []Kind{Up, Up})
		wantKinds(t, "b", b.kinds(), []Kind{Up, Up})
		c.cancel()
		<-c.done
	})
}

func TestMemberSaysSomethingNew(t *testing.T) {
	two(t, func(t *testing.T, _ *memnet.Net, a, b *process) {
		m := a.member
		m.Leaving = true
		a.mesh.Say(m)
		time.Sleep(50 * time.Millisecond)
		wantKinds(t, "b", b.kinds(), []Kind{Up, Changed})
	})
}

// What ends a session: a partition, a frozen machine, a connection that goes dead
// without a reset, a process that stops. Both sides must be told after a bounded time,
// or a caller waits for a process that is not there; and they find each other again.
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
		{"dead connections", func(n *memnet.Net) { n.Mute(a) }, func(*memnet.Net) {}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			two(t, func(t *testing.T, n *memnet.Net, a, b *process) {
				a.mesh.Watch(b.member.ID, true)
				b.mesh.Watch(a.member.ID, true)
				time.Sleep(BeatEvery)
				tt.begin(n)
				a.mesh.Send(b.member.ID, "lost")
				time.Sleep(DownAfter + BeatEvery + 50*time.Millisecond)
				for _, p := range []*process{a, b} {
					k := slices.DeleteFunc(p.kinds(), func(k Kind) bool { return k == Quiet })
					if len(k) < 2 || k[1] != Down {
						t.Errorf("%s was told %v, want the end of the session", p.member.VM, k)
					}
				}
				tt.end(n)
				time.Sleep(5 * time.Second)
				for _, p := range []*process{a, b} {
					if k := p.kinds(); k[len(k)-1] != Up {
						t.Errorf("%s was told %v, want a new session", p.member.VM, k)
					}
				}
				b.clear()
				a.mesh.Send(b.member.ID, "again")
				time.Sleep(50 * time.Millisecond)
				if got := b.mail(); !slices.Equal(got, []string{"again"}) {
					t.Errorf("b got %v in the new session", got)
				}
			})
		})
	}
}

// A run is given to a member that nobody has watched so far, and which is gone. Its silence
// must be noticed as soon as that of a member watched all the time; where nothing hangs on
// it, it may take seconds, but is noticed too.
func TestSilenceOfMembers(t *testing.T) {
	tests := []struct {
		name string
		// watch is when the watch begins after the cut, never if negative.
		watch  time.Duration
		within time.Duration
		before time.Duration
	}{
		{"watched before", 0, DownAfter + BeatEvery, DownAfter},
		{"watched from later on", time.Second, time.Second + DownAfter + BeatEvery, time.Second + DownAfter},
		{"never watched", -1, IdleDownAfter + IdleBeatEvery, DownAfter + BeatEvery},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			two(t, func(t *testing.T, n *memnet.Net, a, b *process) {
				n.SetCut(a.member.ID.Address.Addr(), b.member.ID.Address.Addr(), true)
				n.SetCut(b.member.ID.Address.Addr(), a.member.ID.Address.Addr(), true)
				begun := time.Now()
				if tt.watch >= 0 {
					time.Sleep(tt.watch)
					a.mesh.Watch(b.member.ID, true)
				}
				time.Sleep(time.Until(begun.Add(tt.before - 20*time.Millisecond)))
				if k := a.kinds(); slices.Contains(k, Down) {
					t.Errorf("was told %v too early", k)
				}
				time.Sleep(time.Until(begun.Add(tt.within + 20*time.Millisecond)))
				if k := a.kinds(); !slices.Contains(k, Down) {
					t.Errorf("was told %v, want the end of the session", k)
				}
			})
		})
	}
}

// A member that is watched by one side only beats for that side, also when a message or a
// pause has come in between; else it would be taken for lost while it lives.
func TestWatchedMemberShowsItself(t *testing.T) {
	two(t, func(t *testing.T, _ *memnet.Net, a, b *process) {
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

// The heartbeat of a watched member is late: who must prepare for its loss is told before
// the member is given up, once for each silence.
func TestLateHeartbeatIsTold(t *testing.T) {
	two(t, func(t *testing.T, n *memnet.Net, a, b *process) {
		a.mesh.Watch(b.member.ID, true)
		time.Sleep(2 * time.Second)
		n.SetCut(a.member.ID.Address.Addr(), b.member.ID.Address.Addr(), true)
		n.SetCut(b.member.ID.Address.Addr(), a.member.ID.Address.Addr(), true)
		time.Sleep(QuietAfter + 50*time.Millisecond)
		wantKinds(t, "a", a.kinds(), []Kind{Up, Quiet})
		time.Sleep(DownAfter)
		wantKinds(t, "a", a.kinds(), []Kind{Up, Quiet, Down})
	})
}

// A heartbeat is late, and the member shows itself before it is given up: who has prepared
// for its loss is told that, too.
func TestMemberIsBack(t *testing.T) {
	two(t, func(t *testing.T, n *memnet.Net, a, b *process) {
		a.mesh.Watch(b.member.ID, true)
		time.Sleep(2 * time.Second)
		n.SetCut(b.member.ID.Address.Addr(), a.member.ID.Address.Addr(), true)
		time.Sleep(QuietAfter + BeatEvery)
		n.SetCut(b.member.ID.Address.Addr(), a.member.ID.Address.Addr(), false)
		time.Sleep(time.Second)
		wantKinds(t, "a", a.kinds(), []Kind{Up, Quiet, Back})
	})
}

// Two hundred idle members cost a process a beat each in two seconds, not five a second:
// on a small VM the latter was half of its processor before the first job.
func TestIdleSessionsBeatSeldom(t *testing.T) {
	two(t, func(t *testing.T, n *memnet.Net, a, b *process) {
		before := n.Written(a.member.ID.Address.Addr())
		time.Sleep(time.Minute)
		const beatBytes = 2
		if got, most := n.Written(a.member.ID.Address.Addr())-before, int64(time.Minute/IdleBeatEvery+1)*beatBytes; got > most {
			t.Errorf("wrote %d bytes in a minute, want %d at most", got, most)
		}
	})
}

// Both sides dial at once, as all do after a loss of power, and each connection arrives
// first at the other side. Would each keep the one that it saw last, both could be closed,
// and the members would go on losing each other.
func TestBothSidesDialAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(2 * lowFirst)
		a, b := start(t, n, "127.0.0.1", 1), start(t, n, "127.0.0.2", 2)
		a.mesh.Learn(b.member.ID.Address)
		b.mesh.Learn(a.member.ID.Address)
		time.Sleep(10 * time.Second)
		for _, p := range []*process{a, b} {
			if k := p.kinds(); len(k) > 3 || k[len(k)-1] != Up {
				t.Errorf("%s was told %v, want a session that lasts", p.member.VM, k)
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

// A member accepts connections but takes a second to greet, since it greets a hundred
// others as well. Connecting again meanwhile would throw the greeting under way aside, and
// make it slower still.
func TestGreetingUnderWayIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(time.Millisecond)
		a := start(t, n, "127.0.0.1", 1)
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
		a.mesh.Learn(netip.MustParseAddrPort("127.0.0.2:7000"))
		time.Sleep(time.Second)
		if got := accepted.Load(); got != 1 {
			t.Errorf("connected %d times within a second, want once", got)
		}
		a.cancel()
		<-a.done
		n.Close()
		time.Sleep(time.Minute)
	})
}

// A process is started again at its address. The other one is told the end of the one
// before and the beginning of the new one, and nothing meant for the one before
// reaches the new one.
func TestRestart(t *testing.T) {
	two(t, func(t *testing.T, n *memnet.Net, a, b *process) {
		b.cancel()
		<-b.done
		time.Sleep(50 * time.Millisecond)
		wantKinds(t, "a", a.kinds(), []Kind{Up, Down})
		again := start(t, n, "127.0.0.2", 9)
		again.mesh.Learn(a.member.ID.Address)
		time.Sleep(2 * time.Second)
		wantKinds(t, "a", a.kinds(), []Kind{Up, Down, Up})
		a.mesh.Send(b.member.ID, "for the one before")
		a.mesh.Send(again.member.ID, "for the new one")
		time.Sleep(50 * time.Millisecond)
		if got := again.mail(); !slices.Equal(got, []string{"for the new one"}) {
			t.Errorf("the new process got %v", got)
		}
		again.cancel()
		<-again.done
	})
}

// Somebody else connects to the port and sends nonsense, or nothing.
func TestStrangers(t *testing.T) {
	two(t, func(t *testing.T, n *memnet.Net, a, _ *process) {
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
						t.Error("the connection stays open")
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
		t.Errorf("%s reads as %v, %v", b, got, err)
	}
	if err := got.UnmarshalText(nil); err != nil || got != (ID{}) {
		t.Errorf("nobody reads as %v, %v", got, err)
	}
	for _, bad := range []string{"10.1.0.13:8166", "x/1", "10.1.0.13:8166/zz"} {
		if err := got.UnmarshalText([]byte(bad)); err == nil {
			t.Errorf("%q was read", bad)
		}
	}
}

// A process gets its number from the store while it greets a member: the greeting has
// gone out with what it said before, and the session isn't known yet to those who pass
// on news. The member never learned the number, took another process for the planner
// for as long as both lived, and none of its callers was served.
func TestNewsWhileGreeting(t *testing.T) {
	const step, last = 250 * time.Microsecond, 10 * time.Millisecond
	for said := time.Duration(0); said <= last; said += step {
		t.Run(said.String(), func(t *testing.T) { newsWhileGreeting(t, said) })
	}
}

func newsWhileGreeting(t *testing.T, said time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New(time.Millisecond)
		a, b := start(t, n, "127.0.0.1", 1), start(t, n, "127.0.0.2", 2)
		b.mesh.Learn(a.member.ID.Address)
		time.Sleep(lowFirst + said)
		m := a.member
		m.Number = 7
		a.mesh.Say(m)
		time.Sleep(time.Second)
		if got := b.newest().Number; got != m.Number {
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

// newest returns what a member was last told to have said of itself.
func (p *process) newest() (m Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.events {
		if e.Kind == Up || e.Kind == Changed {
			m = e.Member
		}
	}
	return m
}
