// Package plan decides which task starts when and on which backend server, and which work
// is refused.
//
// It is a deterministic state machine without I/O: events with their times go in, actions
// come out, and there is no goroutine, socket, lock or clock inside; the source of
// randomness is passed in. A test or benchmark can therefore simulate years of load in
// seconds, and two runs with the same seed are identical.
//
// It keeps these invariants: a task is on at most one backend server at a time; only a
// proven "not run" is retried, or an unknown outcome of a request whose route is
// repeatable; every admitted task ends exactly once; and a task that ended as "not run"
// never starts afterwards.
package plan

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"snipehub.example/delivery"
	"snipehub.example/dispatch/policy"
	"snipehub.example/dispatch/pool"
	"snipehub.example/dispatch/queue"
	"snipehub.example/refusal"
	"snipehub.example/tables"
)

// Config configures a planner.
type Config struct {
	DataCenter string
	Policy     policy.Policy
	// Connections is the number of attempts that may run at once on backend servers.
	Connections int
	// JobSlots is the number of jobs that may be partly started at once, with some tasks
	// started and others waiting. 0 means no limit.
	JobSlots int
	// QueuedTasks bounds the waiting tasks.
	QueuedTasks int
	// Attempts bounds the attempts of one task on backend servers.
	Attempts int
	// TaskTimeout is the lease of an attempt whose route sets no timeout.
	TaskTimeout time.Duration
	// MaxWait is the longest expected wait at which work is still accepted.
	MaxWait time.Duration
	// RetryBudget is the number of retries allowed per first attempt.
	RetryBudget float64
	// HandoverAfter is the expected wait up to which a task stays here rather than being
	// handed over: a connection here that becomes free within it is reached as soon as a
	// peer.
	HandoverAfter time.Duration
	// MinHandoverTasks is the smallest number of tasks that is worth a handover.
	MinHandoverTasks int
	// MaxEjectedShare is the largest share of a pool's servers that may be ejected.
	MaxEjectedShare float64
}

// Job is one submission: a number of tasks with common attributes.
type Job struct {
	ID      string
	Kind    string
	Caller  string
	Team    string
	Expires time.Time
	// PassThrough is set if this is a single request passed through rather than a job.
	PassThrough bool
	// FromPeer is set if this is one task that a peer has handed over: it is tried once
	// and not handed over again.
	FromPeer bool
	Tasks    int
}

// Start tells the driver to run an attempt and to report its outcome to AttemptEnded.
type Start struct {
	AttemptID uint64
	Job       string
	Task      int
	Attempt   int
	Server    netip.AddrPort
	Expires   time.Time
}

// HandoverItem is one task of a handover.
type HandoverItem struct {
	AttemptID uint64
	Job       string
	Task      int
	Attempt   int
	Expires   time.Time
}

// Handover tells the driver to hand tasks over to a peer and to report the outcome of
// each to AttemptEnded. The outcome is "not run" only if the peer said so or certainly
// did not get the task.
type Handover struct {
	Peer  string
	Items []HandoverItem
}

// Peer is another dispatcher, as last reported by the roster.
type Peer struct {
	Name       string
	DataCenter string
	// Report is the number of the heartbeat that Free comes from.
	Report uint64
	Free   int
}

// End reports that the tasks From through To-1 of a job have ended.
type End struct {
	Job      string
	From, To int
	Ran      refusal.Ran
	// Outcome is that of the attempt with which the task ended; its kind is 0 if the task
	// ended while it waited.
	Outcome delivery.Outcome
	Reason  string
}

// Actions tells the driver what to do. The slices are reused by the next Decide.
type Actions struct {
	Starts        []Start
	Ends          []End
	Handovers     []Handover
	HealthChanges []pool.HealthChange
}

// Cluster is the state of the system that a planner depends on.
type Cluster struct {
	Tables  *tables.State
	Members pool.Members
	// Dispatchers is the number of live dispatchers in all data centres.
	Dispatchers int
	// Usable reports whether new work may go to a server now.
	Usable func(server netip.AddrPort) bool
	// MayPlace is false while no task may start.
	MayPlace bool
}

// Planner decides for one dispatcher.
type Planner struct {
	cfg     Config
	rnd     *rand.Rand
	cluster Cluster
	fleet   *pool.Fleet

	jobs           map[string]*jobState
	expiry         expiries
	poolQueues     []*poolQueue
	byPool         map[string]*poolQueue
	poolSummaries  map[string]poolSummary
	lastServed     int
	serviceTimes   map[string]*pool.ServiceTime
	activeAttempts map[uint64]*activeAttempt
	teams          map[string]*team
	retryBudget    retryBudget
	// budgetQueue has one entry for each task that waits for the retry budget.
	budgetQueue []*jobState

	// attempts counts the attempts of all tasks, and so is the id of the latest.
	attempts     uint64
	running      int
	waiting      int
	jobSlotsUsed int
	lastTick     time.Time
	peers        peers
	handedOver   int
	actions      Actions
}

// jobState is a job that has not ended.
type jobState struct {
	job       Job
	queueJob  *queue.Job
	poolQueue *poolQueue
	team      *team
	// nextTask is the first task that was never tried, retries are tasks that are queued
	// again, and tried counts the earlier attempts of each task that was to be retried.
	nextTask int
	retries  []int
	tried    map[int]taskTries
	// awaitingBudget holds the tasks that wait for the retry budget.
	awaitingBudget []int
	unfinished     int
	// hasJobSlot is set while the job holds a job slot.
	hasJobSlot bool
	// stopped is set if no more tasks of the job are to start.
	stopped bool
	// mayHaveRun is set if an attempt of a request had an unknown outcome; no later
	// refusal makes the request "not run" again.
	mayHaveRun  bool
	expiryIndex int
}

// taskTries counts the earlier attempts of a task that was to be retried.
type taskTries struct {
	// attempts counts all of them, and so is the number of the next one.
	attempts int
	// servers counts the attempts on backend servers of this dispatcher, peers the
	// handovers.
	servers, peers int
}

// activeAttempt is an attempt under way, here or at a peer.
type activeAttempt struct {
	js   *jobState
	task int
	// server is nil if the task was handed over to peer.
	server    *pool.Server
	peer      *peer
	startedAt time.Time
}

// poolQueue is the queue of one pool.
type poolQueue struct {
	*queue.Queue
	pool      string
	drainRate drainRate
}

// ageingStep is how far each waiting task of a job puts it behind smaller jobs of the
// same caller. The largest job, of 1,300 tasks, is overtaken only by jobs that arrive
// within 13 s after it.
const ageingStep = 10 * time.Millisecond

// New returns a planner that has no tables yet.
func New(cfg Config, rnd *rand.Rand) *Planner {
	return &Planner{
		cfg:            cfg,
		rnd:            rnd,
		cluster:        Cluster{Tables: tables.Empty(), Usable: func(netip.AddrPort) bool { return true }},
		fleet:          pool.New(cfg.DataCenter, cfg.Policy, cfg.MaxEjectedShare),
		jobs:           make(map[string]*jobState),
		byPool:         make(map[string]*poolQueue),
		poolSummaries:  make(map[string]poolSummary),
		serviceTimes:   make(map[string]*pool.ServiceTime),
		activeAttempts: make(map[uint64]*activeAttempt),
		teams:          make(map[string]*team),
		retryBudget:    retryBudget{share: cfg.RetryBudget, tokens: retryBudgetBurst},
	}
}

// Decide places what can be placed and moves the resulting actions into a.
func (p *Planner) Decide(now time.Time, a *Actions) {
	p.place(now)
	p.handOver(now)
	p.actions.HealthChanges = append(p.actions.HealthChanges, p.fleet.HealthChanges()...)
	a.Starts = append(a.Starts[:0], p.actions.Starts...)
	a.Ends = append(a.Ends[:0], p.actions.Ends...)
	a.Handovers = append(a.Handovers[:0], p.actions.Handovers...)
	a.HealthChanges = append(a.HealthChanges[:0], p.actions.HealthChanges...)
	clear(p.actions.Ends)
	clear(p.actions.Handovers)
	p.actions.Starts = p.actions.Starts[:0]
	p.actions.Ends = p.actions.Ends[:0]
	p.actions.Handovers = p.actions.Handovers[:0]
	p.actions.HealthChanges = p.actions.HealthChanges[:0]
}

// Waiting returns the number of waiting tasks.
func (p *Planner) Waiting() int { return p.waiting }

// Running returns the number of attempts under way on backend servers.
func (p *Planner) Running() int { return p.running }

// HandedOver returns the number of tasks that are with peers.
func (p *Planner) HandedOver() int { return p.handedOver }

// Free returns how many more tasks could start now.
func (p *Planner) Free() int {
	return max(min(p.cfg.Connections-p.running, p.fleet.FreeSlots())-p.waiting, 0)
}

func (p *Planner) serviceTime(kind string) *pool.ServiceTime {
	st := p.serviceTimes[kind]
	if st == nil {
		st = &pool.ServiceTime{}
		p.serviceTimes[kind] = st
	}
	return st
}
