package node

import (
	"bytes"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	"snipehub.example/catalog"
	"snipehub.example/cell"
	"snipehub.example/entry"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ms(n int) time.Time { return epoch.Add(time.Duration(n) * time.Millisecond) }

func member(n int) mesh.Member {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)
	return mesh.Member{ID: mesh.ID{Address: a, Boot: uint64(n)}, DataCenter: "dc", Cores: 1, Number: uint64(n)}
}

// newCore returns the core of member n, which has the first catalog and the store's list
// of the known members.
func newCore(n int, known ...int) *Core {
	self := member(n)
	self.Number = 0
	c := NewCore(slog.New(slog.DiscardHandler), self, &catalog.Store{}, cell.Policy{})
	var listed []mesh.Member
	for _, k := range append(known, n) {
		listed = append(listed, member(k))
	}
	c.SetRecorded(ms(0), listed, true)
	c.OperatorRead(ms(0), OperatorRead{Full: true, End: 1, Catalog: &catalog.Catalog{Version: 1}})
	c.Advertise(ms(0), func(m *mesh.Member) { m.Number = uint64(n) })
	c.Take(ms(0))
	return c
}

// messagesTo returns the messages to a member.
func messagesTo(out []Output, to mesh.ID) (all []Message) {
	for _, o := range out {
		if o.Message != nil && o.To == to {
			all = append(all, *o.Message)
		}
	}
	return all
}

func testWorker() lease.Worker {
	return lease.Worker{ID: "w", Address: netip.MustParseAddrPort("10.1.0.1:1"), DataCenter: "dc", Pool: "p", Resources: lease.Resources{CPU: 60}}
}

// holdWorker makes a core hold a worker with a run that nobody has claimed yet.
func holdWorker(t *testing.T, c *Core, from mesh.Member) {
	t.Helper()
	c.MemberUp(ms(1), from, 1)
	c.Receive(ms(2), from.ID, 1, []Message{{Assignment: &cell.Assignment{Worker: testWorker()}}})
	for _, o := range c.Take(ms(2)) {
		if o.Hold != nil {
			r := lease.Result{Verdict: lease.OK, Clock: 100, Incarnation: 1, Running: []lease.ListedRun{{Run: lease.Run{Task: "j.0.0.0", Number: 1}}}}
			c.HoldAnswered(ms(3), "w", *o.Hold, r)
		}
	}
	c.Take(ms(3))
}

// A process that has just started takes over a worker before it has sessions with all
// others. A member that connects later owns a run there: if it is not told the new
// holder, its caller waits two seconds until the run counts as lost.
func TestHeldWorkersAreToldToANewSession(t *testing.T) {
	c := newCore(2, 1, 3)
	holdWorker(t, c, member(1))
	c.MemberUp(ms(50), member(3), 2)
	var held []entry.Held
	for _, m := range messagesTo(c.Take(ms(50)), member(3).ID) {
		if m.Held != nil {
			held = append(held, *m.Held)
		}
	}
	if len(held) != 1 || held[0].Worker != "w" || held[0].Fence == 0 {
		t.Errorf("announced %+v, want the worker", held)
	}
}

// Messages of an ended session arrive after its end was handled. What they ask for has
// been settled since, so they must be dropped.
func TestMessagesOfAnEndedSession(t *testing.T) {
	c := newCore(1, 2)
	c.MemberUp(ms(1), member(2), 1)
	c.MemberDown(ms(10), member(2).ID, 1, ms(5))
	c.MemberUp(ms(20), member(2), 2)
	c.Take(ms(20))
	start := entry.Start{Runs: []entry.PlacedRun{{Run: lease.Run{Task: "j.0.0.0", Number: 1}, Worker: "w"}}}
	c.Receive(ms(21), member(2).ID, 1, []Message{{Start: &start}})
	if got := messagesTo(c.Take(ms(21)), member(2).ID); len(got) != 0 {
		t.Errorf("answered %+v to messages of an ended session", got)
	}
	c.Receive(ms(22), member(2).ID, 2, []Message{{Start: &start}})
	if got := messagesTo(c.Take(ms(22)), member(2).ID); len(got) != 1 || got[0].Ended == nil || got[0].Ended.End.Why != lease.NotHeld {
		t.Errorf("answered %+v, want the run ended with reason not held", got)
	}
}

// The planner must not change when another process joins, because all pending tasks would
// have to be requested again. It changes when the planner leaves.
func TestPlannerElection(t *testing.T) {
	c := newCore(3, 1, 2)
	if c.Planner() != member(3).ID || !c.IsPlanner() {
		t.Fatalf("alone, the planner is %v", c.Planner())
	}
	c.MemberUp(ms(1), member(1), 1)
	if c.Planner() != member(1).ID || c.IsPlanner() {
		t.Errorf("the planner is %v, want the one that joined first", c.Planner())
	}
	late := member(9)
	c.MemberUp(ms(2), late, 2)
	if c.Planner() != member(1).ID {
		t.Errorf("the planner changed to %v for one that joined", c.Planner())
	}
	large := member(8)
	large.Cores = 4
	c.MemberUp(ms(3), large, 3)
	if c.Planner() != large.ID {
		t.Errorf("the planner is %v, want the largest", c.Planner())
	}
	large.Leaving = true
	c.MemberChanged(ms(4), large)
	if c.Planner() != member(1).ID {
		t.Errorf("the planner is %v although it leaves", c.Planner())
	}
}

// The entry process of a job is lost. Its runs here are stopped before its caller can
// have started them elsewhere, but not if the process only reconnects.
func TestRunsOfALostProcess(t *testing.T) {
	for _, back := range []bool{true, false} {
		c := newCore(2, 1, 3)
		holdWorker(t, c, member(1))
		e := member(3)
		c.MemberUp(ms(10), e, 5)
		run := lease.Run{Task: "j.0.0.0", Number: 1}
		c.Receive(ms(11), e.ID, 5, []Message{{Claim: &entry.Claim{Worker: "w", Runs: []entry.ClaimedRun{{Run: run}}}}})
		c.Take(ms(11))
		c.MemberDown(ms(700), e.ID, 5, ms(50))
		if back {
			c.MemberUp(ms(710), e, 6)
		}
		stops := 0
		for at := 710; at < 1100; at += 50 {
			c.Tick(ms(at))
			for _, o := range c.Take(ms(at)) {
				if o.Stop != nil {
					stops++
					if at < 950 || at > 1000 {
						t.Errorf("stopped at %d ms, last heard at 50", at)
					}
				}
			}
		}
		if (stops == 0) != back {
			t.Errorf("%d stops; the process reconnected: %v", stops, back)
		}
	}
}

// The planner leaves. One member notices first, elects this process, and sends it its
// held workers and requests before this process knows that it is the planner. These
// messages are lost, and the jobs would get no workers until their timeout. So a new
// planner advertises when it begins, and everything is sent again then.
func TestWhatAPlannerWasToldTooEarly(t *testing.T) {
	planner := newCore(2, 1, 3)
	other := newCore(3, 1, 2)
	first := member(1)
	planner.MemberUp(ms(1), first, 1)
	planner.MemberUp(ms(1), member(3), 2)
	other.MemberUp(ms(1), first, 1)
	other.MemberUp(ms(1), planner.Self(), 2)
	other.Submit(ms(2), 1, entry.Request{ID: "1", Queue: catalog.Queue{Name: "q"}, Steps: []entry.Step{{Count: 1}}, Timeout: time.Minute})
	planner.Take(ms(2))
	other.Take(ms(2))

	first.Leaving = true
	other.MemberChanged(ms(10), first)
	planner.Receive(ms(11), member(3).ID, 2, messagesTo(other.Take(ms(10)), planner.Self().ID))
	planner.MemberChanged(ms(12), first)
	var advertised *mesh.Member
	for _, o := range planner.Take(ms(12)) {
		if o.Advertise != nil {
			advertised = o.Advertise
		}
	}
	if advertised == nil {
		t.Fatal("a process that begins to plan does not advertise it")
	}
	other.MemberChanged(ms(13), *advertised)
	var asked, reported bool
	for _, m := range messagesTo(other.Take(ms(13)), planner.Self().ID) {
		asked = asked || m.Request != nil
		reported = reported || m.Report != nil && m.Report.Full
	}
	if !asked || !reported {
		t.Errorf("requests sent again: %v, held workers reported again: %v", asked, reported)
	}
}

// A process releases a worker and is assigned it again while its last long call to the
// worker is still unanswered. If the new lease takes that answer for the one to its own
// first call, it believes that it holds the worker and that nothing runs there. It then
// tells the owner of a task that another holder was just starting there that the task
// does not run, and the owner starts it a second time.
func TestAnswerToACallOfAFormerHolding(t *testing.T) {
	c := newCore(2, 1, 3)
	c.MemberUp(ms(1), member(1), 1)
	assign := func(at int, minFence lease.Fence) (calls []lease.HoldCall) {
		c.Receive(ms(at), member(1).ID, 1, []Message{{Assignment: &cell.Assignment{Worker: testWorker(), MinFence: minFence}}})
		for _, o := range c.Take(ms(at)) {
			if o.Hold != nil {
				calls = append(calls, *o.Hold)
			}
		}
		return calls
	}
	firstHold := assign(2, 0)[0]
	c.HoldAnswered(ms(3), "w", firstHold, lease.Result{Verdict: lease.OK, Clock: 100, Incarnation: 1})
	var longHold lease.HoldCall
	for _, o := range c.Take(ms(3)) {
		if o.Hold != nil {
			longHold = *o.Hold
		}
	}
	c.Receive(ms(10), member(1).ID, 1, []Message{{Release: &cell.Release{Worker: "w"}}})
	c.Take(ms(10))
	again := assign(20, 0)
	if len(again) != 1 || again[0].Fence.Base() <= longHold.Fence.Base() {
		t.Fatalf("calls %+v, want one with a fence above %d", again, longHold.Fence)
	}
	c.HoldAnswered(ms(30), "w", longHold, lease.Result{Verdict: lease.OK, Clock: 127, Incarnation: 1})
	if c.held["w"].Established() {
		t.Error("the worker is held after an answer to a call of the former lease")
	}
	c.HoldAnswered(ms(31), "w", again[0], lease.Result{Verdict: lease.OK, Clock: 128, Incarnation: 1})
	if !c.held["w"].Established() {
		t.Error("the worker is not held after the answer to the first call")
	}
}

// A planner stops and begins again between two reads of the list of workers, because a
// larger VM was reachable for a moment. It has dropped all workers, so if it got only
// changes instead of the whole list, it would not know the workers that nobody holds.
func TestReaderReadsAnewForAPlannerThatBeganAgain(t *testing.T) {
	c := newCore(1, 2)
	first := c.ListReading()
	large := member(2)
	large.Cores = 4
	c.MemberUp(ms(1), large, 1)
	c.MemberDown(ms(2), large.ID, 1, ms(2))
	again := c.ListReading()
	if first.Planner != member(1).ID || again.Planner != member(1).ID || again == first {
		t.Errorf("reads %v, then %v; want new reads for itself", first, again)
	}
}

// A change of the operator's makes all members advertise it within a second. With a line for
// each of them, 147 processes write 21,000 lines at once, and small VMs fall behind.
func TestWhatMembersKnowOfTheOperatorIsNotLogged(t *testing.T) {
	var log bytes.Buffer
	c, _, _ := threeCores()
	c.log = slog.New(slog.NewTextHandler(&log, nil))
	m := member(2)
	m.Catalog, m.Evacuations = 1, 1
	c.MemberChanged(ms(10), m)
	if log.Len() != 0 {
		t.Errorf("logged %s", log.String())
	}
	m.StoreUnreachable = true
	c.MemberChanged(ms(20), m)
	if !strings.Contains(log.String(), "event=815") {
		t.Errorf("a change of the member itself is not logged: %s", log.String())
	}
}
