package node

import (
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"time"

	"snipehub.example/catalog"
	"snipehub.example/cell"
	"snipehub.example/entry"
	"snipehub.example/mesh"
)

// cluster is the cores of some processes that have sessions with each other.
type cluster struct {
	cores map[mesh.ID]*Core
	// cut holds the processes without sessions.
	cut     map[mesh.ID]bool
	located []Located
	answers []entry.CallerAnswer
	// queries counts the messages that ask for a job.
	queries int
	now     int
}

// newCluster returns a cluster of the given members that is settled.
func newCluster(members ...mesh.Member) *cluster {
	cl := &cluster{cores: make(map[mesh.ID]*Core), cut: make(map[mesh.ID]bool)}
	for _, m := range members {
		self := m
		self.Number = 0
		c := NewCore(slog.New(slog.DiscardHandler), self, &catalog.Store{}, cell.Policy{LookAhead: cell.Off})
		c.SetRecorded(ms(0), members, true)
		c.OperatorRead(ms(0), OperatorRead{Full: true, End: 1, Catalog: &catalog.Catalog{Version: 1}})
		c.Advertise(ms(0), func(s *mesh.Member) { s.Number = m.Number })
		cl.cores[m.ID] = c
	}
	for i, x := range members {
		for _, y := range members[:i] {
			if c := cl.cores[x.ID]; c.cellOf(x) == c.cellOf(y) {
				cl.connect(x.ID, y.ID)
			}
		}
	}
	cl.run(3000)
	return cl
}

// run plays some milliseconds: ticks, and messages without delay. Sessions are opened and closed
// at each tick.
func (cl *cluster) run(millis int) {
	for end := cl.now + millis; cl.now <= end; cl.now += 50 {
		for _, id := range sortedIDs(cl.cores) {
			cl.cores[id].Tick(ms(cl.now))
		}
		cl.updateSessions()
		for cl.deliver() {
		}
	}
}

func (cl *cluster) deliver() (any bool) {
	now := ms(cl.now)
	for _, id := range sortedIDs(cl.cores) {
		for _, o := range cl.cores[id].Take(now) {
			switch {
			case o.Located != nil:
				cl.located = append(cl.located, *o.Located)
			case o.Answer != nil:
				cl.answers = append(cl.answers, *o.Answer)
			case o.Advertise != nil:
				for other, c := range cl.cores {
					if _, ok := c.members[id]; ok && other != id {
						c.MemberChanged(now, *o.Advertise)
					}
				}
			case o.Message != nil && cl.cores[o.To] != nil && !cl.cut[id] && !cl.cut[o.To]:
				if o.Message.JobQuery != nil {
					cl.queries++
				}
				cl.cores[o.To].Receive(now, id, 1, []Message{*o.Message})
			default:
				continue
			}
			any = true
		}
	}
	return any
}

// updateSessions opens the sessions that either side wants to keep, and closes others.
func (cl *cluster) updateSessions() {
	byAddress := make(map[netip.AddrPort]mesh.ID)
	for id := range cl.cores {
		byAddress[id.Address] = id
	}
	for _, id := range sortedIDs(cl.cores) {
		c := cl.cores[id]
		for _, p := range c.peers {
			if other, ok := byAddress[p.Address]; ok && !cl.cut[id] && !cl.cut[other] {
				cl.connect(id, other)
			}
		}
		for _, other := range sortedIDs(c.members) {
			if c.Divided() && !keeps(c, other) && !keeps(cl.cores[other], id) {
				cl.disconnect(id, other)
			}
		}
	}
}

func (cl *cluster) connect(x, y mesh.ID) {
	cx, cy := cl.cores[x], cl.cores[y]
	if _, connected := cx.members[y]; connected {
		return
	}
	cx.MemberUp(ms(cl.now), cy.Self(), 1)
	cy.MemberUp(ms(cl.now), cx.Self(), 1)
	_, xAccepts := cx.members[y]
	if _, yAccepts := cy.members[x]; !xAccepts || !yAccepts {
		cl.disconnect(x, y)
	}
}

func (cl *cluster) disconnect(x, y mesh.ID) {
	cl.cores[x].MemberDown(ms(cl.now), y, 1, ms(cl.now))
	cl.cores[y].MemberDown(ms(cl.now), x, 1, ms(cl.now))
}

func keeps(c *Core, id mesh.ID) bool {
	return slices.ContainsFunc(c.peers, func(p mesh.Peer) bool { return p.Address == id.Address })
}

// lose ends all sessions of a process.
func (cl *cluster) lose(id mesh.ID) {
	cl.cut[id] = true
	for other, c := range cl.cores {
		if _, connected := c.members[id]; connected {
			cl.disconnect(id, other)
		}
	}
}

// submit submits a job at a process.
func (cl *cluster) submit(at mesh.ID, job string) {
	r := entry.Request{ID: job, Spec: "s", Timeout: 20 * time.Second, Queue: catalog.Queue{Name: "q", Pool: "p", Objective: time.Hour}}
	r.Steps = []entry.Step{{Count: 1, Estimate: time.Second}}
	cl.cores[at].Submit(ms(cl.now), 1, r)
	cl.run(100)
}

// locate returns what a process answers about a job.
func (cl *cluster) locate(at mesh.ID, job string, cancel bool) entry.JobState {
	cl.located, cl.queries = nil, 0
	cl.cores[at].Locate(ms(cl.now), 7, job, cancel)
	cl.run(2000)
	if len(cl.located) != 1 || cl.located[0].Waiter != 7 {
		return entry.JobState{Status: -1}
	}
	return cl.located[0].State
}

func threeMembers() *cluster { return newCluster(member(1), member(2), member(3)) }

// Guards against a cancel that reaches another process than the job's being answered "no such
// job" while the job runs on to its end.
func TestCancelReachesTheJob(t *testing.T) {
	for _, at := range []int{1, 2, 3} {
		for _, owner := range []int{1, 2, 3} {
			cl := threeMembers()
			cl.submit(member(owner).ID, "j")
			if s := cl.locate(member(at).ID, "j", false); s.Knowledge != entry.Present || cl.queries > 2 {
				t.Errorf("process %d finds the job of %d %v after %d queries, want it present after two at most", at, owner, s.Knowledge, cl.queries)
			}
			if s := cl.locate(member(at).ID, "j", true); s.Knowledge != entry.Present {
				t.Errorf("process %d answers a cancel of the job of %d with %v, want it present", at, owner, s.Knowledge)
			}
			if n := cl.cores[member(owner).ID].entry.Len(); n != 0 {
				t.Errorf("cancelled at %d, the job of %d runs on", at, owner)
			}
			if s := cl.locate(member(at).ID, "j", false); s.Knowledge == entry.Undetermined {
				t.Errorf("process %d can't tell what became of the cancelled job of %d", at, owner)
			}
		}
	}
}

// Guards against lookups that a process leaves without an answer at its end, since they take longer
// than it has left.
func TestLookupsEndWithTheProcess(t *testing.T) {
	cl := threeMembers()
	first := cl.cores[member(1).ID]
	cl.lose(member(3).ID)
	first.Locate(ms(cl.now), 7, "j", true)
	cl.run(100)
	if len(cl.located) != 0 {
		t.Fatalf("located %+v while a process that may have the job is missing", cl.located)
	}
	first.GiveUp(ms(cl.now))
	first.Locate(ms(cl.now), 8, "j", true)
	cl.deliver()
	if len(cl.located) != 2 || cl.located[0].State.Knowledge != entry.Undetermined || cl.located[1].State.Knowledge != entry.Undetermined {
		t.Errorf("located %+v at the end, want two undetermined", cl.located)
	}
}

// Guards against "no such job" being withheld where all processes are in sight.
func TestUnknownJobIsAbsent(t *testing.T) {
	cl := threeMembers()
	for n := 1; n <= 3; n++ {
		if s := cl.locate(member(n).ID, "j", true); s.Knowledge != entry.Absent || cl.queries > 1 {
			t.Errorf("process %d: %v after %d queries, want the job absent after one", n, s.Knowledge, cl.queries)
		}
	}
}

// Guards against "no such job" for a job whose process is out of sight and may go on with it, and
// against withholding it once the process is known to be gone or the job's deadline has passed.
func TestJobOfALostProcess(t *testing.T) {
	gone := func(cl *cluster) {
		delete(cl.cores, member(3).ID)
		for _, c := range cl.cores {
			c.SetRecorded(ms(cl.now), []mesh.Member{member(1), member(2)}, true)
		}
	}
	restarted := func(cl *cluster) {
		delete(cl.cores, member(3).ID)
		next := member(3)
		next.ID.Boot, next.Number = 33, 33
		for _, c := range cl.cores {
			c.MemberUp(ms(cl.now), next, 2)
		}
	}
	tests := []struct {
		name   string
		job    string
		happen func(cl *cluster)
		want   entry.Knowledge
	}{
		{"job out of sight", "j", func(*cluster) {}, entry.Undetermined},
		{"unknown job, process out of sight", "unknown", func(*cluster) {}, entry.Undetermined},
		{"job, its process no longer listed", "j", gone, entry.Undetermined},
		{"unknown job, process no longer listed", "unknown", gone, entry.Absent},
		{"job, its process has restarted", "j", restarted, entry.Absent},
		{"job after its deadline", "j", func(cl *cluster) { gone(cl); cl.run(22_000) }, entry.Absent},
	}
	for _, tt := range tests {
		cl := threeMembers()
		cl.submit(member(3).ID, "j")
		cl.lose(member(3).ID)
		tt.happen(cl)
		if s := cl.locate(member(2).ID, tt.job, true); s.Knowledge != tt.want {
			t.Errorf("%s: %v, want it %v", tt.name, s.Knowledge, tt.want)
		}
	}
}

// Guards against a new planner answering "no such job" for jobs that it was not told of.
func TestNextPlannerKnowsTheJobs(t *testing.T) {
	cl := threeMembers()
	cl.submit(member(3).ID, "j")
	cl.lose(member(1).ID)
	cl.run(100)
	if s := cl.locate(member(2).ID, "j", true); s.Knowledge != entry.Present {
		t.Errorf("%v after the planner was lost, want the job present", s.Knowledge)
	}
}

// Guards against "no such job" for jobs at processes of the release before, which don't tell
// the planner of them.
func TestMemberOfTheReleaseBeforeMayHaveTheJob(t *testing.T) {
	cl := threeMembers()
	cl.cores[member(1).ID].cell.SetMembers(ms(cl.now), []mesh.Member{member(1), member(2), member(3), member(4)}, nil, true, true)
	if s := cl.locate(member(2).ID, "j", true); s.Knowledge != entry.Undetermined {
		t.Errorf("%v, want it undetermined", s.Knowledge)
	}
}

// Guards against lookups that end in the own cell: with several cells, a caller whose balancer
// changes its choice reaches a process of another cell or data centre. All processes must not
// be asked.
func TestLookupAcrossCells(t *testing.T) {
	members := fleet(300, 3)
	cl := newCluster(members...)
	owner := members[0]
	cl.submit(owner.ID, "j")
	for _, at := range []mesh.Member{members[1], members[3], members[297], members[299]} {
		if s := cl.locate(at.ID, "j", false); s.Knowledge != entry.Present {
			t.Errorf("%s in %s: %v, want the job of %s in %s present", at.VM, at.DataCenter, s.Knowledge, owner.VM, owner.DataCenter)
		}
		if s := cl.locate(at.ID, "k", false); s.Knowledge != entry.Absent {
			t.Errorf("%s: unknown job is %v, want it absent", at.VM, s.Knowledge)
		}
		if cl.queries > 10 {
			t.Errorf("%s: %d queries for one job", at.VM, cl.queries)
		}
	}
	if !slices.ContainsFunc(members, func(m mesh.Member) bool { return cl.cores[m.ID].Divided() }) {
		t.Error("there is only one cell")
	}
}

// Guards against "no such job" for a job of a process that stops as planned and is cut off
// meanwhile: it goes on with its jobs until the end of its grace period.
func TestJobOfAStoppingProcessOutOfSight(t *testing.T) {
	cl := threeMembers()
	cl.submit(member(3).ID, "j")
	cl.cores[member(3).ID].Advertise(ms(cl.now), func(m *mesh.Member) { m.Leaving = true })
	cl.run(100)
	cl.lose(member(3).ID)
	if s := cl.locate(member(2).ID, "j", true); s.Knowledge != entry.Undetermined {
		t.Errorf("%v while the process is out of sight, want it undetermined", s.Knowledge)
	}
}
