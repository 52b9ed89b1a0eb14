// Package dispatch places tasks on backend servers.
//
// Tasks wait in queues and are bound to a backend server only when a connection of this
// dispatcher and a slot of the server are free (late binding). Package plan decides what
// starts when and where, as a deterministic state machine without I/O; this package is
// its driver. One goroutine owns the planner and never blocks. Each attempt runs in a
// goroutine of its own, at most one per connection. A further goroutine reports results
// to the owners of the jobs.
package dispatch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"snipehub.example/clock"
	"snipehub.example/delivery"
	"snipehub.example/dispatch/plan"
	"snipehub.example/event"
	"snipehub.example/meter"
	"snipehub.example/refusal"
	"snipehub.example/roster"
	"snipehub.example/tables"
)

// Submission is the tasks of one job.
type Submission struct {
	Job     string
	Kind    string
	Caller  string
	Team    string
	Expires time.Time
	// Type is the content type of the tasks' bodies.
	Type string
	// PassThrough is set if this is a single request passed through rather than a job: any
	// status that the backend server answers goes to the caller, and the route may allow
	// the request to be repeated.
	PassThrough bool
	// FromPeer is set if this is one task that a peer has handed over; Job is then the id
	// of the attempt.
	FromPeer bool
	Tasks    [][]byte
	// Done is called once for each task, from any goroutine.
	Done func(index int, r Result)
}

// Result is the final outcome of a task.
type Result struct {
	Ran refusal.Ran
	// Done is set if the task has an answer for the caller. Otherwise Error is the reason,
	// and Answer and Type are empty.
	Done   bool
	Answer []byte
	Error  string
	// Status is that of the backend server's answer, if it answered.
	Status int
	// Type is the content type of Answer.
	Type string
}

// Directory provides the cluster state that placing depends on.
type Directory interface {
	// State returns the tables in force.
	State() *tables.State
	// Usable reports whether new work may go to a backend server. It is false if the VM
	// list says that the server is leaving, or while the server is held back after a move
	// from one half to the other.
	Usable(now time.Time, server netip.AddrPort) bool
	// MayPlace reports whether this process may start tasks. It is false if this process
	// alone is cut off and its tables are stale, or if it was suspended and has not yet
	// confirmed its tables.
	MayPlace(now time.Time) bool
	// Members returns the dispatchers of all data centres that are not gone, including
	// this process.
	Members(now time.Time) []roster.Known
}

// taskDeliverer runs one attempt on a backend server.
type taskDeliverer interface {
	Deliver(ctx context.Context, a delivery.Attempt) delivery.Outcome
}

// metricSink receives the dispatcher's metrics.
type metricSink interface {
	Count(name meter.Name, n int64)
	Gauge(name meter.Name, v float64)
}

// Config configures a dispatcher.
type Config struct {
	plan.Config
	// Self identifies this process among Directory.Members.
	Self roster.Member
}

const (
	// tickInterval is the interval between two calls of the planner's Tick.
	tickInterval = 50 * time.Millisecond
	// membersInterval is the interval between two reads of the member list. Each read
	// copies and sorts the list: reading it every tickInterval cost an idle process 74 µs
	// a second per member, a third of a core at the target size of 4,600 members. A
	// member's heartbeat changes its entry at most once a second.
	membersInterval = 500 * time.Millisecond
	// requestBuffer is the number of submissions and cancellations that can wait for the
	// planner.
	requestBuffer = 1024
	// submitTimeout is the longest time that a submission waits for the planner.
	submitTimeout = 2 * time.Second
	// queueFullLogInterval is the shortest time between two log lines about a full queue.
	queueFullLogInterval = 10 * time.Second
)

// Dispatcher drives the planner. It is a suture service.
type Dispatcher struct {
	cfg       Config
	deliverer taskDeliverer
	dir       Directory
	clock     *clock.Service
	log       *slog.Logger
	metrics   metricSink

	requests chan request
	events   chan plannerEvent
	wake     chan struct{}
	stopped  chan struct{}
	stop     sync.Once
	reports  reports
	free     atomic.Int64

	planner *plan.Planner
	cluster plan.Cluster
	// membersReadAt is when the member list was last read.
	membersReadAt     time.Time
	batches           map[string]*batch
	sender            sender
	handoverSlots     chan struct{}
	peers             map[string]roster.Known
	actions           plan.Actions
	queueFullLoggedAt time.Time
}

// batch is a submission with tasks that have not ended.
type batch struct {
	Submission
	unfinished int
}

// plannerEvent is the outcome of an attempt or, if peer is set, a peer's report of its
// free slots.
type plannerEvent struct {
	attemptID uint64
	outcome   delivery.Outcome
	// handedOver is set if the attempt was handed to a peer, which counts its outcome.
	handedOver bool
	peer       string
	free       int
}

// New returns a dispatcher; Serve runs it.
func New(cfg Config, deliverer taskDeliverer, dir Directory, ticks *clock.Service, log *slog.Logger, m metricSink) *Dispatcher {
	return &Dispatcher{
		cfg:           cfg,
		deliverer:     deliverer,
		dir:           dir,
		clock:         ticks,
		log:           log,
		metrics:       m,
		requests:      make(chan request, requestBuffer),
		events:        make(chan plannerEvent, cfg.Connections),
		wake:          make(chan struct{}, 1),
		stopped:       make(chan struct{}),
		reports:       newReports(),
		planner:       plan.New(cfg.Config, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		batches:       make(map[string]*batch),
		handoverSlots: make(chan struct{}, maxHandovers),
		peers:         make(map[string]roster.Known),
	}
}

// Free returns how many more tasks could start now, as of the last tick.
func (d *Dispatcher) Free() int { return int(d.free.Load()) }

// TablesChanged notifies the dispatcher that the tables have changed.
func (d *Dispatcher) TablesChanged() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Serve runs the planner until ctx ends.
func (d *Dispatcher) Serve(ctx context.Context) error {
	sub := d.clock.Subscribe(tickInterval)
	defer sub.Stop()
	var reporting sync.WaitGroup
	reporting.Go(func() { d.reports.run(ctx) })
	defer reporting.Wait()
	d.refreshCluster(d.clock.Now())
	for {
		select {
		case <-ctx.Done():
			d.stop.Do(func() { close(d.stopped) })
			return ctx.Err()
		case r := <-d.requests:
			d.handleRequests(r)
		case e := <-d.events:
			d.handleEvent(e)
		case <-d.wake:
			d.refreshCluster(d.clock.Now())
		case <-sub.C:
			d.tick(d.clock.Now())
		}
		d.runActions(ctx)
	}
}

func (d *Dispatcher) countOutcome(k delivery.Kind) {
	switch k {
	case delivery.Done, delivery.Ran:
		d.metrics.Count(meter.TasksDone, 1)
	case delivery.NotRun:
		d.metrics.Count(meter.TaskRefusals, 1)
	case delivery.Unknown:
		d.metrics.Count(meter.TasksUnknown, 1)
	}
}

func (d *Dispatcher) handleEvent(e plannerEvent) {
	if e.peer != "" {
		d.planner.PeerReported(e.peer, e.free)
		return
	}
	if !e.handedOver {
		d.countOutcome(e.outcome.Kind)
	}
	d.planner.AttemptEnded(d.clock.Now(), e.attemptID, e.outcome)
}

func (d *Dispatcher) tick(now time.Time) {
	if now.Sub(d.membersReadAt) >= membersInterval {
		d.refreshCluster(now)
	}
	d.planner.Tick(now)
	d.free.Store(int64(d.planner.Free()))
	d.metrics.Gauge(meter.QueuedTasks, float64(d.planner.Waiting()))
	d.metrics.Gauge(meter.RunningTasks, float64(d.planner.Running()))
	d.metrics.Gauge(meter.TaskReports, float64(d.reports.len()))
	d.metrics.Gauge(meter.HandedTasks, float64(d.planner.HandedOver()))
}

// runActions asks the planner for its decisions and carries them out.
func (d *Dispatcher) runActions(ctx context.Context) {
	now := d.clock.Now()
	d.planner.SetMayPlace(d.dir.MayPlace(now))
	d.planner.Decide(now, &d.actions)
	for _, e := range d.actions.Ends {
		d.endTasks(e)
	}
	for _, s := range d.actions.Starts {
		d.startAttempt(ctx, s)
	}
	for _, h := range d.actions.Handovers {
		d.sendHandover(ctx, h)
	}
	for _, change := range d.actions.HealthChanges {
		switch {
		case change.LimitReached:
			event.EjectionLimitReached.Log(d.log, "server", change.Server, "reason", string(change.Reason))
		case change.Ejected:
			event.ServerEjected.Log(d.log, "server", change.Server, "reason", string(change.Reason))
		default:
			event.ServerReadmitted.Log(d.log, "server", change.Server)
		}
	}
}

func (d *Dispatcher) startAttempt(ctx context.Context, s plan.Start) {
	b := d.batches[s.Job]
	id := delivery.TaskID(s.Job, s.Task, s.Attempt)
	if b.FromPeer {
		id = b.Job
	}
	a := delivery.Attempt{
		Server:  s.Server,
		Kind:    b.Kind,
		Task:    id,
		Body:    b.Tasks[s.Task],
		Type:    b.Type,
		Expires: s.Expires,
	}
	d.metrics.Count(meter.TaskStarts, 1)
	if s.Attempt > 0 {
		d.metrics.Count(meter.TaskRetries, 1)
	}
	go func() { d.events <- plannerEvent{attemptID: s.AttemptID, outcome: d.deliverer.Deliver(ctx, a)} }()
}

func (d *Dispatcher) endTasks(e plan.End) {
	b := d.batches[e.Job]
	r := Result{Ran: e.Ran, Status: e.Outcome.Status, Error: e.Reason}
	switch e.Outcome.Kind {
	case delivery.Done:
		r.Done = true
	case delivery.Ran:
		r.Done = b.PassThrough
	}
	if r.Done {
		r.Answer = e.Outcome.Body
		r.Type = e.Outcome.Type
		r.Error = ""
	}
	d.reports.add(report{b.Done, e.From, e.To, r})
	b.unfinished -= e.To - e.From
	if b.unfinished == 0 {
		delete(d.batches, e.Job)
	}
}
