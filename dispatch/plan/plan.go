// Package plan decides which task starts when and on which backend server, and
// which work is refused.
//
// It is a plain value: events with the time go in, actions come out, and there
// is no goroutine, socket, lock or clock inside; randomness is passed in. So a
// test, or any bench, can drive it through years of load in seconds, and two
// runs with one seed are the same.
//
// The rules that nothing here may break: a task is on at most one backend server
// at a time; only a proved "not run" is tried again (and an unknown outcome of a
// request whose route calls it repeatable); every admitted task ends exactly
// once; what ends as "not run" never starts afterwards.
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

// Config sets the bounds of a planner.
type Config struct {
	DataCenter string
	Policy     policy.Policy
	// Connections is how many attempts run at once.
	Connections int
	// JobSlots is how many jobs are partly started at once: some tasks have
	// been, others wait. 0 means no limit.
	JobSlots int
	// QueuedTasks bounds the waiting tasks.
	QueuedTasks int
	// Attempts bounds the attempts of one task.
	Attempts int
	// TaskTimeout is the lease of an attempt where the route names none.
	TaskTimeout time.Duration
	// MaxWait is the longest expected wait at which work is still taken.
	MaxWait time.Duration
	// RetryBudget is the share of first attempts that may be repeated.
	RetryBudget float64
	// HandAfter is the wait that a task is left to rather than handed over: a
	// connection that frees within it is as near as a peer.
	HandAfter time.Duration
	// HandLeast is the fewest tasks that are worth a hand-over.
	HandLeast int
	// AsideShare is the largest part of a pool that is set aside.
	AsideShare float64
}

// Job is the tasks of one submission.
type Job struct {
	ID      string
	Kind    string
	Caller  string
	Team    string
	Expires time.Time
	// Request tells that this is one request passed through.
	Request bool
	// FromPeer tells that this is one task which a peer has handed over: it is
	// tried once, and not handed on.
	FromPeer bool
	Tasks    int
}

// Start asks the shell to run an attempt and to report it by Ended.
type Start struct {
	AttemptID uint64
	Job       string
	Task      int
	Attempt   int
	Server    netip.AddrPort
	Expires   time.Time
}

// HandoverItem is a task in a hand-over.
type HandoverItem struct {
	AttemptID uint64
	Job       string
	Task      int
	Attempt   int
	Expires   time.Time
}

// Handover asks the shell to hand tasks over to a peer, and to report what became
// of each by Ended: "not run" only when the peer said so, or certainly did not
// get it.
type Handover struct {
	Peer  string
	Items []HandoverItem
}

// Peer is another dispatcher as the roster last heard of it.
type Peer struct {
	Name       string
	DataCenter string
	// Report numbers the heartbeat that Free comes from.
	Report uint64
	Free   int
}

// End says that the tasks From to To-1 of a job have ended.
type End struct {
	Job      string
	From, To int
	Ran      refusal.Ran
	// Outcome is the last attempt's; its kind is 0 when there was none.
	Outcome delivery.Outcome
	Reason  string
}

// Actions is what the shell is to do. The slices are used again by the next
// Take.
type Actions struct {
	Starts        []Start
	Ends          []End
	Handovers     []Handover
	HealthChanges []pool.HealthChange
}

// Cluster is what a planner knows of its surroundings.
type Cluster struct {
	Tables  *tables.State
	Members pool.Members
	// Dispatchers is how many are live in the whole system.
	Dispatchers int
	// Usable tells whether new work may go to a server now.
	Usable func(server netip.AddrPort) bool
	// MayPlace is false while nothing may be started.
	MayPlace bool
}

// Planner is the decisions of one dispatcher.
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
	// budgetQueue has an entry for each task that waits for the retry budget.
	budgetQueue []*jobState

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
	// nextTask is the first task that was never tried; retries are those that may
	// be tried again, and tried tells how often they were.
	nextTask int
	retries  []int
	tried    map[int]taskTries
	// awaitingBudget is the tasks that wait for the retry budget.
	awaitingBudget []int
	unfinished     int
	// hasJobSlot tells that it has a job hasJobSlot.
	hasJobSlot bool
	// stopped tells that no more tasks are started.
	stopped bool
	// mayHaveRun tells that an attempt of a repeatable request has an unknown
	// outcome, after which no later refusal makes it "not run".
	mayHaveRun  bool
	expiryIndex int
}

// taskTries counts what was done about a task that did not run.
type taskTries struct {
	// attempts is that of the next attempt.
	attempts int
	// servers counts the attempts on backend servers of this dispatcher,
	// peers the hand-overs.
	servers, peers int
}

// activeAttempt is an attempt under way.
type activeAttempt struct {
	js   *jobState
	task int
	// server is nil when the task was handed to peer.
	server    *pool.Server
	peer      *peer
	startedAt time.Time
}

// poolQueue is the queue of a pool.
type poolQueue struct {
	*queue.Queue
	pool      string
	drainRate drainRate
}

// ageingStep is by how much each waiting task of a job puts it behind smaller
// ones of its caller: the largest job of today, 1,300 tasks, is passed by those
// that arrive in the 13 s after it.
const ageingStep = 10 * time.Millisecond

// New makes a planner that knows no tables yet.
func New(cfg Config, rnd *rand.Rand) *Planner {
	return &Planner{
		cfg:            cfg,
		rnd:            rnd,
		cluster:        Cluster{Tables: tables.Empty(), Usable: func(netip.AddrPort) bool { return true }},
		fleet:          pool.New(cfg.DataCenter, cfg.Policy, cfg.AsideShare),
		jobs:           make(map[string]*jobState),
		byPool:         make(map[string]*poolQueue),
		poolSummaries:  make(map[string]poolSummary),
		serviceTimes:   make(map[string]*pool.ServiceTime),
		activeAttempts: make(map[uint64]*activeAttempt),
		teams:          make(map[string]*team),
		retryBudget:    retryBudget{share: cfg.RetryBudget, tokens: retryBudgetBurst},
	}
}

// Decide places what can be placed and moves the actions into a.
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

// Waiting returns the number of tasks that wait.
func (p *Planner) Waiting() int { return p.waiting }

// Running returns the number of attempts under way.
func (p *Planner) Running() int { return p.running }

// HandedOver returns the number of tasks that are with peers.
func (p *Planner) HandedOver() int { return p.handedOver }

// Free returns how many more tasks could start now.
func (p *Planner) Free() int {
	return max(min(p.cfg.Connections-p.running, p.fleet.FreeSlots())-p.waiting, 0)
}

func (p *Planner) serviceTime(name string) *pool.ServiceTime {
	u := p.serviceTimes[name]
	if u == nil {
		u = &pool.ServiceTime{}
		p.serviceTimes[name] = u
	}
	return u
}
