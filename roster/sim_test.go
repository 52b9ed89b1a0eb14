package roster

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"

	"snipehub.example/ledger"
	"snipehub.example/ticket"
)

// TestMain fixes the seed of rapid, so that each run has the same result. For long runs:
//
//	go test ./roster -run Rapid -rapid.seed=0 -rapid.checks=5000
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "100")
	_ = flag.Set("rapid.steps", "60")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// sim simulates many processes that exchange heartbeats on one clock.
type sim struct {
	now   time.Time
	rnd   *rand.Rand
	cfg   Config
	seeds []netip.AddrPort
	nodes map[netip.AddrPort]*node
	// cut reports whether a call between two nodes is lost.
	cut func(from, to *node) bool
	// encode is set if heartbeats pass through their JSON form.
	encode bool
	bytes  int
	calls  int
}

type node struct {
	addr      netip.AddrPort
	table     *MemberTable
	suspended bool
}

var simConfig = Config{
	SuspectAfter: 3 * time.Second,
	GoneAfter:    time.Minute,
	KeepGone:     10 * time.Minute,
	MaxMembers:   8192,
	MaxNews:      16,
}

func newSim(n int, seed uint64) *sim {
	s := &sim{
		now:   time.Unix(1000000, 0),
		rnd:   rand.New(rand.NewPCG(seed, 0)),
		cfg:   simConfig,
		nodes: make(map[netip.AddrPort]*node),
		cut:   func(_, _ *node) bool { return false },
	}
	for i := range min(n, 3) {
		s.seeds = append(s.seeds, simAddress(i))
	}
	return s
}

// simAddress returns the address of a node; each VM has two nodes.
func simAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 512), byte(i / 2 % 256)}), uint16(7500+i%2))
}

func (s *sim) start(i int, incarnation uint64) *node {
	o := ticket.Owner{DataCenter: fmt.Sprint("dc", i/2%3), VM: fmt.Sprint("vm", i/2), Process: fmt.Sprint("hub", i%2), Incarnation: incarnation}
	n := &node{addr: simAddress(i)}
	n.table = NewMemberTable(Member{Owner: o, Address: n.addr}, s.cfg, rand.New(rand.NewPCG(s.rnd.Uint64(), 1)))
	s.nodes[n.addr] = n
	return n
}

// second advances the clock by a second and lets every process send its heartbeats.
func (s *sim) second() {
	s.now = s.now.Add(time.Second)
	for i := range 2*len(s.nodes) + 8 {
		n := s.nodes[simAddress(i)]
		if n == nil || n.suspended {
			continue
		}
		n.table.Tick(s.now)
		to := n.table.Targets(2, s.seeds)
		h := n.table.Heartbeat(Member{})
		for _, a := range to {
			if deliver := s.call(n, a, h); deliver != nil {
				deliver(s.now)
			}
		}
	}
}

// call sends a heartbeat and returns a function that delivers the answer to the sender,
// or nil if there is no answer.
func (s *sim) call(n *node, a netip.AddrPort, h Heartbeat) func(now time.Time) {
	if a == n.addr {
		return nil
	}
	t, sent := s.nodes[a], s.now
	if t == nil || t.suspended || s.cut(n, t) {
		n.table.Failed(s.now, a)
		return nil
	}
	in := s.wire(h)
	t.table.Received(s.now, in)
	out := s.wire(t.table.Answer(Member{}, in))
	return func(now time.Time) { n.table.Answered(sent, now, a, out) }
}

func (s *sim) wire(h Heartbeat) Heartbeat {
	if !s.encode {
		return h
	}
	text, err := json.Marshal(h)
	if err != nil {
		panic(err)
	}
	s.bytes += len(text)
	s.calls++
	var out Heartbeat
	if err := json.Unmarshal(text, &out); err != nil {
		panic(err)
	}
	return out
}

func (s *sim) vmList() []ledger.VM {
	var out []ledger.VM
	for _, n := range s.nodes {
		out = append(out, ledger.VM{Name: n.table.self.Owner.VM, Address: n.addr.Addr()})
	}
	return out
}

// agree reports whether every process that is not suspended has all others as live and
// none that has ended.
func (s *sim) agree() bool {
	for _, n := range s.nodes {
		if n.suspended {
			continue
		}
		live := 0
		for _, k := range n.table.All() {
			t := s.nodes[k.Address]
			runs := t != nil && t.table.self.Owner == k.Owner
			if (k.State == Live) != runs {
				return false
			}
			if runs {
				live++
			}
		}
		if live != len(s.nodes)-1 {
			return false
		}
	}
	return true
}
