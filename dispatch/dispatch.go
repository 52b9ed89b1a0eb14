// Package dispatch places tasks on backend servers.
//
// Tasks wait in one queue and get a backend server only when a connection of
// this dispatcher and a slot of the server are free (late binding). One
// goroutine owns the queue; the attempts themselves run in goroutines of their
// own, at most as many as there are connections.
package dispatch

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"snipehub.example/delivery"
	"snipehub.example/refusal"
	"snipehub.example/roster"
	"snipehub.example/tables"
)

// Batch is the tasks of one job.
type Batch struct {
	Job     string
	Kind    string
	Caller  string
	Team    string
	Expires time.Time
	// Type is the content type of the tasks' bodies.
	Type string
	// Request tells that this is one request passed through and not a job:
	// whatever status the backend server answers goes to the caller, and a
	// route may allow it to be repeated.
	Request bool
	Tasks   [][]byte
	// Done is called once for each task, from any goroutine.
	Done func(index int, r Result)
}

// Result is the final outcome of a task.
type Result struct {
	Ran    refusal.Ran
	Done   bool
	Answer []byte
	Error  string
	// Status and Type are the backend server's, set when it answered.
	Status int
	Type   string
}

// Directory is what placing needs to know of the world.
type Directory interface {
	// State returns the tables in force.
	State() *tables.State
	// Usable tells whether new work may go to a backend server: false when
	// the VM list says that it is leaving, or while it is held back after a
	// move from one half to the other.
	Usable(now time.Time, server netip.AddrPort) bool
	// MayPlace is false while this process must not start anything: it alone
	// is cut off and its tables are stale, or it was frozen and has not yet
	// confirmed them.
	MayPlace(now time.Time) bool
	// Members returns the dispatchers that are not gone, of all data centres,
	// this process included.
	Members(now time.Time) []roster.Known
}

// courier runs one attempt on a backend server.
type courier interface {
	Deliver(ctx context.Context, a delivery.Attempt) delivery.Outcome
}

// Config sets the bounds of a dispatcher.
type Config struct {
	DataCenter  string
	Connections int
	QueuedTasks int
	TaskTimeout time.Duration
}

// Dispatcher owns the queue. It is a suture service.
type Dispatcher struct {
	cfg    Config
	c      courier
	dir    Directory
	submit chan submission
	cancel chan string
	ended  chan ending
	wake   chan struct{}

	queue    []*task
	busy     int
	inFlight map[netip.AddrPort]int
}

type submission struct {
	b      Batch
	answer chan error
}

type task struct {
	b       *Batch
	index   int
	attempt int
}

type ending struct {
	t      *task
	server netip.AddrPort
	o      delivery.Outcome
}

// New makes a dispatcher.
func New(cfg Config, c courier, dir Directory) *Dispatcher {
	return &Dispatcher{
		cfg:      cfg,
		c:        c,
		dir:      dir,
		submit:   make(chan submission),
		cancel:   make(chan string, 64),
		ended:    make(chan ending, cfg.Connections),
		wake:     make(chan struct{}, 1),
		inFlight: make(map[netip.AddrPort]int),
	}
}

// Submit takes all tasks of the batch, or refuses it whole.
func (d *Dispatcher) Submit(b Batch) error {
	s := submission{b: b, answer: make(chan error, 1)}
	d.submit <- s
	return <-s.answer
}

// Cancel drops the tasks of a job that have not started.
func (d *Dispatcher) Cancel(job string) { d.cancel <- job }

// Wake tells that the tables have changed.
func (d *Dispatcher) Wake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Serve runs the queue until ctx ends.
func (d *Dispatcher) Serve(ctx context.Context) error {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-d.submit:
			s.answer <- d.admit(s.b)
		case job := <-d.cancel:
			d.drop(job)
		case e := <-d.ended:
			d.settle(e)
		case <-d.wake:
		case <-t.C:
		}
		d.place(ctx)
	}
}

func (d *Dispatcher) admit(b Batch) error {
	if _, ok := d.dir.State().Route(b.Kind); !ok {
		return refusal.New(refusal.NoRoute, b.Kind)
	}
	if len(d.queue)+len(b.Tasks) > d.cfg.QueuedTasks {
		return refusal.New(refusal.Overloaded, "").After(time.Second)
	}
	for i := range b.Tasks {
		d.queue = append(d.queue, &task{b: &b, index: i})
	}
	return nil
}

func (d *Dispatcher) drop(job string) {
	kept := d.queue[:0]
	for _, t := range d.queue {
		if t.b.Job != job {
			kept = append(kept, t)
			continue
		}
		t.b.Done(t.index, Result{Ran: refusal.RanNo, Error: "cancelled"})
	}
	d.queue = kept
}

func (d *Dispatcher) settle(e ending) {
	d.busy--
	d.inFlight[e.server]--
	switch {
	case e.o.Kind == delivery.Done:
		e.t.b.Done(e.t.index, Result{Ran: refusal.RanYes, Done: true, Answer: e.o.Body, Status: e.o.Status, Type: e.o.Type})
	case e.o.Kind == delivery.Ran:
		e.t.b.Done(e.t.index, Result{Ran: refusal.RanYes, Done: e.t.b.Request, Answer: e.o.Body, Error: e.o.Reason, Status: e.o.Status, Type: e.o.Type})
	case e.o.Kind == delivery.NotRun && e.t.attempt < 10:
		e.t.attempt++
		d.queue = append(d.queue, e.t)
	case e.o.Kind == delivery.NotRun:
		e.t.b.Done(e.t.index, Result{Ran: refusal.RanNo, Error: e.o.Reason})
	default:
		e.t.b.Done(e.t.index, Result{Ran: refusal.RanUnknown, Error: e.o.Reason})
	}
}

func (d *Dispatcher) place(ctx context.Context) {
	now := time.Now()
	kept := d.queue[:0]
	for _, t := range d.queue {
		if now.After(t.b.Expires) {
			t.b.Done(t.index, Result{Ran: refusal.RanNo, Error: "the job's time is over"})
			continue
		}
		server, route, ok := d.pick(now, t)
		if !ok {
			kept = append(kept, t)
			continue
		}
		d.start(ctx, now, t, server, route)
	}
	d.queue = kept
}

func (d *Dispatcher) pick(now time.Time, t *task) (netip.AddrPort, tables.Route, bool) {
	if d.busy >= d.cfg.Connections || !d.dir.MayPlace(now) {
		return netip.AddrPort{}, tables.Route{}, false
	}
	st := d.dir.State()
	route, ok := st.Route(t.b.Kind)
	if !ok {
		return netip.AddrPort{}, route, false
	}
	var free []netip.AddrPort
	for _, s := range st.Servers(route.Pool) {
		if !s.Leaving && d.dir.Usable(now, s.Address) && s.DataCenter == d.cfg.DataCenter && d.inFlight[s.Address] < s.Slots {
			free = append(free, s.Address)
		}
	}
	if len(free) == 0 {
		return netip.AddrPort{}, route, false
	}
	return free[rand.IntN(len(free))], route, true
}

func (d *Dispatcher) start(ctx context.Context, now time.Time, t *task, server netip.AddrPort, r tables.Route) {
	d.busy++
	d.inFlight[server]++
	limit := d.cfg.TaskTimeout
	if r.Timeout > 0 {
		limit = r.Timeout
	}
	a := delivery.Attempt{
		Server:  server,
		Kind:    t.b.Kind,
		Task:    delivery.TaskID(t.b.Job, t.index, t.attempt),
		Body:    t.b.Tasks[t.index],
		Type:    t.b.Type,
		Expires: earlier(now.Add(limit), t.b.Expires),
	}
	go func() { d.ended <- ending{t, server, d.c.Deliver(ctx, a)} }()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
