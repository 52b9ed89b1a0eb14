package mesh

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"snipehub.example/internal/bubble"
	"snipehub.example/internal/memnet"
)

// Both sides dial at once, as all do after a power failure, and each connection arrives
// first at the other side. If each kept the one that it saw last, both could be closed,
// and the members would keep losing each other.
func TestBothSidesDialAtOnce(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
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
	bubble.Test(t, func(t *testing.T) {
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
// and Up for the new one, and no message for the old one may reach the new one. Only if both
// sides dial in the same instant, one of the two connections may replace the other.
func TestRestart(t *testing.T) {
	const startDelay, window = 50 * time.Millisecond, 3 * time.Millisecond
	dialsAt := startDelay + higherAddressDialDelay
	for pause := time.Duration(0); pause < minRedialBackoff; pause += time.Millisecond {
		jitter := func(d time.Duration) time.Duration { return min(pause, d-1) }
		withTwoMembers(t, func(t *testing.T, n *memnet.Net, a, b *process) {
			a.mesh.setJitter(jitter)
			b.cancel()
			<-b.done
			time.Sleep(startDelay)
			wantKinds(t, "a", a.kinds(), []Kind{Up, Down})
			redial := a.mesh.nextDial(b.member.ID.Address)
			restarted := startProcess(t, n, "127.0.0.2", 9)
			restarted.mesh.setJitter(jitter)
			begun := time.Now().Add(-startDelay)
			restarted.mesh.AddAddresses(a.member.ID.Address)
			time.Sleep(2 * time.Second)
			want := []Kind{Up, Down, Up}
			if k := a.kinds(); len(k) == 5 && redial.Sub(begun.Add(dialsAt)).Abs() <= window {
				want = []Kind{Up, Down, Up, Down, Up}
			}
			if len(want) == 5 {
				t.Logf("both dial at once with a pause of %v", pause)
			}
			wantKinds(t, "a", a.kinds(), want)
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
}

// setJitter makes the pause before a redial predictable.
func (m *Mesh[M]) setJitter(jitter func(time.Duration) time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.jitter = jitter
}

// nextDial returns when an address may be dialled again.
func (m *Mesh[M]) nextDial(a netip.AddrPort) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.addresses[a].nextDial
}

// Some other program begins a greeting of a megabyte and sends it slowly. The connection must
// be closed as if it had sent nothing, or the process runs out of descriptors.
func TestEndlessGreeting(t *testing.T) {
	withTwoMembers(t, func(t *testing.T, n *memnet.Net, a, _ *process) {
		c, err := n.Host("127.0.0.9").DialContext(t.Context(), "tcp", a.member.ID.Address.String())
		if err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = io.Copy(io.Discard, c) }()
		began := time.Now()
		_, err = c.Write(binary.AppendUvarint([]byte{0}, 1<<20))
		for err == nil && time.Since(began) < time.Minute {
			time.Sleep(greetingTimeout / 4)
			_, err = c.Write(make([]byte, pieceBytes))
		}
		if took := time.Since(began); err == nil || took > 2*greetingTimeout {
			t.Errorf("the connection was open for %v", took)
		}
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
	bubble.Test(t, func(t *testing.T) {
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
