// Package node assembles the process that runs on the users' platform: it takes in
// callers' jobs, holds workers under leases, and plans for its cell when it is its
// turn.
//
// What it decides stands in Core, a pure value that one goroutine owns. The rest is
// shells: each does one thing (serves callers, follows a topic of the store, calls
// workers, keeps the sessions of the mesh) and hands what it learns to that
// goroutine through a bounded ring. Nothing is kept on the machine; what must last,
// the operator's configuration and the list of processes, is in the platform's
// store.
package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"snipehub.example/catalog"
	"snipehub.example/cell"
	"snipehub.example/clock"
	"snipehub.example/entry"
	"snipehub.example/event"
	"snipehub.example/lease"
	"snipehub.example/mesh"
	"snipehub.example/meter"
	"snipehub.example/registry"
)

// Config is what a process is told of itself.
type Config struct {
	VM         string
	DataCenter string
	// Share is the size of the VM in cores.
	Share float64
	// Callers, Ready, Peers and Operators are the addresses to serve. Operators
	// may be the zero value for none.
	Callers, Ready, Peers, Operators netip.AddrPort
	// Seeds are addresses of other processes, which may be out of date.
	Seeds []netip.AddrPort
	// Policy is how the planner decides; the zero value is the default one.
	Policy cell.Policy
	// StopFor is the time from the order to stop to the end by force.
	StopFor time.Duration
}

// Workers calls workers.
type Workers interface {
	Hold(ctx context.Context, w lease.Worker, h lease.HoldCall) (lease.Result, error)
	Start(ctx context.Context, w lease.Worker, s lease.StartCall) (lease.Result, error)
	Stop(ctx context.Context, w lease.Worker, s lease.StopCall) (lease.Result, error)
}

// Topic is a topic of the store that this process also writes to.
type Topic interface {
	registry.Source
	// Put appends a record with a key; a nil value drops the key.
	Put(ctx context.Context, key string, value []byte) (registry.Offset, error)
}

// Platform is what the process needs of the platform.
type Platform struct {
	// Operator, WorkerList and Members are the topics of the store.
	Operator, WorkerList registry.Source
	Members              Topic
	// IsCatalog tells the operator's configuration from other records; Catalog
	// and Worker read records.
	IsCatalog func(registry.Record) bool
	Catalog   func(registry.Record) (*catalog.Catalog, error)
	Worker    func(registry.Record) (cell.Listed, error)
	Workers   Workers
	// Callers makes the handler of callers' requests.
	Callers func(*Node) http.Handler
	// Dial opens connections to other processes.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// ring bounds the events that wait for the core. They are small; a process that is
// so far behind has long lost its sessions.
const ring = 4096

// Node is one process.
type Node struct {
	cfg      Config
	platform Platform
	// id names this life of the process. What else it says of itself changes, and only
	// the core's goroutine may read it there.
	id    mesh.ID
	log   *slog.Logger
	clock *clock.Service
	meter *meter.Meter
	shelf *catalog.Shelf
	mesh  *mesh.Mesh[Mail]
	core  *Core
	ln    listeners

	// work are the events for the core, in the order of their arrival.
	work chan work
	// root ends when the process does; calls to workers run under it.
	root context.Context

	// stopping tells that a planned stop has begun, closed that nothing is taken
	// in any more; open counts the jobs that callers wait for.
	stopping, closed atomic.Bool
	// settling tells that the callers' address is being closed, shut is closed when it
	// is.
	settling atomic.Bool
	shut     chan struct{}
	open     atomic.Int64
	// met tells that most other processes are in sight; began is when this one
	// started.
	met   atomic.Bool
	began time.Duration
	// reads tells that this process reads the list of workers for the planner.
	reads   atomic.Bool
	planner atomic.Pointer[mesh.ID]
	// plans is how often the planner has begun.
	plans atomic.Uint64

	mu      sync.Mutex
	waiters map[entry.Waiter]chan entry.Answer
	last    entry.Waiter
	calls   sync.WaitGroup
	topics  map[string]*registry.Follower
	servers []*http.Server
}

// work is one event for the core.
type work func(now time.Time, c *Core)

type listeners struct{ callers, ready, peers, operators net.Listener }

// New binds the addresses and makes the parts.
func New(cfg Config, p Platform, log *slog.Logger) (*Node, error) {
	ln, err := bind(cfg)
	if err != nil {
		return nil, err
	}
	self := mesh.Member{
		ID:         mesh.ID{Address: cfg.Peers, Boot: rand.Uint64()},
		VM:         cfg.VM,
		DataCenter: cfg.DataCenter,
		Share:      cfg.Share,
	}
	shelf := &catalog.Shelf{}
	n := &Node{
		cfg:      cfg,
		platform: p,
		id:       self.ID,
		log:      log,
		ln:       ln,
		clock:    clock.New(),
		shelf:    shelf,
		core:     NewCore(log, self, shelf, cfg.Policy),
		work:     make(chan work, ring),
		began:    clock.SinceBoot(),
		waiters:  make(map[entry.Waiter]chan entry.Answer),
		shut:     make(chan struct{}),
		topics:   make(map[string]*registry.Follower),
	}
	n.meter = meter.New(metricSeries, func() { event.MetricsFull.Log(log) })
	n.mesh = mesh.New(log, self, ln.peers, p.Dial, n.fromMesh)
	return n, nil
}

// metricSeries bounds the series of queues that metrics tell apart.
const metricSeries = 500

func bind(cfg Config) (listeners, error) {
	var l listeners
	for _, b := range []struct {
		name string
		addr netip.AddrPort
		to   *net.Listener
	}{
		{"callers", cfg.Callers, &l.callers},
		{"ready", cfg.Ready, &l.ready},
		{"peers", cfg.Peers, &l.peers},
		{"operators", cfg.Operators, &l.operators},
	} {
		if !b.addr.IsValid() {
			continue
		}
		ln, err := net.Listen("tcp", b.addr.String())
		if err != nil {
			return l, errors.Wrapf(err, "address for %s", b.name)
		}
		*b.to = ln
	}
	return l, nil
}

// Run serves until ctx ends, then stops without cutting what is under way.
func (n *Node) Run(ctx context.Context) error {
	root, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.root = root
	done := n.tree().ServeBackground(root)
	event.ProcessStarted.Log(n.log, "vm", n.cfg.VM, "data_center", n.cfg.DataCenter, "callers", n.cfg.Callers, "peers", n.cfg.Peers, "share", n.cfg.Share, "id", n.id)
	n.mesh.Learn(n.cfg.Seeds...)
	<-ctx.Done()
	n.stop(root)
	cancel()
	<-done
	n.meter.Close()
	event.ProcessStopped.Log(n.log)
	return nil
}

func (n *Node) tree() *suture.Supervisor {
	tree := suture.New("node", suture.Spec{
		EventHook: func(e suture.Event) {
			if e.Type() == suture.EventTypeServicePanic || e.Type() == suture.EventTypeServiceTerminate {
				event.ServiceFailed.Log(n.log, "detail", e.String())
			}
		},
		Timeout: time.Second,
	})
	tree.Add(n.clock)
	tree.Add(service{"core", n.serveCore})
	tree.Add(service{"mesh", n.mesh.Serve})
	tree.Add(service{"operator's topic", n.followOperator().Serve})
	tree.Add(service{"workers' topic", n.followWorkers().Serve})
	tree.Add(service{"members' topic", n.followMembers().Serve})
	tree.Add(service{"own record", n.keepRecord})
	tree.Add(service{"store watch", n.watchStore})
	tree.Add(service{"gauges", n.gauges})
	tree.Add(service{"callers", n.serveCallers})
	tree.Add(service{"readiness", n.serveReady})
	if n.ln.operators != nil {
		tree.Add(service{"operators", n.serveOperators})
	}
	return tree
}

// service makes a function a service with a name in the logs.
type service struct {
	name string
	run  func(ctx context.Context) error
}

// Serve runs the function.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String names the service.
func (s service) String() string { return s.name }

// do hands an event to the core.
func (n *Node) do(ctx context.Context, w work) {
	select {
	case n.work <- w:
	case <-ctx.Done():
	}
}

// ask hands a question to the core and waits for it.
func ask[T any](ctx context.Context, n *Node, f func(now time.Time, c *Core) T) (T, bool) {
	out := make(chan T, 1)
	n.do(ctx, func(now time.Time, c *Core) { out <- f(now, c) })
	select {
	case v := <-out:
		return v, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// tickEvery is how often the core looks at what is due: a small part of the
// shortest objective, 100 ms.
const tickEvery = 50 * time.Millisecond

// frozenAfter is the silence of this process after which it takes itself for
// frozen. Its peers give up the sessions after 650 ms.
const frozenAfter = 500 * time.Millisecond

// serveCore owns the core.
func (n *Node) serveCore(ctx context.Context) error {
	sub := n.clock.Subscribe(tickEvery)
	defer sub.Stop()
	last := clock.SinceBoot()
	for {
		var w work
		select {
		case <-ctx.Done():
			return ctx.Err()
		case w = <-n.work:
		case now := <-sub.C:
			w = func(_ time.Time, c *Core) { c.Tick(now) }
		}
		now := time.Now()
		boot := clock.SinceBoot()
		if pause := boot - last; pause > frozenAfter {
			event.NodeThawed.Log(n.log, "pause_ms", pause.Milliseconds())
			n.core.Thawed(now)
		}
		last = boot
		w(now, n.core)
		n.drain(now)
		n.perform(n.core.Take(now))
		n.publish()
	}
}

// drainMost bounds the events that are taken together.
const drainMost = 64

// drain takes the events that wait already, so that what they cause goes out
// together.
func (n *Node) drain(now time.Time) {
	for range drainMost {
		select {
		case w := <-n.work:
			w(now, n.core)
		default:
			return
		}
	}
}

// publish shows other goroutines what they need of the core.
func (n *Node) publish() {
	p, plans, reads := n.core.Reads()
	n.planner.Store(&p)
	n.plans.Store(plans)
	n.met.Store(n.core.Met())
	n.reads.Store(reads)
}

// perform carries out what the core asks for.
func (n *Node) perform(out []Output) {
	mail := make(map[mesh.ID][]Mail)
	for _, o := range out {
		switch {
		case o.Mail != nil:
			mail[o.To] = append(mail[o.To], *o.Mail)
		case o.Answer != nil:
			n.answer(*o.Answer)
		case o.Say != nil:
			n.mesh.Say(*o.Say)
		case o.Watch != nil:
			n.mesh.Watch(o.Watch.Member, o.Watch.On)
		case o.Hold != nil:
			n.calls.Go(func() { n.hold(o.Worker, *o.Hold) })
		case o.Start != nil:
			n.calls.Go(func() { n.start(o.Worker, *o.Start) })
		case o.Stop != nil:
			n.calls.Go(func() { n.stopRun(o.Worker, *o.Stop) })
		}
	}
	for to, m := range mail {
		n.mesh.Send(to, m...)
	}
}

// fromMesh hands what the mesh tells to the core.
func (n *Node) fromMesh(e mesh.Event[Mail]) {
	n.do(n.root, func(now time.Time, c *Core) {
		switch e.Kind {
		case mesh.Up:
			c.MemberUp(now, e.Member, e.Session)
		case mesh.Down:
			c.MemberDown(now, e.Member.ID, e.Session, e.Heard)
		case mesh.Changed:
			c.MemberChanged(now, e.Member)
		case mesh.Quiet:
			c.MemberQuiet(now, e.Member.ID, e.Session, e.Heard)
		case mesh.Back:
			c.MemberBack(e.Member.ID, e.Session)
		case mesh.Mail:
			c.Receive(now, e.Member.ID, e.Session, e.Mail)
		}
	})
}
