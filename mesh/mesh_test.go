package mesh

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"snipehub.example/internal/bubble"
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
	withTwoMembersOn(t, memnet.New, test)
}

// withTwoMembersOn is withTwoMembers on a network of its own.
func withTwoMembersOn(t *testing.T, network func(latency time.Duration) *memnet.Net, test func(t *testing.T, n *memnet.Net, a, b *process)) {
	bubble.Test(t, func(t *testing.T) {
		n := network(time.Millisecond)
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
