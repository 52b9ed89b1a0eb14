package roster

import (
	"encoding/json"
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipehub.example/ledger"
	"snipehub.example/tables"
	"snipehub.example/ticket"
)

// faults is a simulation of a few processes with all kinds of faults at once, and a
// platform whose VM list lags.
type faults struct {
	*sim
	// count is the number of processes started so far.
	count uint64
	// cutLinks is true for the pairs (from, to) whose calls are lost.
	cutLinks map[[2]*node]bool
	// lateAnswers deliver answers that are still on the way; pastVMLists are the VM lists
	// of each second so far.
	lateAnswers []func(time.Time)
	pastVMLists [][]ledger.VM
}

const (
	faultNodes = 6
	// listLag is the maximum lag of the VM list in seconds; it must be below GoneAfter.
	listLag = 12
)

func newFaults() *faults {
	f := &faults{sim: newSim(faultNodes, 1), cutLinks: make(map[[2]*node]bool)}
	f.cfg.GoneAfter = 20 * time.Second
	f.cut = func(a, b *node) bool { return f.cutLinks[[2]*node{a, b}] }
	for i := range faultNodes {
		f.startProcess(i, 500)
	}
	return f
}

// startProcess starts a process with an incarnation number derived from around; lower
// values of around stand for a clock that went back.
func (f *faults) startProcess(i int, around uint64) {
	f.count++
	f.start(i, around*1000+f.count)
}

// runSeconds advances the simulation and checks it after each second.
func (f *faults) runSeconds(t *rapid.T, seconds int) {
	for range seconds {
		f.second()
		f.pastVMLists = append(f.pastVMLists, f.vmList())
		f.check(t)
	}
}

// check fails if any process holds a running incarnation to be gone.
func (f *faults) check(t *rapid.T) {
	for _, n := range f.nodes {
		for _, k := range n.table.All() {
			o := f.nodes[k.Address]
			if k.State == Gone && o != nil && o.table.self.Owner == k.Owner {
				t.Fatalf("%v holds %v to be gone, and it runs", n.table.self.Owner, k.Owner)
			}
		}
	}
}

// Processes end, are suspended and restart at the same address, some with a clock that went
// back; calls are lost in one or both directions; answers arrive after their sender has
// ended; the VM list lags or is missing, and VMs return under the same name and address.
// If a running process were held to be gone, its callers would be told that their jobs
// failed.
func TestRapidRunningIsNeverGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFaults()
		any := rapid.IntRange(0, faultNodes-1)
		drawNode := func(t *rapid.T) *node { return f.nodes[simAddress(any.Draw(t, "node"))] }
		t.Repeat(map[string]func(*rapid.T){
			"":       f.check,
			"second": func(t *rapid.T) { f.runSeconds(t, 1) },
			"while":  func(t *rapid.T) { f.runSeconds(t, 20) },
			"end":    func(t *rapid.T) { delete(f.nodes, simAddress(any.Draw(t, "node"))) },
			"restart": func(t *rapid.T) {
				f.startProcess(any.Draw(t, "node"), rapid.Uint64Range(1, 999).Draw(t, "clock"))
			},
			"freeze or thaw": func(t *rapid.T) {
				if n := drawNode(t); n != nil {
					n.suspended = !n.suspended
				}
			},
			"cut or join": func(t *rapid.T) {
				k := [2]*node{drawNode(t), drawNode(t)}
				f.cutLinks[k] = !f.cutLinks[k]
			},
			"slow call": func(t *rapid.T) {
				n, to := drawNode(t), any.Draw(t, "to")
				if n == nil || n.suspended {
					return
				}
				if deliver := f.call(n, simAddress(to), n.table.Heartbeat(Member{})); deliver != nil {
					f.lateAnswers = append(f.lateAnswers, deliver)
				}
			},
			"late answer": func(t *rapid.T) {
				if len(f.lateAnswers) > 0 {
					rapid.SampledFrom(f.lateAnswers).Draw(t, "answer")(f.now)
				}
			},
			"VM list": func(t *rapid.T) {
				lag := rapid.IntRange(1, listLag).Draw(t, "lag")
				if n := drawNode(t); n != nil && len(f.pastVMLists) >= lag {
					n.table.ApplyVMList(f.now, f.pastVMLists[len(f.pastVMLists)-lag])
				}
			},
		})
		f.endFaults(t)
	})
}

// endFaults ends the faults. All must agree within a minute on which processes run.
func (f *faults) endFaults(t *rapid.T) {
	clear(f.cutLinks)
	for i := range faultNodes {
		if n := f.nodes[simAddress(i)]; n == nil {
			f.startProcess(i, 1)
		} else {
			n.suspended = false
		}
	}
	for range 60 {
		f.runSeconds(t, 1)
		if f.agree() {
			return
		}
	}
	t.Fatal("no agreement a minute after the faults ended")
}

// A VM is removed. Its process is silent and the list no longer has the VM, so callers
// must learn that its jobs failed; but not while the list may only lag, and not because
// of an empty list.
func TestGoneByTheVMList(t *testing.T) {
	s := newSim(8, 1)
	for i := range 8 {
		s.start(i, 1)
	}
	for range 10 {
		s.second()
	}
	fullList := s.vmList()
	victim := s.nodes[simAddress(7)].table.self.Owner
	delete(s.nodes, simAddress(6))
	delete(s.nodes, simAddress(7))
	table := s.nodes[simAddress(0)].table
	table.ApplyVMList(s.now, fullList)
	state := func() State {
		k, _ := table.Find(victim)
		return k.State
	}
	run := func(seconds int, list []ledger.VM) {
		for range seconds {
			s.second()
			table.ApplyVMList(s.now, list)
		}
	}
	run(120, fullList)
	run(120, nil)
	if state() != Suspect {
		t.Fatalf("%s while the VM list proves nothing, want suspect", state())
	}
	run(59, s.vmList())
	if state() != Suspect {
		t.Fatalf("%s within the lag of the list, want suspect", state())
	}
	run(3, s.vmList())
	if state() != Gone {
		t.Fatalf("%s after the lag of the list, want gone", state())
	}
	run(600, s.vmList())
	if _, ok := table.Find(victim); ok {
		t.Fatal("the gone member is still kept after KeepGone")
	}
}

// The platform reuses a VM's name and address. The new process is heard and then cut off
// from this one, while the lagging list still lacks the VM. The absence of the old VM
// must not make the new process gone.
func TestAbsenceOfTheOldVMSaysNothingOfTheNew(t *testing.T) {
	s := newSim(8, 1)
	for i := range 8 {
		s.start(i, 1)
	}
	s.second()
	fullList := s.vmList()
	table := s.nodes[simAddress(0)].table
	run := func(seconds int, list []ledger.VM) {
		for range seconds {
			s.second()
			table.ApplyVMList(s.now, list)
		}
	}
	run(10, fullList)
	delete(s.nodes, simAddress(6))
	delete(s.nodes, simAddress(7))
	without := s.vmList()
	run(30, without)
	newOwner := s.start(7, 2).table.self.Owner
	run(15, without)
	s.cut = func(from, to *node) bool { return to == s.nodes[simAddress(7)] || from == s.nodes[simAddress(7)] }
	run(40, without)
	if k, _ := table.Find(newOwner); k.State != Suspect {
		t.Fatalf("the new process is %q, want suspect", k.State)
	}
}

// Far more members are heard of than the settings allow, for example after two systems
// were given each other's seeds by mistake. The table must stay bounded and forget gone
// and suspect members first; a forgotten member is unknown, not gone.
func TestMemberTableIsBounded(t *testing.T) {
	cfg := simConfig
	cfg.MaxMembers = 10
	s := newSim(3, 1)
	s.cfg = cfg
	table := s.start(0, 1).table
	member := func(i int) Member {
		return Member{Owner: ticket.Owner{DataCenter: "d", VM: "v", Process: "p", Incarnation: uint64(i)}, Address: simAddress(i), Count: 1}
	}
	for i := 1; i <= 20; i++ {
		table.Received(s.now, Heartbeat{From: member(i)})
	}
	if table.Len() != 10 || !table.fullReported {
		t.Fatalf("%d members, want 10", table.Len())
	}
	table.Failed(s.now, simAddress(3))
	table.Tick(s.now.Add(time.Minute))
	table.Received(s.now.Add(time.Minute), Heartbeat{From: member(30)})
	if _, ok := table.Find(member(3).Owner); ok {
		t.Error("the suspect member was kept instead of a live one")
	}
	if _, ok := table.Find(member(30).Owner); !ok || table.Len() != 10 {
		t.Error("no member was evicted for the live one")
	}
}

// Two heartbeats to one neighbour are answered out of order. The older answer must not
// replace the newer: this process may be cut off from the platform, and whether it
// continues to place work depends on whether a neighbour has newer tables. With the older
// answer, a backend server that has moved would get work of both halves.
func TestLateAnswerDoesNotReplaceANewerOne(t *testing.T) {
	s := newSim(2, 1)
	table := s.start(0, 1).table
	neighbour := Member{Owner: ticket.Owner{DataCenter: table.self.Owner.DataCenter, VM: "vm9", Process: "hub", Incarnation: 1}, Address: simAddress(9)}
	heartbeat := func(count uint64, v tables.Version) Heartbeat {
		m := neighbour
		m.Count, m.Tables = count, v
		return Heartbeat{From: m}
	}
	first, second := s.now, s.now.Add(time.Second)
	table.Answered(second, second.Add(time.Millisecond), neighbour.Address, heartbeat(2, 7))
	table.Answered(first, second.Add(2*time.Millisecond), neighbour.Address, heartbeat(1, 5))
	n := table.Neighbours()
	if len(n) != 1 || n[0].Advertised.Tables != 7 || !n[0].LastAnswered.Equal(second) {
		t.Errorf("%+v", n)
	}
	// In the other order the later answer belongs to the earlier call; the neighbour had
	// still received the later call by then.
	table.Answered(second.Add(time.Second), second.Add(time.Second), neighbour.Address, heartbeat(3, 7))
	table.Answered(second, second.Add(2*time.Second), neighbour.Address, heartbeat(4, 8))
	n = table.Neighbours()
	if n[0].Advertised.Tables != 8 || !n[0].LastAnswered.Equal(second.Add(time.Second)) {
		t.Errorf("%+v", n)
	}
}

func FuzzBeat(f *testing.F) {
	s := newSim(4, 1)
	for i := range 4 {
		s.start(i, 1)
	}
	s.second()
	text, _ := json.Marshal(s.nodes[simAddress(0)].table.Heartbeat(Member{Confirmed: true, Age: time.Second}))
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		var h Heartbeat
		if json.Unmarshal(text, &h) != nil {
			return
		}
		s := newSim(1, 1)
		n := s.start(0, 1)
		n.table.Received(s.now, h)
		n.table.Answered(s.now, s.now, simAddress(1), h)
		n.table.Tick(s.now.Add(time.Minute))
		again, err := json.Marshal(n.table.Answer(Member{}, h))
		if err != nil || json.Unmarshal(again, &h) != nil {
			t.Fatalf("%s became an answer that can't be read: %s", text, again)
		}
	})
}
