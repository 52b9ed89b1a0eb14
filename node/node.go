// Package node assembles the process that runs on the users' platform: it accepts
// callers' jobs, holds workers under leases, and plans for its cell while it is the
// elected planner.
//
// Core makes all decisions. It is a deterministic state machine without I/O that one
// goroutine owns. The rest of the package drives it: each service does one thing (serves
// callers, follows a topic of the store, calls workers, maintains the sessions of the
// mesh) and passes what it learns to that goroutine through a bounded queue. Nothing is
// stored on the machine; the durable data, which are the operator's configuration and the
// list of processes, are in the platform's store.
package node

import (
	"context"
	"fmt"
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
	"snipehub.example/quota"
	"snipehub.example/registry"
)

// Config is the configuration of a process.
type Config struct {
	VM         string
	DataCenter string
	// Cores is the size of the VM in cores.
	Cores float64
	// Callers, Ready, Peers and Operators are the addresses to listen on. Operators may be
	// the zero value for none.
	Callers, Ready, Peers, Operators netip.AddrPort
	// Seeds are addresses of other processes, some of which may be out of date.
	Seeds []netip.AddrPort
	// Policy configures the planner's decisions; the zero value is the default policy.
	Policy cell.Policy
	// GracePeriod is the time from the stop request until the process is killed.
	GracePeriod time.Duration
	// CallerLimits bound what callers take; the zero value means no bounds.
	CallerLimits quota.Limits
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
	// Put appends a record with a key; a nil value deletes the key.
	Put(ctx context.Context, key string, value []byte) (registry.Offset, error)
}

// Platform is the interface to the users' platform.
type Platform struct {
	// Operator and WorkerList are topics of the store.
	Operator, WorkerList registry.Source
	// Members are the partitions of the topic with the processes' records. This process
	// writes its record to the one with the index OwnMembers.
	Members    []Topic
	OwnMembers int
	// IsCatalog reports whether a record is the operator's configuration; Catalog and
	// Worker parse records. Evacuation parses those of the operator's topic that are about
	// the evacuation of a data centre, and returns false for others.
	IsCatalog  func(registry.Record) bool
	Catalog    func(registry.Record) (*catalog.Catalog, error)
	Evacuation func(registry.Record) (catalog.EvacuationChange, bool)
	Worker     func(registry.Record) (cell.ListedWorker, error)
	Workers    Workers
	// Callers returns the handler of callers' requests.
	Callers func(*Node) http.Handler
	// Dial opens connections to other processes.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// eventQueueSize bounds the events that wait for the core. They are small, and a process
// that is this far behind has long lost its sessions.
const eventQueueSize = 4096

// Node is one process.
type Node struct {
	cfg      Config
	platform Platform
	// id identifies this incarnation of the process. The other fields of its mesh.Member
	// change, and only the core's goroutine may read them.
	id       mesh.ID
	log      *slog.Logger
	clock    *clock.Service
	meter    *meter.Meter
	catalogs *catalog.Store
	mesh     *mesh.Mesh[Message]
	core     *Core
	ln       listeners
	quota    *quota.Quota

	// work is the queue of events for the core, in the order of their arrival.
	work chan work
	// root is the context of calls to workers and of the process's services. It outlives
	// the context of Run until the stop is complete.
	root context.Context

	// stopping is set once a planned stop has begun, and refusing once new jobs are
	// refused. openRequests counts the jobs and lookups that callers wait for.
	stopping, refusing atomic.Bool
	// closingListener is set while the callers' listener is being closed, and
	// listenerClosed is closed afterwards.
	closingListener atomic.Bool
	listenerClosed  chan struct{}
	openRequests    atomic.Int64
	// quorum is set if more than half of the processes that the store lists are reachable;
	// startedAt is when this process started, as the time since boot.
	quorum atomic.Bool
	// divided is set while the deployment has several cells.
	divided atomic.Bool
	// recordedAs receives the number of the own record once it has been read in the store.
	recordedAs chan uint64
	// renewNow has the own record renewed early.
	renewNow  chan struct{}
	startedAt time.Duration
	// sinceBoot reads the clock that also runs while the VM is suspended.
	sinceBoot func() time.Duration
	planner   atomic.Pointer[mesh.ID]
	// reading is the reads of the list of workers that this process is to make.
	reading atomic.Pointer[ListReading]

	mu         sync.Mutex
	waiters    map[entry.Waiter]chan entry.Answer
	located    map[entry.Waiter]chan entry.JobState
	lastWaiter entry.Waiter
	calls      sync.WaitGroup
	topics     map[string]*registry.Follower
	records    *recordTracker
	servers    []*http.Server
}

// work is one event for the core.
type work func(now time.Time, c *Core)

type listeners struct{ callers, ready, peers, operators net.Listener }

// New binds the addresses and creates the process.
func New(cfg Config, p Platform, log *slog.Logger) (*Node, error) {
	ln, err := bind(cfg)
	if err != nil {
		return nil, err
	}
	return newNode(cfg, p, log, ln), nil
}

// newNode creates the process with listeners on its addresses.
func newNode(cfg Config, p Platform, log *slog.Logger, ln listeners) *Node {
	self := mesh.Member{
		ID:         mesh.ID{Address: cfg.Peers, Boot: rand.Uint64()},
		VM:         cfg.VM,
		DataCenter: cfg.DataCenter,
		Cores:      cfg.Cores,
	}
	catalogs := &catalog.Store{}
	n := &Node{
		cfg:            cfg,
		platform:       p,
		id:             self.ID,
		log:            log,
		ln:             ln,
		quota:          quota.New(cfg.CallerLimits),
		clock:          clock.New(),
		catalogs:       catalogs,
		core:           NewCore(log, self, catalogs, cfg.Policy),
		work:           make(chan work, eventQueueSize),
		sinceBoot:      clock.SinceBoot,
		startedAt:      clock.SinceBoot(),
		waiters:        make(map[entry.Waiter]chan entry.Answer),
		located:        make(map[entry.Waiter]chan entry.JobState),
		listenerClosed: make(chan struct{}),
		recordedAs:     make(chan uint64, 1),
		renewNow:       make(chan struct{}, 1),
		topics:         make(map[string]*registry.Follower),
		records:        newRecordTracker(cfg.Peers, p.OwnMembers),
	}
	n.meter = meter.New(maxMetricSeries, func() { event.MetricsFull.Log(log) })
	n.mesh = mesh.New(log, self, ln.peers, p.Dial, n.handleMeshEvent)
	return n
}

// maxMetricSeries bounds the metric series that are kept apart by queue, status or code.
const maxMetricSeries = 500

func bind(cfg Config) (listeners, error) {
	var l listeners
	for _, b := range []struct {
		name   string
		addr   netip.AddrPort
		to     *net.Listener
		limits quota.Limits
	}{
		{"callers", cfg.Callers, &l.callers, cfg.CallerLimits},
		{"ready", cfg.Ready, &l.ready, quota.Limits{}},
		{"peers", cfg.Peers, &l.peers, quota.Limits{}},
		{"operators", cfg.Operators, &l.operators, quota.Limits{}},
	} {
		if !b.addr.IsValid() {
			continue
		}
		ln, err := b.limits.Listen(b.addr.String())
		if err != nil {
			return l, errors.Wrapf(err, "address for %s", b.name)
		}
		*b.to = ln
	}
	return l, nil
}

// Run serves until ctx ends, then stops without interrupting jobs in progress.
func (n *Node) Run(ctx context.Context) error {
	root, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	n.root = root
	done := n.tree().ServeBackground(root)
	event.ProcessStarted.Log(n.log, "vm", n.cfg.VM, "data_center", n.cfg.DataCenter, "callers", n.cfg.Callers, "peers", n.cfg.Peers, "share", n.cfg.Cores, "id", n.id)
	n.mesh.AddAddresses(n.cfg.Seeds...)
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
	tree.Add(service{"core", n.runCore})
	tree.Add(service{"mesh", n.mesh.Serve})
	tree.Add(service{"operator's topic", n.followOperator().Serve})
	tree.Add(service{"workers' topic", n.followWorkers().Serve})
	for part := range n.platform.Members {
		tree.Add(service{fmt.Sprintf("members' topic, partition %d", part), n.followMembers(part).Serve})
	}
	tree.Add(service{"own record", n.maintainRecord})
	tree.Add(service{"probes", n.probeMembers})
	tree.Add(service{"store watch", n.watchStore})
	tree.Add(service{"gauges", n.exportMetrics})
	tree.Add(service{"callers", n.serveCallers})
	tree.Add(service{"readiness", n.serveReady})
	if n.ln.operators != nil {
		tree.Add(service{"operators", n.serveOperators})
	}
	return tree
}

// service is a suture service with a name for the logs.
type service struct {
	name string
	run  func(ctx context.Context) error
}

// Serve runs the function.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String returns the name.
func (s service) String() string { return s.name }
