// Package model is a discrete-event simulation of a deployment. It runs the real decision
// logic of many processes (node.Core) in virtual time, without a network, against simulated
// workers, callers, links and faults.
//
// It serves tests of failures that would take minutes with real processes, and comparisons
// of policies over many seeds in seconds. During a run it checks what callers and workers
// observe: whether two runs of a task overlap, whether a worker is told to start a task that
// no caller submitted, whether a refused job stays unstarted, and whether every caller gets
// an answer.
//
// Limits: processor time costs nothing unless Config.Processor is set, and then the same for
// all events. Messages have a fixed delay and keep their order, and
// so do calls to workers unless Config.DelayedCallShare is set; both also take transmission
// time if link bandwidth is bounded. The platform's store is reduced to the lists that it
// serves. The simulation therefore says nothing about costs, and the ranking of policies must
// be checked against real processes.
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

// Config describes a deployment and one simulated day.
type Config struct {
	Seed        uint64
	DataCenters []DataCenter
	// LocalDelay and RemoteDelay are the one-way delays within a data centre and between two
	// data centres. CallerDelay is the one-way delay between a caller and its process.
	LocalDelay, RemoteDelay, CallerDelay time.Duration
	Kinds                                []Kind
	Classes                              []Class
	// Lead is the time from the start of the processes to the first request, Length the
	// period in which requests arrive, and Tail the time simulated after that.
	Lead, Length, Tail time.Duration
	// Load scales the request rates of all classes. Bursts raise rates for limited periods.
	Load   float64
	Bursts []Burst
	// Moves, Departures and FailingJobs change the behavior of callers or jobs for limited
	// periods.
	Moves       []Move
	Departures  []Departure
	FailingJobs []FailingJobs
	Faults      []Fault
	// LinkBandwidth is the bandwidth of a VM's link in each direction, in bytes per second;
	// 0 means unbounded.
	LinkBandwidth int
	// DelayedCallShare is the share of calls to workers that are delayed on their way by up to
	// maxCallDelay, so that later calls on other connections overtake them.
	DelayedCallShare float64
	// DrainBound is how long after a worker has announced that it drains a sound process may
	// still start tasks there; 0 means that this is not checked.
	DrainBound time.Duration
	// EvacuationBound is the same for starts in a data centre whose evacuation was
	// requested.
	EvacuationBound time.Duration
	// Unguarded is set if workers start what they are told to, also beyond their capacity.
	Unguarded bool
	// Processor is the processor time that processes take; the zero value means none.
	Processor Processor
	// Policy is the planner's policy; the zero value is the default policy.
	Policy cell.Policy
	// Objective, if set, replaces the objectives of the classes in the catalog that processes
	// use; callers still judge by those of the classes. With a distant objective nothing is
	// refused, and ordering by objective becomes first come, first served.
	Objective time.Duration
	// Log receives the log output of the processes; nil discards it.
	Log io.Writer
}

// DataCenter describes a data centre and its share of the callers.
type DataCenter struct {
	Name    string
	VMs     int
	Workers int
	// Callers is the data centre's weight in the distribution of requests.
	Callers float64
	// Wave is the periodic variation of that weight.
	Wave Wave
	// Cores are the fractions of a core that the VMs get, assigned in rotation; if it is
	// empty, each VM gets defaultCores.
	Cores []float64
}

// Kind describes a kind of worker. The kind of each initial worker is drawn at random.
type Kind struct {
	Name      string
	Speed     float64
	Resources lease.Resources
}

// Class describes a class of requests.
type Class struct {
	Name string
	// PerSecond is the request rate of the whole deployment at load 1.
	PerSecond float64
	// Work is the mean duration of a task at speed 1, with the maximum MaxWork. Width is
	// the mean number of tasks of a job, with the maximum MaxWidth.
	Work, MaxWork   time.Duration
	Width, MaxWidth int
	// CPU is the mean CPU requirement of a task in thousandths of a core, with the maximum
	// MaxCPU.
	CPU, MaxCPU int
	Memory      int
	// Label, if set, is the kind or the rack that the workers of the tasks must have.
	Label string
	// MaxPerWorker is the maximum number of tasks of a job on one worker; 0 means no maximum.
	MaxPerWorker int
	// SpecSize is the length of a job's spec in bytes; it matters if link bandwidth is bounded.
	SpecSize int
	// Spread is the standard deviation of the logarithm of work, width and estimate, and
	// half of it that of CPU. EstimateSpread, if set, replaces it for the estimate.
	Spread, EstimateSpread float64
	// Uneven is the largest relative deviation of a task's duration from the mean of its job.
	Uneven    float64
	Objective time.Duration
	Stretch   float64
	Attempts  int
	Rank      int
	// Worth is the mean value of a job that meets its objective, Late that of a job that
	// misses it.
	Worth, Late float64
	// FailureShare is the share of tasks whose first run fails for a reason of their own.
	FailureShare float64
}

// Burst is a period in which the request rate of one class, or of all if Class is empty,
// is multiplied by Factor.
type Burst struct {
	At, For time.Duration
	Factor  float64
	Class   string
}

// Pool is the name of the only pool.
const Pool = "pool"

// World is the state of a running simulation.
type World struct {
	cfg Config
	rnd *rand.Rand
	// connectRand draws the time that pairs of processes take to connect. It is a stream of
	// its own so that these draws do not change the workload.
	connectRand *rand.Rand
	// callDelayRand draws which calls to workers are delayed, a separate stream for the same reason.
	callDelayRand *rand.Rand
	// callerRand draws which callers move or abandon their jobs and which jobs always fail, a
	// separate stream for the same reason.
	callerRand *rand.Rand
	// storeRand draws when each process's reads of the store begin, a separate stream for the
	// same reason.
	storeRand *rand.Rand
	log       *slog.Logger
	now       time.Time
	// start is the time of the first request.
	start            time.Time
	queue            events
	scheduled        int
	vms              []*vm
	sessions         map[[2]int]*session
	lastSession      uint64
	workers          []*worker
	workersByID      map[string]*worker
	lastMemberNumber uint64
	catalog          *catalog.Catalog
	operator         operatorLog
	// specFiller pads the specs of jobs to their length.
	specFiller string
	// storeDown is set while the store is unreachable for all processes.
	storeDown bool
	// isolatedDCs are the data centres that are cut off from all others and the store.
	isolatedDCs map[string]bool
	jobs        []*job
	jobsByID    map[string]*job
	spansByTask map[lease.Task][]*span
	// begun lists all starts of runs in order.
	begun  []begun
	result Result
}

// event is an action scheduled at a virtual time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

// Len implements heap.Interface, as do Less, Swap, Push and Pop.
func (q events) Len() int { return len(q) }

// Less orders events by time and then in the order of scheduling.
func (q events) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

// Swap exchanges two events.
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event.
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes and returns the last event.
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// at schedules an action.
func (w *World) at(t time.Time, do func()) {
	w.scheduled++
	heap.Push(&w.queue, event{t, w.scheduled, do})
}

func (w *World) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

// New creates a simulation of the configured day.
func New(cfg Config) *World {
	if cfg.Log == nil {
		cfg.Log = io.Discard
	}
	if cfg.Load == 0 {
		cfg.Load = 1
	}
	w := &World{
		cfg:           cfg,
		rnd:           rand.New(rand.NewPCG(cfg.Seed, 1)),
		connectRand:   rand.New(rand.NewPCG(cfg.Seed, 3)),
		callDelayRand: rand.New(rand.NewPCG(cfg.Seed, 4)),
		callerRand:    rand.New(rand.NewPCG(cfg.Seed, 5)),
		storeRand:     rand.New(rand.NewPCG(cfg.Seed, 8)),
		isolatedDCs:   make(map[string]bool),
		now:           time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		sessions:      make(map[[2]int]*session),
		workersByID:   make(map[string]*worker),
		jobsByID:      make(map[string]*job),
		spansByTask:   make(map[lease.Task][]*span),
	}
	w.log = slog.New(slog.NewTextHandler(cfg.Log, &slog.HandlerOptions{ReplaceAttr: w.replaceTime}))
	w.start = w.now.Add(cfg.Lead)
	w.operator = operatorLog{end: 1, current: make(map[string]time.Time)}
	w.catalog = w.makeCatalog()
	for _, cl := range cfg.Classes {
		if cl.SpecSize > len(w.specFiller) {
			w.specFiller = w.makeSpecFiller(cl.SpecSize)
		}
	}
	w.makeWorkers()
	w.makeVMs()
	w.makeJobs()
	for _, f := range cfg.Faults {
		w.at(w.start.Add(f.At), func() { f.Do(w) })
	}
	return w
}

// replaceTime replaces the time of log records by the virtual time, in seconds since the
// first request.
func (w *World) replaceTime(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.TimeKey {
		return slog.Float64("t", w.now.Sub(w.start).Seconds())
	}
	return a
}

// Run simulates the day and returns its result.
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
	c := &catalog.Catalog{Version: 1, Pools: []catalog.Pool{{Name: Pool, EnforcesCapacity: !w.cfg.Unguarded}}}
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

// delay returns the one-way delay between two data centres.
func (w *World) delay(a, b string) time.Duration {
	if a == b {
		return w.cfg.LocalDelay
	}
	return w.cfg.RemoteDelay
}

func address(kind, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(kind), byte(i >> 8), byte(i)}), 7000)
}
