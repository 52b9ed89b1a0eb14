package node

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"time"

	"snipehub.example/catalog"
	"snipehub.example/cell"
	"snipehub.example/entry"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// fleet returns n processes in a number of data centres, one in eight of them large.
func fleet(n, dataCenters int) (all []mesh.Member) {
	for i := range n {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(1 + i%dataCenters), byte(i / 250), byte(1 + i%250)}), 7000)
		m := mesh.Member{ID: mesh.ID{Address: a, Boot: uint64(i + 1)}, VM: fmt.Sprintf("vm-%d", i), DataCenter: fmt.Sprintf("dc-%d", i%dataCenters), Cores: 0.144, Number: uint64(i + 1)}
		if i%8 == 0 {
			m.Cores = 0.8
		}
		all = append(all, m)
	}
	return all
}

// newFleetCore returns the core of a listed process that has read the list and has sessions
// with the given members.
func newFleetCore(self mesh.Member, d directory, sessions ...mesh.Member) *Core {
	c := NewCore(slog.New(slog.DiscardHandler), self, &catalog.Store{}, cell.Policy{})
	c.directory = d
	c.OperatorRead(ms(0), OperatorRead{Full: true, End: 1, Catalog: &catalog.Catalog{Version: 1}})
	c.elect(ms(0))
	for i, m := range sessions {
		c.MemberUp(ms(1), m, uint64(i+1))
	}
	return c
}

// Each process had a session with each other one. At a thousand processes, sessions,
// greetings and heartbeats fill small VMs before any job arrives.
func TestSessionsDoNotGrowWithTheFleet(t *testing.T) {
	tests := []struct{ processes, dataCenters int }{{238, 5}, {1000, 5}, {1520, 7}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.processes), func(t *testing.T) {
			all := fleet(tt.processes, tt.dataCenters)
			d := newDirectory(all, true)
			sessions := make(map[netip.AddrPort]map[netip.AddrPort]struct{})
			add := func(a, b netip.AddrPort) {
				if sessions[a] == nil {
					sessions[a] = make(map[netip.AddrPort]struct{})
				}
				sessions[a][b] = struct{}{}
			}
			planners := 0
			for _, m := range all {
				c := newFleetCore(m, d)
				if best := d.byAddress[c.expectedPlanner()]; best.ID != m.ID {
					c.MemberUp(ms(1), best, 1)
				} else {
					planners++
				}
				for _, p := range c.listPeers() {
					add(m.ID.Address, p.Address)
					add(p.Address, m.ID.Address)
				}
			}
			most, sum := 0, 0
			for _, s := range sessions {
				most, sum = max(most, len(s)), sum+len(s)
			}
			t.Logf("%d cells; sessions: %d on average, %d at most", planners, sum/len(all), most)
			if most > maxSessions {
				t.Errorf("a process has %d sessions, want at most %d", most, maxSessions)
			}
		})
	}
}

// At a start, the last part of the list shows that the deployment is large. Dialling all that
// are listed before that is known costs tens of thousands of sessions in a second.
func TestLargeListIsNotDialled(t *testing.T) {
	all := fleet(splitThreshold, 2)
	c := NewCore(slog.New(slog.DiscardHandler), all[1], &catalog.Store{}, cell.Policy{})
	c.SetRecorded(ms(0), all, true)
	for _, o := range c.Take(ms(0)) {
		if o.Addresses != nil {
			t.Errorf("%d addresses are dialled", len(o.Addresses))
		}
	}
	c = NewCore(slog.New(slog.DiscardHandler), all[1], &catalog.Store{}, cell.Policy{})
	for range 2 {
		c.SetRecorded(ms(0), all[:40], true)
		if out := c.Take(ms(0)); !slices.ContainsFunc(out, func(o Output) bool { return len(o.Addresses) == 40 }) {
			t.Error("the mesh is not told the addresses of a single cell again")
		}
	}
}

// The planner refuses a job, and another cell's is asked, with which there is no session. The
// request must not be lost: the caller would wait until its deadline.
func TestRequestWaitsForItsSession(t *testing.T) {
	all := fleet(200, 4)
	c := newFleetCore(all[1], newDirectory(all, true))
	c.Take(ms(1))
	other := all[0]
	c.send(ms(2), other.ID, Message{Request: &cell.Request{Job: "j"}})
	out := c.Take(ms(2))
	if m := messagesTo(out, other.ID); len(m) != 0 {
		t.Fatalf("sent %+v without a session", m)
	}
	if !slices.ContainsFunc(out, func(o Output) bool {
		return o.Peers != nil && slices.Contains(o.Peers.List, mesh.Peer{Address: other.ID.Address})
	}) {
		t.Fatal("no session was asked for")
	}
	c.MemberUp(ms(20), other, 1)
	m := messagesTo(c.Take(ms(20)), other.ID)
	if !slices.ContainsFunc(m, func(m Message) bool { return m.Request != nil && m.Request.Job == "j" }) {
		t.Errorf("sent %+v in the new session, want the request", m)
	}
}

// The other cell's process is dead. The job must be offered elsewhere at once, and not to the
// same process again and again.
func TestProcessOfAnotherCellIsDead(t *testing.T) {
	all := fleet(200, 4)
	c := newFleetCore(all[1], newDirectory(all, true))
	before := c.otherPlanners()
	if len(before) != 3 {
		t.Fatalf("jobs are offered to %v, want the planners of 3 cells", before)
	}
	dead := before[0]
	c.send(ms(2), dead, Message{Start: &entry.Start{Runs: []entry.PlacedRun{{Run: lease.Run{Task: "j.0.0.0", Number: 1}, Worker: "w"}}}})
	c.Tick(ms(2).Add(openTimeout + time.Millisecond))
	if len(c.onDemand) != 0 {
		t.Error("still waits for the session")
	}
	if after := c.otherPlanners(); slices.Contains(after, dead) || len(after) != len(before) {
		t.Errorf("jobs are offered to %v, want another one than %s", after, dead)
	}
}

// A session with another cell's planner is closed after its use. If that counted as a loss, no
// jobs would be offered to a cell with room.
func TestEndOfAnUnneededSessionIsNoLoss(t *testing.T) {
	all := fleet(200, 4)
	c := newFleetCore(all[1], newDirectory(all, true))
	for i, m := range []mesh.Member{all[0], all[2]} {
		c.MemberUp(ms(1), m, uint64(i+1))
	}
	c.watch(all[2].ID)
	for i, m := range []mesh.Member{all[2], all[0]} {
		c.MemberDown(ms(9), m.ID, uint64(2-i), ms(9))
	}
	if c.isUnreachable(all[0].ID) || !c.isUnreachable(all[2].ID) {
		t.Errorf("passed over are %v, want only the process on which jobs depended", c.unreachable)
	}
}

// A process takes another one for the planner of its cell, for example since the list is
// old. Without an answer the job would wait for nothing.
func TestRequestToAnotherThanThePlannerIsRedirected(t *testing.T) {
	all := fleet(200, 4)
	c := newFleetCore(all[1], newDirectory(all, true))
	planner, requester := all[9], all[0]
	planner.Cores = 4
	c.MemberUp(ms(1), planner, 1)
	c.MemberUp(ms(1), requester, 2)
	c.Receive(ms(2), requester.ID, 2, []Message{{Request: &cell.Request{Job: "j"}}})
	m := messagesTo(c.Take(ms(2)), requester.ID)
	if len(m) != 1 || m[0].Refusal == nil || m[0].Refusal.Reason != cell.ReasonNotPlanner || m[0].Refusal.Planner != planner.ID {
		t.Errorf("answered %+v, want the planner %s", m, planner.ID)
	}
	c.Receive(ms(3), planner.ID, 1, []Message{{Request: &cell.Request{Job: "k"}}})
	if m := messagesTo(c.Take(ms(3)), planner.ID); slices.ContainsFunc(m, func(m Message) bool { return m.Refusal != nil }) {
		t.Error("a member of the own cell is refused, which only has elected another planner so far")
	}
}

// Many processes of other cells offer jobs here at once. Their sessions must not fill this
// process's memory, and its own cell must always get in.
func TestSessionsOfOtherCellsAreBounded(t *testing.T) {
	all := fleet(600, 4)
	d := newDirectory(all, true)
	c := newFleetCore(all[1], d)
	refused := 0
	for i, m := range all {
		if c.cellOf(m) != c.ownCell() {
			c.MemberUp(ms(1), m, uint64(i+1))
		}
	}
	for _, o := range c.Take(ms(1)) {
		if o.Disconnect != nil {
			refused++
		}
	}
	if len(c.members) != maxSessions || refused == 0 {
		t.Errorf("%d sessions and %d refused, want %d sessions", len(c.members), refused, maxSessions)
	}
	for _, m := range all {
		if c.cellOf(m) == c.ownCell() && m.ID != c.self.ID {
			c.MemberUp(ms(2), m, 9999)
			if _, ok := c.members[m.ID]; !ok {
				t.Fatal("a process of the own cell is refused")
			}
		}
	}
}

// A data centre is cut off. If its processes counted all others for their quorum, the workers
// of a process that dies there would get no holder until the cut heals.
func TestCutOffDataCenterKeepsItsQuorum(t *testing.T) {
	all := fleet(200, 4)
	c := newFleetCore(all[1], newDirectory(all, true))
	var own []mesh.Member
	for _, m := range all {
		if m.DataCenter == c.self.DataCenter && m.ID != c.self.ID {
			own = append(own, m)
			c.MemberUp(ms(1), m, 1)
		}
	}
	if !c.HasQuorum() {
		t.Error("no quorum with the whole data centre")
	}
	for _, m := range own[:len(own)/2+2] {
		c.MemberDown(ms(2), m.ID, 1, ms(2))
	}
	if c.HasQuorum() {
		t.Error("quorum with less than half of the cell")
	}
}

// A process of a small deployment has read the records of its own data centre, where it is
// alone, and the store does not answer for the others. With a quorum of that part it would
// take the workers of all others.
func TestPartOfTheListIsNoQuorum(t *testing.T) {
	all := fleet(9, 3)
	c := newFleetCore(all[1], newDirectory(all[1:2], false))
	if c.HasQuorum() {
		t.Error("quorum before the whole list has been read")
	}
	c.SetRecorded(ms(1), all, true)
	for i, m := range all[2:] {
		c.MemberUp(ms(2), m, uint64(i+1))
	}
	if !c.HasQuorum() {
		t.Error("no quorum with all but one of the listed processes")
	}
}

// A process that starts where both layouts are possible must join the cell of the others:
// with another layout it would elect itself and take their workers.
func TestNewProcessAdoptsTheLayout(t *testing.T) {
	all := fleet((splitThreshold+mergeThreshold)/2, 2)
	d := newDirectory(all, true)
	c := newFleetCore(all[1], d)
	if c.layout.divided {
		t.Fatal("divided below the threshold")
	}
	m := all[3]
	m.Layout = 1
	c.MemberUp(ms(1), m, 1)
	if !c.layout.divided || c.self.Layout != 1 {
		t.Errorf("layout %+v, advertised %d, want the member's", c.layout, c.self.Layout)
	}
	c.directory = newDirectory(all[:mergeThreshold-1], true)
	c.elect(ms(2))
	if c.layout.divided {
		t.Error("still divided below the lower threshold")
	}
}

// A data centre outgrows a cell. If its workers were spread anew, most of them would change
// their holders at once, each with a moment in which nothing starts there.
func TestDivisionMovesHalfOfTheWorkers(t *testing.T) {
	all := fleet(5*(maxCellSize+8), 5)
	d := newDirectory(all, true)
	c := newFleetCore(all[1], d)
	if c.layout.bits != 1 {
		t.Fatalf("%d processes in the data centre, divided by %d bits", len(d.dataCenters[c.self.DataCenter]), c.layout.bits)
	}
	var l cell.WorkerList
	for i := range 640 {
		w := testWorker()
		w.ID, w.DataCenter, w.Rack = fmt.Sprintf("w%d", i), c.self.DataCenter, fmt.Sprintf("r%d", i/8)
		l.Workers = append(l.Workers, cell.ListedWorker{Worker: w})
	}
	half := c.ownCellWorkers(l).Workers
	if n := len(half); n < 240 || n > 400 {
		t.Errorf("%d of 640 workers belong to one of two cells", n)
	}
	racks := make(map[string]int)
	for _, w := range half {
		racks[w.Rack]++
	}
	for r, n := range racks {
		if n != 8 {
			t.Errorf("rack %s has %d of its 8 workers in the cell", r, n)
		}
	}
	c.layout.bits = 2
	for _, w := range c.ownCellWorkers(l).Workers {
		if !slices.Contains(half, w) {
			t.Errorf("worker %s moves into a cell that was divided", w.ID)
		}
	}
}

// A part of a data centre has lost all its processes for good. Its workers would never get
// tasks again.
func TestWorkersOfAnEmptyPartHaveANeighbour(t *testing.T) {
	all := fleet(5*(maxCellSize+8), 5)
	var left []mesh.Member
	for _, m := range all {
		if m.DataCenter != "dc-1" || addressPart(m.ID.Address, 1) == addressPart(all[1].ID.Address, 1) {
			left = append(left, m)
		}
	}
	c := newFleetCore(all[1], newDirectory(all, true))
	c.directory, c.cellRecords = newDirectory(left, true), nil
	c.directory.maxBits["dc-1"] = 1
	c.elect(ms(1))
	var l cell.WorkerList
	for i := range 100 {
		w := testWorker()
		w.ID, w.DataCenter, w.Rack = fmt.Sprintf("w%d", i), "dc-1", ""
		l.Workers = append(l.Workers, cell.ListedWorker{Worker: w})
	}
	if n := len(c.ownCellWorkers(l).Workers); n != 100 {
		t.Errorf("%d of 100 workers have a planner", n)
	}
}

// A process starts while the store does not answer it, and its seeds are in other cells. It
// must find its own cell all the same.
func TestSeedSendsTheAddressesOfACell(t *testing.T) {
	all := fleet(200, 4)
	c := newFleetCore(all[1], newDirectory(all, true))
	fresh := all[0]
	fresh.Number = 0
	c.MemberUp(ms(1), fresh, 1)
	for _, m := range messagesTo(c.Take(ms(1)), fresh.ID) {
		if len(m.Addresses) == 49 {
			return
		}
	}
	t.Error("the new process is not told the 49 others of its cell")
}
