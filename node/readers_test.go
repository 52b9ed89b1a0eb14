package node

import (
	"testing"
	"time"

	"snipehub.example/cell"
	"snipehub.example/mesh"
)

// tickUntil lets a core work until a time, in steps of a tick, and returns the members that
// it asks to read the list of workers, with the last serial: 0 if it has told them to stop.
func tickUntil(c *Core, from, until int) map[mesh.ID]uint64 {
	asked := make(map[mesh.ID]uint64)
	for at := from; at <= until; at += int(tickInterval.Milliseconds()) {
		c.Tick(ms(at))
		for _, o := range c.Take(ms(at)) {
			if o.Message != nil && o.Message.ReadList != nil {
				asked[o.To] = o.Message.ReadList.Serial
			}
		}
	}
	return asked
}

// The store does not answer the planner and serves the others, so another member must read
// the list of workers. Otherwise tasks would be started on workers that have long left.
func TestMemberReadsTheListForThePlanner(t *testing.T) {
	planner, second, _ := threeCores()
	listed(planner, ms(10), fullList("w"))
	if asked := tickUntil(planner, 50, 1000); len(asked) != 0 {
		t.Fatalf("asked %v while the list is current", asked)
	}
	asked := tickUntil(planner, 1050, 1100)
	if len(asked) != 2 {
		t.Fatalf("asked %v, want both others", asked)
	}
	request := Message{ReadList: &ReadList{asked[second.Self().ID]}}
	second.Receive(ms(1101), planner.Self().ID, 1, []Message{request})
	if r := second.ListReading(); r.Planner != planner.Self().ID {
		t.Fatalf("reads %v, want it to read for the planner", r)
	}
	drained := fullList("w")
	drained.Workers[0].Draining = true
	second.WorkersListed(ms(1150), second.ListReading(), ms(1140), drained)
	deliver(ms(1151), second, planner, second.Take(ms(1150)))
	planner.Take(ms(1151))
	v := planner.Status(ms(1151)).Cell
	if len(v.Holders) != 1 || !v.Holders[0].Draining || v.ListAge != 10*time.Millisecond {
		t.Errorf("the planner knows %+v of %v ago, want a draining worker of 10 ms ago", v.Holders, v.ListAge)
	}

	// The one that has delivered goes on alone until the planner reads again itself.
	third := member(3).ID
	if asked := tickUntil(planner, 1200, 1400); len(asked) != 1 || asked[third] != 0 {
		t.Errorf("told %v, want the third to stop", asked)
	}
	listed(planner, ms(1410), fullList("w"))
	if asked := tickUntil(planner, 1450, 1500); len(asked) != 1 || asked[second.Self().ID] != 0 {
		t.Errorf("told %v, want the second to stop", asked)
	}
	second.Receive(ms(1501), planner.Self().ID, 1, []Message{{ReadList: &ReadList{}}})
	if r := second.ListReading(); r != (ListReading{}) {
		t.Errorf("reads %v after it was told to stop", r)
	}
}

// A member that reads the list for the planner loses its session with it and gets a new one
// at once. The change that it had sent was lost with the session, and it has nothing more to
// tell: the planner would never know that the worker drains.
func TestReadsBeginAnewWithANewSession(t *testing.T) {
	planner, second, _ := threeCores()
	listed(planner, ms(10), fullList("w"))
	asked := tickUntil(planner, 1050, 1050)
	second.Receive(ms(1051), planner.Self().ID, 1, []Message{{ReadList: &ReadList{asked[second.Self().ID]}}})
	former := second.ListReading()
	second.WorkersListed(ms(1060), former, ms(1060), fullList("w"))
	deliver(ms(1061), second, planner, second.Take(ms(1060)))

	second.MemberDown(ms(1070), planner.Self().ID, 1, ms(1060))
	second.MemberUp(ms(1071), planner.Self(), 2)
	if second.ListReading() == former {
		t.Error("the reads go on where they were when the session ended")
	}
	planner.MemberDown(ms(1070), second.Self().ID, 1, ms(1060))
	planner.MemberUp(ms(1071), second.Self(), 2)
	planner.Take(ms(1071))
	change := fullList("w")
	change.Full, change.Serial = false, former.Serial
	planner.Receive(ms(1080), second.Self().ID, 2, []Message{{WorkerList: &change}})
	if age := planner.Status(ms(1080)).Cell.ListAge; age < 19*time.Millisecond {
		t.Errorf("the list counts as %v old after an update of former reads", age)
	}
	if asked := tickUntil(planner, 2200, 2200); asked[second.Self().ID] <= former.Serial {
		t.Errorf("asked %v, want the second with a new serial", asked)
	}
}

// An update that was read before the planner stopped and began anew, or before it was
// suspended, is not news.
func TestUpdateOfFormerReadsIsDropped(t *testing.T) {
	c := newCore(1, 2)
	former := c.ListReading()
	large := member(2)
	large.Cores = 4
	c.MemberUp(ms(1), large, 1)
	c.MemberDown(ms(2), large.ID, 1, ms(2))
	c.WorkersListed(ms(3), former, ms(0), fullList("w"))
	c.Take(ms(3))
	if v := c.Status(ms(3)).Cell; len(v.Holders) != 0 {
		t.Errorf("knows %+v from reads of an earlier term", v.Holders)
	}
}

// Three quarters of all processes lose the store, the planner among them. Further members
// are asked until one delivers; those that have not are told to stop.
func TestMoreAndMoreReadersAreAsked(t *testing.T) {
	c, members := newTwoDataCenterCore(30)
	c.Advertise(ms(5), func(m *mesh.Member) { m.Cores = 9 })
	c.Take(ms(5))
	listed(c, ms(10), fullList())
	most, all := 0, make(map[mesh.ID]struct{})
	asked := make(map[mesh.ID]bool)
	for at := 1050; at <= 2600; at += 50 {
		for id, serial := range tickUntil(c, at, at) {
			asked[id] = serial != 0
			all[id] = struct{}{}
		}
		n := 0
		for _, on := range asked {
			if on {
				n++
			}
		}
		most = max(most, n)
		if at == 1050 {
			odd := 0
			for _, m := range members {
				if asked[m.ID] && m.DataCenter == "odd" {
					odd++
				}
			}
			if len(asked) != readersPerRound || odd == 0 {
				t.Errorf("asks %v first, %d of them elsewhere; want %d, some elsewhere", asked, odd, readersPerRound)
			}
		}
	}
	if len(all) != 29 {
		t.Errorf("%d members were asked within 1.6 s, want all 29", len(all))
	}
	if limit := readersPerRound * int(readerTimeout/askInterval); most > limit {
		t.Errorf("%d members read at once, want at most %d", most, limit)
	}
	c.WorkersListed(ms(2610), c.ListReading(), ms(2610), cell.WorkerList{Full: true})
	for id, serial := range tickUntil(c, 2650, 2650) {
		asked[id] = serial != 0
	}
	for id, on := range asked {
		if on {
			t.Errorf("%v still reads", id)
		}
	}
}

// A member was without the store, and has it back. It says so only when a long read has ended,
// seconds later. If it is not asked until then, and all others lose the store meanwhile, nobody
// reads the list for the planner.
func TestMembersThatSeemWithoutTheStoreAreAskedLast(t *testing.T) {
	c, members := newTwoDataCenterCore(8)
	c.Advertise(ms(5), func(m *mesh.Member) { m.Cores = 9 })
	for _, m := range members[:3] {
		m.StoreUnreachable = true
		c.MemberChanged(ms(6), m)
	}
	c.Take(ms(6))
	listed(c, ms(10), fullList())
	first := tickUntil(c, 1050, 1050)
	for _, m := range members[:3] {
		if _, ok := first[m.ID]; ok {
			t.Errorf("%v is asked first, although it says that it does not reach the store", m.ID)
		}
	}
	if second := tickUntil(c, 1100, 1250); len(first) != readersPerRound || len(first)+len(second) != len(members) {
		t.Errorf("%d members are asked first and %d in the second round, want all %d", len(first), len(second), len(members))
	}
}

// The whole store is away, as all members say. They must not call it more and more.
func TestFewCallsWhileTheStoreIsAway(t *testing.T) {
	planner, second, third := threeCores()
	listed(planner, ms(10), fullList("w"))
	for _, m := range []mesh.Member{second.Self(), third.Self()} {
		m.StoreUnreachable = true
		planner.MemberChanged(ms(20), m)
	}
	planner.Take(ms(20))
	requests := 0
	for at := 1050; at < 11_050; at += 50 {
		for _, serial := range tickUntil(planner, at, at) {
			if serial != 0 {
				requests++
			}
		}
	}
	if requests > 2*10 {
		t.Errorf("two members are asked %d times in 10 s, want once a second each at most", requests)
	}
}

// The planner is cut off from the store and from the others. When they are back, it must not wait
// for the pause after its last round to end before it asks them.
func TestMembersThatComeBackAreAskedAtOnce(t *testing.T) {
	planner, second, third := threeCores()
	listed(planner, ms(10), fullList("w"))
	for _, c := range []*Core{second, third} {
		planner.MemberDown(ms(20), c.Self().ID, 1, ms(20))
	}
	tickUntil(planner, 50, 3000)
	planner.MemberUp(ms(3010), second.Self(), 2)
	if asked := tickUntil(planner, 3050, 3050); len(asked) != 1 {
		t.Errorf("asked %v, want the second", asked)
	}
}

// The planner is lost, and the next one does not reach the store. Its list is as old as the silence
// of the former one at least, so it must ask others sooner than a planner whose reads begin to fail.
func TestNewPlannerWithoutTheStoreAsksSoon(t *testing.T) {
	planner, _, _ := threeCores()
	if asked := tickUntil(planner, 50, 300); len(asked) != 0 {
		t.Errorf("asked %v within 300 ms, which a read may take", asked)
	}
	if asked := tickUntil(planner, 350, 400); len(asked) != 2 {
		t.Errorf("asked %v, want both others", asked)
	}
}
