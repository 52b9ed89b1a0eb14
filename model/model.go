// Package model plays days of a deployment in virtual time, without a network: the
// real decisions of many processes (node.Core) against modelled workers, callers,
// links and faults.
//
// What it is for: tests of failures that would take minutes with real processes,
// and experiments with policies, side by side over many seeds in seconds. What it
// checks while it plays is what callers and workers see: whether two runs of a task
// overlap, whether a worker is told to start what no caller sent, whether a refusal is
// true, whether every caller gets an answer.
//
// Limits: processor time is free; messages have a fixed delay and keep their order, calls
// to workers too unless some are held up, and both take time on links if these are bounded;
// the platform's store is reduced to the lists that it serves. So it says nothing
// about costs, and the ranking of policies must be checked against real processes.
package model

import (
	"container/heap"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"time"

	"snipehub.example/catalog"
	"snipehub.example/cell"
	"snipehub.example/lease"
)

// Config is a deployment and a day.
type Config struct {
	Seed        uint64
	DataCenters []DataCenter
	// Near and Far are the one-way delays inside a data centre and between two,
	// Caller that from a caller to its process.
	Near, Far, Caller time.Duration
	Kinds             []Kind
	Classes           []Class
	// Lead is the time from the start of the processes to the first request,
	// Length how long requests come, Tail how long the day goes on after that.
	Lead, Length, Tail time.Duration
	// Load scales the rates of all classes, Bursts for a while.
	Load   float64
	Bursts []Burst
	// Moves, Departures and Hopeless change the callers for a while.
	Moves      []Move
	Departures []Departure
	Hopeless   []Hopeless
	Faults     []Fault
	// Link is what a VM's link carries each way, in bytes a second; 0 is no bound.
	Link int
	// Crossing is the share of the calls to workers that are held up on their way there,
	// by up to crossingMost, so that later calls on other connections overtake them.
	Crossing float64
	// Policy is how the planner decides; the zero value is the default one.
	Policy cell.Policy
	// Objective, if set, is what all processes are told to be the objective of every job,
	// in place of those of the classes, by which callers go on to judge. With one that is
	// far away nothing is refused, and by objective is then first come, first served.
	Objective time.Duration
	// Log takes what the processes log; nil drops it.
	Log io.Writer
}

// DataCenter is one data centre and its part of the callers.
type DataCenter struct {
	Name    string
	VMs     int
	Workers int
	// Callers is the data centre's part of all requests.
	Callers float64
	// Wave is how that part swings.
	Wave Wave
	// Shares are the VMs' parts of a core, in turn; empty means shareDefault.
	Shares []float64
}

// Kind is a kind of worker. Kinds are dealt in turn.
type Kind struct {
	Name      string
	Speed     float64
	Resources lease.Resources
}

// Class is a kind of request.
type Class struct {
	Name string
	// PerSecond is the rate over the whole deployment at load 1.
	PerSecond float64
	// Work is the mean time of a task at speed 1, WorkMost the longest; Width
	// is the mean number of tasks, WidthMost the most.
	Work, WorkMost   time.Duration
	Width, WidthMost int
	// CPU is what a task takes, in thousandths of a core.
	CPU, CPUMost int
	Memory       int
	// Text is the length of a job's text, if links are bounded.
	Text int
	// Spread is the standard deviation of the logarithm of work, width and
	// estimate; Misjudged is that of the estimate, if it is set.
	Spread, Misjudged float64
	// Uneven is by how much the tasks of a job differ.
	Uneven    float64
	Objective time.Duration
	Stretch   float64
	Attempts  int
	Rank      int
	// Worth is what a job in time is worth on average, Late one that is late.
	Worth, Late float64
	// Fails is the share of tasks that fail by their own fault.
	Fails float64
}

// Burst is a time with more requests than usual: of one class, or of all if Class is
// empty.
type Burst struct {
	At, For time.Duration
	Times   float64
	Class   string
}

// Pool is the name of the only pool.
const Pool = "pool"

// World is a day that is being played.
type World struct {
	cfg Config
	rnd *rand.Rand
	// meetings draws how long processes take to find each other, without changing
	// what is drawn for the day itself.
	meetings *rand.Rand
	// crossings draws which calls are held up, for the same reason.
	crossings *rand.Rand
	// changes draws which callers move, leave or ask in vain, for the same reason.
	changes *rand.Rand
	log     *slog.Logger
	now     time.Time
	// start is the time of the first request.
	start   time.Time
	queue   events
	order   int
	nodes   []*vm
	links   map[[2]int]*link
	last    uint64
	workers []*worker
	byID    map[string]*worker
	number  uint64
	catalog *catalog.Catalog
	// text is what the texts of jobs end with.
	text string
	// storeDown tells that no process reaches the store.
	storeDown bool
	// apart are the data centres that are cut off from all others.
	apart map[string]bool
	jobs  []*job
	byJob map[string]*job
	runs  map[lease.Task][]*span
	// begun are all starts, in order.
	begun  []begun
	result Result
}

// event is something that happens at a time.
type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

// Len, Less, Swap, Push and Pop make it a heap.
func (q events) Len() int { return len(q) }

// Less orders by time, then by the order of scheduling.
func (q events) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

// Swap swaps two events.
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop takes the last event.
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// at schedules something.
func (w *World) at(t time.Time, do func()) {
	w.order++
	heap.Push(&w.queue, event{t, w.order, do})
}

func (w *World) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

// New makes a day.
func New(cfg Config) *World {
	if cfg.Log == nil {
		cfg.Log = io.Discard
	}
	if cfg.Load == 0 {
		cfg.Load = 1
	}
	w := &World{
		cfg:       cfg,
		rnd:       rand.New(rand.NewPCG(cfg.Seed, 1)),
		meetings:  rand.New(rand.NewPCG(cfg.Seed, 3)),
		crossings: rand.New(rand.NewPCG(cfg.Seed, 4)),
		changes:   rand.New(rand.NewPCG(cfg.Seed, 5)),
		apart:     make(map[string]bool),
		now:       time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		links:     make(map[[2]int]*link),
		byID:      make(map[string]*worker),
		byJob:     make(map[string]*job),
		runs:      make(map[lease.Task][]*span),
	}
	w.log = slog.New(slog.NewTextHandler(cfg.Log, &slog.HandlerOptions{ReplaceAttr: w.stamp}))
	w.start = w.now.Add(cfg.Lead)
	w.catalog = w.makeCatalog()
	for _, cl := range cfg.Classes {
		if cl.Text > len(w.text) {
			w.text = w.makeText(cl.Text)
		}
	}
	w.makeWorkers()
	w.makeNodes()
	w.makeJobs()
	for _, f := range cfg.Faults {
		w.at(w.start.Add(f.At), func() { f.Do(w) })
	}
	return w
}

// stamp puts the virtual time, in seconds from the first request, on log lines.
func (w *World) stamp(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.TimeKey {
		return slog.Float64("t", w.now.Sub(w.start).Seconds())
	}
	return a
}

// Run plays the day and returns what came of it.
func (w *World) Run() Result {
	end := w.start.Add(w.cfg.Length + w.cfg.Tail)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.finish()
	return w.result
}

func (w *World) makeCatalog() *catalog.Catalog {
	c := &catalog.Catalog{Version: 1, Pools: []catalog.Pool{{Name: Pool, EnforcesCapacity: true}}}
	for _, cl := range w.cfg.Classes {
		q := catalog.Queue{
			Name:      cl.Name,
			Host:      "host",
			Prefix:    "/" + cl.Name + "/",
			Pool:      Pool,
			Rank:      cl.Rank,
			Attempts:  cl.Attempts,
			Stretch:   cl.Stretch,
			Objective: cl.Objective,
		}
		if w.cfg.Objective != 0 {
			q.Stretch, q.Objective = 0, w.cfg.Objective
		}
		c.Queues = append(c.Queues, q)
	}
	return c
}

// delay is the one-way delay between two data centres.
func (w *World) delay(a, b string) time.Duration {
	if a == b {
		return w.cfg.Near
	}
	return w.cfg.Far
}

func address(kind, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(kind), byte(i >> 8), byte(i)}), 7000)
}
