package plan

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"snipehub.example/delivery"
	"snipehub.example/dispatch/pool"
	"snipehub.example/refusal"
	"snipehub.example/tables"
)

// sim drives planners and workers through virtual time. It is an event loop over timed
// functions, without a network or processes.
type sim struct {
	rnd      *rand.Rand
	now      time.Time
	queue    timeline
	planners []*Planner
	workers  map[netip.AddrPort]*simWorker
	jobs     map[string]*simJob
	lastID   int
	until    time.Time

	// starts and refusals count attempts on workers, handed and turnedDown tasks that a
	// peer has accepted and refused, done, failed and refused jobs.
	starts, refusals, handed int
	messages, turnedDown     int
	heartbeats               uint64
	done, failed, refused    int
	// responseRatios holds the response time of each job that is done, as a multiple of
	// the time that its longest task takes without a wait or a slow worker.
	responseRatios []float64
}

type simWorker struct {
	slots, busy int
	speed       float64
	// fault, if set, answers in place of the worker after some time. If it returns false,
	// the worker handles the task itself.
	fault  func(now time.Time) (time.Duration, delivery.Outcome, bool)
	starts int
}

type simJob struct {
	submittedAt time.Time
	owner       *Planner
	service     []time.Duration
	unfinished  int
	failed      bool
	// reportBack, if set, sends the outcome to the planner that handed the task over.
	reportBack func(o delivery.Outcome)
}

type timed struct {
	at time.Time
	n  int
	do func()
}

type timeline []timed

func (q timeline) Len() int      { return len(q) }
func (q timeline) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timeline) Push(x any)   { *q = append(*q, x.(timed)) }

func (q timeline) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].n < q[j].n
}

func (q *timeline) Pop() any {
	last := len(*q) - 1
	v := (*q)[last]
	*q = (*q)[:last]
	return v
}

const (
	simLatency = 500 * time.Microsecond
	simTick    = 50 * time.Millisecond
)

// newSim makes planners that share the servers of st, which take the speeds in turn.
func newSim(seed uint64, cfg Config, planners int, st *tables.State, speeds ...float64) *sim {
	s := &sim{
		rnd: rand.New(rand.NewPCG(seed, 7)), now: epoch,
		workers: make(map[netip.AddrPort]*simWorker), jobs: make(map[string]*simJob),
	}
	m := pool.Members{Sizes: make(map[string]int)}
	for i := range planners {
		m.Sizes[fmt.Sprint(i)] = cfg.Connections
	}
	for i, v := range st.Servers("quick") {
		s.workers[v.Address] = &simWorker{slots: v.Slots, speed: speeds[i%len(speeds)]}
	}
	for i := range planners {
		p := New(cfg, rand.New(rand.NewPCG(seed, uint64(i))))
		c := clusterState(st)
		c.Members = pool.Members{Self: fmt.Sprint(i), Sizes: m.Sizes}
		c.Dispatchers = planners
		p.SetCluster(s.now, c)
		s.planners = append(s.planners, p)
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.lastID++
	heap.Push(&s.queue, timed{s.now.Add(d), s.lastID, do})
}

// run advances the virtual time by d.
func (s *sim) run(d time.Duration) {
	s.until = s.now.Add(d)
	for _, p := range s.planners {
		s.tick(p)
	}
	s.heartbeat()
	for len(s.queue) > 0 && !s.queue[0].at.After(s.until) {
		e := heap.Pop(&s.queue).(timed)
		s.now = e.at
		e.do()
	}
	s.now = s.until
}

func (s *sim) tick(p *Planner) {
	p.Tick(s.now)
	s.act(p)
	if s.now.Before(s.until) {
		s.after(simTick, func() { s.tick(p) })
	}
}

func (s *sim) act(p *Planner) {
	var a Actions
	p.Decide(s.now, &a)
	for _, e := range a.Ends {
		s.end(e)
	}
	for _, st := range a.Starts {
		s.after(simLatency, func() { s.arrive(p, st) })
	}
	for _, h := range a.Handovers {
		s.messages += 2
		s.after(simLatency, func() { s.handOver(p, h) })
	}
}

// heartbeat reports every planner's free slots to the others.
func (s *sim) heartbeat() {
	s.heartbeats++
	for i, p := range s.planners {
		var all []Peer
		for k, o := range s.planners {
			if k != i {
				all = append(all, Peer{Name: fmt.Sprint(k), DataCenter: o.cfg.DataCenter, Report: s.heartbeats, Free: o.Free()})
			}
		}
		p.SetPeers(all)
	}
	if s.now.Before(s.until) {
		s.after(time.Second, s.heartbeat)
	}
}

// handOver submits the tasks to the receiving planner.
func (s *sim) handOver(p *Planner, h Handover) {
	to := s.planners[0]
	for i, o := range s.planners {
		if fmt.Sprint(i) == h.Peer {
			to = o
		}
	}
	for _, it := range h.Items {
		id := fmt.Sprintf("%s/%d/%d", it.Job, it.Task, it.Attempt)
		j := s.jobs[it.Job]
		s.jobs[id] = &simJob{service: j.service[it.Task : it.Task+1], unfinished: 1, reportBack: func(o delivery.Outcome) {
			p.AttemptEnded(s.now, it.AttemptID, o)
			p.PeerReported(h.Peer, to.Free())
			s.act(p)
		}}
		if to.Submit(s.now, Job{ID: id, Kind: "price", Caller: "x", FromPeer: true, Tasks: 1, Expires: it.Expires}) == nil {
			s.handed++
			continue
		}
		delete(s.jobs, id)
		s.turnedDown++
		s.after(simLatency, func() {
			p.PeerReported(h.Peer, 0)
			p.AttemptEnded(s.now, it.AttemptID, delivery.Outcome{Kind: delivery.NotRun, Cause: delivery.Refused})
			s.act(p)
		})
	}
	s.act(to)
}

func (s *sim) arrive(p *Planner, st Start) {
	w := s.workers[st.Server]
	s.starts++
	answer := func(d time.Duration, o delivery.Outcome) {
		if s.now.Add(d).After(st.Expires) {
			d = st.Expires.Sub(s.now)
			o = delivery.Outcome{Kind: delivery.Unknown, Cause: delivery.LeaseExpired}
		}
		s.after(d+simLatency, func() {
			p.AttemptEnded(s.now, st.AttemptID, o)
			s.act(p)
		})
	}
	if w.fault != nil {
		if d, o, ok := w.fault(s.now); ok {
			w.starts++
			answer(d, o)
			return
		}
	}
	if w.busy >= w.slots {
		s.refusals++
		answer(0, delivery.Outcome{Kind: delivery.NotRun, Cause: delivery.Refused})
		return
	}
	w.busy++
	w.starts++
	d := time.Duration(float64(s.jobs[st.Job].service[st.Task]) / w.speed)
	s.after(d, func() { w.busy-- })
	answer(d, delivery.Outcome{Kind: delivery.Done, Status: 200})
}

func (s *sim) end(e End) {
	j := s.jobs[e.Job]
	if j.reportBack != nil {
		delete(s.jobs, e.Job)
		o := e.Outcome
		if e.Ran == refusal.RanNo {
			o.Kind = delivery.NotRun
		}
		s.after(simLatency, func() { j.reportBack(o) })
		return
	}
	j.unfinished -= e.To - e.From
	j.failed = j.failed || e.Outcome.Kind != delivery.Done
	if j.unfinished > 0 {
		return
	}
	delete(s.jobs, e.Job)
	if j.failed {
		s.failed++
		return
	}
	s.done++
	ideal := slices.Max(j.service) + 2*simLatency
	s.responseRatios = append(s.responseRatios, float64(s.now.Sub(j.submittedAt))/float64(ideal))
}

// service draws the service time on a server of speed 1: 50 ms plus an exponential time
// with a mean of 100 ms, or 3 s for one task in a hundred.
func (s *sim) service() time.Duration {
	if s.rnd.IntN(100) == 0 {
		return 3 * time.Second
	}
	return 50*time.Millisecond + time.Duration(s.rnd.ExpFloat64()*float64(100*time.Millisecond))
}

func (s *sim) submit(p *Planner, caller string, tasks int, timeout time.Duration) bool {
	s.lastID++
	j := &simJob{submittedAt: s.now, owner: p, unfinished: tasks}
	for range tasks {
		j.service = append(j.service, s.service())
	}
	id := fmt.Sprint("j", s.lastID)
	s.jobs[id] = j
	err := p.Submit(s.now, Job{ID: id, Kind: "price", Caller: caller, Team: caller, Tasks: tasks, Expires: s.now.Add(timeout)})
	if err != nil {
		delete(s.jobs, id)
		s.refused++
		return false
	}
	s.act(p)
	return true
}

// offer submits jobs of the given sizes to random planners, as a Poisson process with the
// given rate of tasks a second, for d.
func (s *sim) offer(rate float64, d, timeout time.Duration, sizes ...int) {
	mean := 0
	for _, n := range sizes {
		mean += n
	}
	gap := float64(mean) / float64(len(sizes)) / rate * float64(time.Second)
	end := s.now.Add(d)
	var next func()
	next = func() {
		if s.now.After(end) {
			return
		}
		s.submit(s.planners[s.rnd.IntN(len(s.planners))], "x", sizes[s.rnd.IntN(len(sizes))], timeout)
		s.after(time.Duration(s.rnd.ExpFloat64()*gap), next)
	}
	s.after(0, next)
}

func (s *sim) quantile(q float64) float64 {
	if len(s.responseRatios) == 0 {
		return 0
	}
	slices.Sort(s.responseRatios)
	return s.responseRatios[int(q*float64(len(s.responseRatios)-1))]
}
