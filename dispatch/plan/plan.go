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
	// Guest tells that this is one task which a peer has handed over: it is
	// tried once, and not handed on.
	Guest bool
	Tasks int
}

// Start asks the shell to run an attempt and to report it by Ended.
type Start struct {
	Number  uint64
	Job     string
	Task    int
	Attempt int
	Server  netip.AddrPort
	Expires time.Time
}

// Item is a task in a hand-over.
type Item struct {
	Number  uint64
	Job     string
	Task    int
	Attempt int
	Expires time.Time
}

// Hand asks the shell to hand tasks over to a peer, and to report what became
// of each by Ended: "not run" only when the peer said so, or certainly did not
// get it.
type Hand struct {
	Peer  string
	Items []Item
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
	Starts []Start
	Ends   []End
	Hands  []Hand
	News   []pool.News
}

// World is what a planner knows of its surroundings.
type World struct {
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
	cfg   Config
	rnd   *rand.Rand
	world World
	fleet *pool.Fleet

	jobs    map[string]*work
	expiry  expiries
	queues  []*line
	byPool  map[string]*line
	reaches map[string]reach
	turn    int
	kinds   map[string]*pool.Usual
	flights map[uint64]*flight
	teams   map[string]*team
	budget  budget
	// later has an entry for each task that waits for the retry budget.
	later []*work

	number  uint64
	busy    int
	waiting int
	open    int
	last    time.Time
	peers   peers
	handed  int
	out     Actions
}

// work is a job that has not ended.
type work struct {
	job  Job
	q    *queue.Job
	line *line
	team *team
	// next is the first task that was never tried; retries are those that may
	// be tried again, and tried tells how often they were.
	next    int
	retries []int
	tried   map[int]tries
	// held is the tasks that wait for the retry budget.
	held []int
	left int
	// slot tells that it has a job slot.
	slot bool
	// ended tells that no more tasks are started.
	ended bool
	// maybe tells that an attempt of a repeatable request has an unknown
	// outcome, after which no later refusal makes it "not run".
	maybe bool
	index int
}

// tries counts what was done about a task that did not run.
type tries struct {
	// number is that of the next attempt.
	number int
	// servers counts the attempts on backend servers of this dispatcher,
	// peers the hand-overs.
	servers, peers int
}

// flight is an attempt under way.
type flight struct {
	w    *work
	task int
	// server is nil when the task was handed to peer.
	server  *pool.Server
	peer    *peer
	started time.Time
}

// line is the queue of a pool.
type line struct {
	*queue.Queue
	pool  string
	drain drain
}

// ageingStep is by how much each waiting task of a job puts it behind smaller
// ones of its caller: the largest job of today, 1,300 tasks, is passed by those
// that arrive in the 13 s after it.
const ageingStep = 10 * time.Millisecond

// New makes a planner that knows no tables yet.
func New(cfg Config, rnd *rand.Rand) *Planner {
	return &Planner{
		cfg:     cfg,
		rnd:     rnd,
		world:   World{Tables: tables.Empty(), Usable: func(netip.AddrPort) bool { return true }},
		fleet:   pool.New(cfg.DataCenter, cfg.Policy, cfg.AsideShare),
		jobs:    make(map[string]*work),
		byPool:  make(map[string]*line),
		reaches: make(map[string]reach),
		kinds:   make(map[string]*pool.Usual),
		flights: make(map[uint64]*flight),
		teams:   make(map[string]*team),
		budget:  budget{share: cfg.RetryBudget, tokens: budgetBurst},
	}
}

// Take places what can be placed and moves the actions into a.
func (p *Planner) Take(now time.Time, a *Actions) {
	p.place(now)
	p.handOver(now)
	p.out.News = append(p.out.News, p.fleet.News()...)
	a.Starts = append(a.Starts[:0], p.out.Starts...)
	a.Ends = append(a.Ends[:0], p.out.Ends...)
	a.Hands = append(a.Hands[:0], p.out.Hands...)
	a.News = append(a.News[:0], p.out.News...)
	clear(p.out.Ends)
	clear(p.out.Hands)
	p.out.Starts = p.out.Starts[:0]
	p.out.Ends = p.out.Ends[:0]
	p.out.Hands = p.out.Hands[:0]
	p.out.News = p.out.News[:0]
}

// Waiting returns the number of tasks that wait.
func (p *Planner) Waiting() int { return p.waiting }

// Busy returns the number of attempts under way.
func (p *Planner) Busy() int { return p.busy }

// Handed returns the number of tasks that are with peers.
func (p *Planner) Handed() int { return p.handed }

// Free returns how many more tasks could start now.
func (p *Planner) Free() int {
	return max(min(p.cfg.Connections-p.busy, p.fleet.Room())-p.waiting, 0)
}

func (p *Planner) kind(name string) *pool.Usual {
	u := p.kinds[name]
	if u == nil {
		u = &pool.Usual{}
		p.kinds[name] = u
	}
	return u
}
