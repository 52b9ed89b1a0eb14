package mesh

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"snipehub.example/internal/bubble"
	"snipehub.example/internal/memnet"
)

// withProcesses runs a test with n processes that do not know each other.
func withProcesses(t *testing.T, n int, test func(p []*process)) {
	bubble.Test(t, func(t *testing.T) {
		net := memnet.New(time.Millisecond)
		var all []*process
		for i := range n {
			all = append(all, startProcess(t, net, fmt.Sprintf("127.0.0.%d", i+1), uint64(i+1)))
		}
		test(all)
		for _, p := range all {
			p.cancel()
			<-p.done
		}
		net.Close()
		time.Sleep(time.Minute)
	})
}

// peersOf returns the processes as peers.
func peersOf(dialDelay time.Duration, of ...*process) (peers []Peer) {
	for _, p := range of {
		peers = append(peers, Peer{p.member.ID.Address, dialDelay})
	}
	return peers
}

// A greeting names addresses of other cells. A process that dialled them all would end up
// with a session with each process of a large deployment.
func TestSessionsWithPeersOnly(t *testing.T) {
	withProcesses(t, 3, func(p []*process) {
		p[1].mesh.AddAddresses(p[2].member.ID.Address)
		time.Sleep(time.Second)
		p[0].mesh.SetPeers(peersOf(300*time.Millisecond, p[1]))
		time.Sleep(time.Second)
		wantKinds(t, "the restricted process", p[0].kinds(), []Kind{Up})
		p[0].mesh.KeepAll()
		p[0].mesh.AddAddresses(p[2].member.ID.Address)
		time.Sleep(time.Second)
		wantKinds(t, "the process without restriction", p[0].kinds(), []Kind{Up, Up})
	})
}

// A job needed a process of another cell for a moment. If the session stayed, sessions with
// other cells would add up.
func TestUnneededSessionEnds(t *testing.T) {
	withProcesses(t, 2, func(p []*process) {
		a, b := p[0].mesh, p[1].mesh
		b.SetPeers(nil)
		a.SetPeers(peersOf(0, p[1]))
		time.Sleep(time.Second)
		a.SetPeers(nil)
		time.Sleep(unneededSessionRetention / 2)
		a.Send(p[1].member.ID, "used")
		time.Sleep(unneededSessionRetention - time.Second)
		wantKinds(t, "soon after the last message", p[0].kinds(), []Kind{Up})
		time.Sleep(3 * time.Second)
		wantKinds(t, "long after the last message", p[0].kinds(), []Kind{Up, Down})
	})
}

// A process may keep a session that the other one has no use for. If the other one ended it,
// it would be opened again at once.
func TestSessionIsEndedByItsOpener(t *testing.T) {
	withProcesses(t, 2, func(p []*process) {
		p[1].mesh.SetPeers(nil)
		p[0].mesh.SetPeers(peersOf(0, p[1]))
		time.Sleep(4 * unneededSessionRetention)
		wantKinds(t, "the opener", p[0].kinds(), []Kind{Up})
	})
}

// All processes of a cell start together. If both sides of each pair dialled, they would
// close each other's connections, and each pair would meet several times.
func TestCellMeetsOnce(t *testing.T) {
	const processes = 24
	withProcesses(t, processes, func(p []*process) {
		for i, o := range p {
			o.mesh.SetPeers(peersOf(300*time.Millisecond, slices.Delete(slices.Clone(p), i, i+1)...))
		}
		time.Sleep(5 * time.Second)
		for _, o := range p {
			if kinds := o.kinds(); len(kinds) != processes-1 || slices.Contains(kinds, Down) {
				t.Errorf("%s: %d events %v, want %d sessions and no end of one", o.member.VM, len(kinds), kinds, processes-1)
			}
		}
	})
}

// A process starts before it knows how large the deployment is, and members in other data
// centres name hundreds of addresses. It must not dial them before it can know; what the
// store lists it dials at once.
func TestForeignAddressesAreDeferred(t *testing.T) {
	withProcesses(t, 4, func(p []*process) {
		for i, dc := range []string{"a", "b", "b", "b"} {
			p[i].member.DataCenter = dc
			p[i].mesh.Advertise(p[i].member)
		}
		p[1].mesh.AddAddresses(p[2].member.ID.Address, p[3].member.ID.Address)
		time.Sleep(100 * time.Millisecond)
		p[0].mesh.AddAddresses(p[1].member.ID.Address)
		time.Sleep(100 * time.Millisecond)
		wantKinds(t, "before the delay is over", p[0].kinds(), []Kind{Up})
		p[0].mesh.AddAddresses(p[2].member.ID.Address)
		time.Sleep(100 * time.Millisecond)
		wantKinds(t, "when the store lists one of them", p[0].kinds(), []Kind{Up, Up})
		time.Sleep(sizeUnknownPeriod)
		wantKinds(t, "after the delay", p[0].kinds(), []Kind{Up, Up, Up})
	})
}

// A process of another cell has as many sessions as it may have and ends each new one at
// once. Without a backoff it would be dialled as fast as connections open.
func TestRefusedSessionIsRetriedSlowly(t *testing.T) {
	withProcesses(t, 2, func(p []*process) {
		p[1].mesh.SetPeers(nil)
		p[0].mesh.SetPeers(peersOf(0, p[1]))
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			p[1].mu.Lock()
			last := p[1].events[len(p[1].events)-1]
			p[1].mu.Unlock()
			if last.Kind == Up {
				p[1].mesh.Disconnect(last.Member.ID, last.Session, "full")
			}
		}
		if n := len(p[0].kinds()) / 2; n < 5 || n > 20 {
			t.Errorf("%d sessions in 10 s, want a few", n)
		}
	})
}
