package plan

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"snipehub.example/delivery"
	"snipehub.example/dispatch/policy"
	"snipehub.example/dispatch/pool"
	"snipehub.example/refusal"
	"snipehub.example/tables"
)

// TestMain fixes the seed, so that the result of a run is reproducible. For a long run:
// go test ./dispatch/plan -run Oracle -rapid.seed=0 -rapid.checks=100000.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
	flag.Parse()
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 80)
}

// state returns tables with one pool of n servers, in dc1.
func state(t testing.TB, n, slots int, teams ...tables.Team) *tables.State {
	t.Helper()
	r := tables.Rows{
		Routes: []tables.Route{
			{Kind: "price", Half: "north", Pool: "quick"},
			{Kind: "check", Half: "north", Pool: "quick", Repeatable: true},
		},
		Pools: []tables.Pool{{Name: "quick", Half: "north"}},
		Teams: teams,
	}
	for i := range n {
		r.Servers = append(r.Servers, tables.Server{Pool: "quick", Address: address(i), DataCenter: "dc1", Slots: slots})
	}
	st, err := tables.Build(1, r)
	if err != nil {
		t.Fatal(err)
	}
	return st
}

func config(name string) Config {
	e, _ := policy.Find(name)
	return Config{
		DataCenter: "dc1", Policy: e.Policy, Connections: 64, QueuedTasks: 1 << 20, Attempts: 4,
		TaskTimeout: 10 * time.Second, MaxWait: 10 * time.Second, RetryBudget: 0.1, MaxEjectedShare: 0.3, HandoverAfter: 20 * time.Millisecond, MinHandoverTasks: 1,
	}
}

func planner(cfg Config, st *tables.State) *Planner {
	p := New(cfg, rand.New(rand.NewPCG(1, 2)))
	p.SetCluster(epoch, clusterState(st))
	return p
}

func clusterState(st *tables.State) Cluster {
	return Cluster{
		Tables: st, MayPlace: true, Dispatchers: 1,
		Members: pool.Members{Self: "a", Sizes: map[string]int{"a": 1}},
		Usable:  func(netip.AddrPort) bool { return true },
	}
}

// model is the oracle: it tracks what each task may do, independently of the planner's
// own state.
type model struct {
	p              *Planner
	cfg            Config
	now            time.Time
	state          *tables.State
	jobCount       int
	jobs           map[string]*modelJob
	activeAttempts map[uint64]Start
	busy           map[netip.AddrPort]int
	out            Actions
	// peerFree is the number of free slots that the peer reported, less the tasks it got
	// since.
	peerFree int
	report   uint64
}

type modelJob struct {
	Job
	stopped    bool
	running    []bool
	ended      []bool
	notRun     []int
	mayHaveRun []bool
}

func (m *model) check(t *rapid.T) {
	m.p.Decide(m.now, &m.out)
	for _, e := range m.out.Ends {
		m.end(t, e)
	}
	for _, s := range m.out.Starts {
		m.start(t, s)
		m.onServer(t, s)
	}
	for _, h := range m.out.Handovers {
		m.handed(t, h)
	}
	running := 0
	for _, n := range m.busy {
		running += n
	}
	if running > m.cfg.Connections {
		t.Fatalf("%d attempts at once", running)
	}
}

// handed checks a handover: each item is an attempt like a start, but on no server of
// this dispatcher.
func (m *model) handed(t *rapid.T, h Handover) {
	if len(h.Items) > m.peerFree {
		t.Fatalf("%d tasks handed over, %d free slots", len(h.Items), m.peerFree)
	}
	m.peerFree -= len(h.Items)
	for _, it := range h.Items {
		if m.jobs[it.Job].FromPeer {
			t.Fatalf("%s was handed over again", it.Job)
		}
		m.start(t, Start{AttemptID: it.AttemptID, Job: it.Job, Task: it.Task, Attempt: it.Attempt, Expires: it.Expires})
	}
}

func (m *model) start(t *rapid.T, s Start) {
	j := m.jobs[s.Job]
	switch {
	case j == nil || j.stopped:
		t.Fatalf("%s/%d starts after its end or cancellation", s.Job, s.Task)
	case j.running[s.Task] || j.ended[s.Task]:
		t.Fatalf("%s/%d starts twice", s.Job, s.Task)
	case s.Attempt >= m.cfg.Attempts+maxHandoverTries || j.FromPeer && s.Attempt > 0:
		t.Fatalf("attempt %d", s.Attempt)
	case !j.PassThrough && s.Attempt != j.notRun[s.Task]:
		t.Fatalf("%s/%d: attempt %d after %d not run", s.Job, s.Task, s.Attempt, j.notRun[s.Task])
	case !m.now.Before(s.Expires) || s.Expires.After(j.Expires):
		t.Fatalf("lease %v outside the job's time", s.Expires)
	}
	j.running[s.Task] = true
	m.activeAttempts[s.AttemptID] = s
}

func (m *model) onServer(t *rapid.T, s Start) {
	var row *tables.Server
	for _, v := range m.state.Servers("quick") {
		if v.Address == s.Server {
			row = &v
		}
	}
	if row == nil || row.Leaving || row.DataCenter != m.cfg.DataCenter {
		t.Fatalf("%v gets work", s.Server)
	}
	m.busy[s.Server]++
	if m.busy[s.Server] > row.Slots {
		t.Fatalf("%v has %d tasks, %d slots", s.Server, m.busy[s.Server], row.Slots)
	}
}

func (m *model) end(t *rapid.T, e End) {
	j := m.jobs[e.Job]
	for i := e.From; i < e.To; i++ {
		switch {
		case j == nil || j.ended[i]:
			t.Fatalf("%s/%d ends twice", e.Job, i)
		case j.running[i]:
			t.Fatalf("%s/%d ends while it runs", e.Job, i)
		case e.Ran == refusal.RanNo && j.mayHaveRun[i]:
			t.Fatalf("%s/%d: \"not run\" although it may have run", e.Job, i)
		}
		j.ended[i] = true
	}
}

func (m *model) submit(t *rapid.T) {
	m.jobCount++
	j := Job{
		ID:     fmt.Sprint("j", m.jobCount),
		Kind:   rapid.SampledFrom([]string{"price", "check", "none"}).Draw(t, "kind"),
		Caller: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "caller"),
		Team:   rapid.SampledFrom([]string{"", "red", "blue"}).Draw(t, "team"),
		Tasks:  rapid.SampledFrom([]int{1, 1, 2, 5, 40}).Draw(t, "tasks"),
	}
	j.PassThrough = j.Tasks == 1 && rapid.Bool().Draw(t, "request")
	j.FromPeer = j.PassThrough && rapid.Bool().Draw(t, "from peer")
	j.Expires = m.now.Add(time.Duration(rapid.IntRange(-1, 20000).Draw(t, "ms")) * time.Millisecond)
	if m.p.Submit(m.now, j) != nil {
		return
	}
	if j.Kind == "none" || !m.now.Before(j.Expires) {
		t.Fatal("a job that can't run was accepted")
	}
	m.jobs[j.ID] = &modelJob{
		Job: j, running: make([]bool, j.Tasks), ended: make([]bool, j.Tasks),
		notRun: make([]int, j.Tasks), mayHaveRun: make([]bool, j.Tasks),
	}
}

func (m *model) cancel(t *rapid.T) {
	id := fmt.Sprint("j", rapid.IntRange(1, m.jobCount+1).Draw(t, "job"))
	m.p.Cancel(id)
	if j := m.jobs[id]; j != nil {
		j.stopped = true
	}
}

func (m *model) finish(t *rapid.T) {
	numbers := slices.Sorted(maps.Keys(m.activeAttempts))
	if len(numbers) == 0 {
		return
	}
	s := m.activeAttempts[rapid.SampledFrom(numbers).Draw(t, "which")]
	o := rapid.SampledFrom([]delivery.Outcome{
		{Kind: delivery.Done},
		{Kind: delivery.Done},
		{Kind: delivery.Ran, Cause: delivery.Status, Status: 500},
		{Kind: delivery.NotRun, Cause: delivery.Refused},
		{Kind: delivery.NotRun, Cause: delivery.NoConnection},
		{Kind: delivery.Unknown, Cause: delivery.Broken},
	}).Draw(t, "outcome")
	m.settle(s, o)
}

func (m *model) settle(s Start, o delivery.Outcome) {
	delete(m.activeAttempts, s.AttemptID)
	if s.Server.IsValid() {
		m.busy[s.Server]--
	}
	j := m.jobs[s.Job]
	j.running[s.Task] = false
	switch o.Kind {
	case delivery.NotRun:
		j.notRun[s.Task]++
	default:
		j.mayHaveRun[s.Task] = true
	}
	m.p.AttemptEnded(m.now, s.AttemptID, o)
}

func (m *model) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 10, 100, 100, 3000}).Draw(t, "ms")) * time.Millisecond)
	m.p.Tick(m.now)
}

func (m *model) tables(t *rapid.T) {
	rows := m.state.Rows()
	rows.Servers = append([]tables.Server(nil), rows.Servers...)
	i := rapid.IntRange(0, len(rows.Servers)-1).Draw(t, "server")
	rows.Servers[i].Leaving = !rows.Servers[i].Leaving
	rows.Servers[(i+1)%len(rows.Servers)].DataCenter = rapid.SampledFrom([]string{"dc1", "dc2"}).Draw(t, "dc")
	st, err := tables.Build(m.state.Version+1, rows)
	if err != nil {
		t.Fatal(err)
	}
	m.state = st
	m.p.SetCluster(m.now, clusterState(st))
}

func (m *model) peers(t *rapid.T) {
	m.peerFree = rapid.IntRange(0, 6).Draw(t, "free slots")
	m.report++
	m.p.SetPeers([]Peer{{Name: "b", DataCenter: "dc1", Report: m.report, Free: m.peerFree}})
}

// drain ends everything under way and checks that nothing is left.
func (m *model) drain(t *rapid.T) {
	for len(m.activeAttempts) > 0 {
		first := slices.Min(slices.Collect(maps.Keys(m.activeAttempts)))
		m.settle(m.activeAttempts[first], delivery.Outcome{Kind: delivery.Done})
		m.check(t)
	}
	m.now = m.now.Add(time.Hour)
	m.p.Tick(m.now)
	m.check(t)
	for id, j := range m.jobs {
		for i, ended := range j.ended {
			if !ended {
				t.Fatalf("%s/%d never ends", id, i)
			}
		}
	}
	if n := len(m.p.jobs) + len(m.p.activeAttempts) + len(m.p.teams) + len(m.p.expiry) + m.p.waiting + m.p.running + m.p.jobSlotsUsed; n != 0 {
		t.Fatalf("%d things are left", n)
	}
}

// TestOracle drives a planner through submissions, cancellations, outcomes, passing time
// and changes of the tables, and compares it with a model of what a task may do: a task
// is never on two servers, never starts after its end, ends exactly once, and never
// exceeds the slots or connections.
func TestOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := config(rapid.SampledFrom([]string{"random", "two", "share", "hand"}).Draw(t, "policy"))
		cfg.Connections = rapid.IntRange(1, 12).Draw(t, "connections")
		cfg.JobSlots = rapid.IntRange(0, 3).Draw(t, "job slots")
		cfg.RetryBudget = rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "budget")
		m := &model{
			cfg: cfg, now: epoch, jobs: make(map[string]*modelJob),
			activeAttempts: make(map[uint64]Start), busy: make(map[netip.AddrPort]int),
		}
		rows := state(zeroT{}, 4, rapid.IntRange(1, 3).Draw(t, "slots"), tables.Team{Name: "red", Quota: 2, Weight: 3})
		m.state = rows
		m.p = planner(cfg, rows)
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit,
			"cancel": m.cancel,
			"finish": m.finish,
			"tick":   m.tick,
			"tables": m.tables,
			"peers":  m.peers,
			"":       m.check,
		})
		m.drain(t)
	})
}

// zeroT is a testing.TB for helpers that are not expected to fail.
type zeroT struct{ testing.TB }

func (zeroT) Helper() {}
