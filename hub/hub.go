// Package hub assembles the parts of a dispatcher process under one supervisor tree and
// performs its planned stop.
package hub

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/thejerf/suture/v4"

	"snipehub.example/certificate"
	"snipehub.example/claim"
	"snipehub.example/clock"
	"snipehub.example/counter"
	"snipehub.example/dispatch"
	"snipehub.example/dispatch/handover"
	"snipehub.example/event"
	"snipehub.example/job"
	"snipehub.example/ledger"
	"snipehub.example/meter"
	"snipehub.example/peer"
	"snipehub.example/roster"
	"snipehub.example/settings"
	"snipehub.example/tables"
	"snipehub.example/ticket"
)

// Hub is one dispatcher process.
type Hub struct {
	cfg        settings.Config
	net        Network
	log        *slog.Logger
	self       ticket.Owner
	clock      *clock.Service
	meter      *meter.Meter
	tables     *tables.Follower
	roster     *roster.Roster
	dialer     *peer.Dialer
	peers      *peer.Server
	dispatcher *dispatch.Dispatcher
	handovers  *handover.Receiver
	owner      *job.Owner
	fwd        *forwarder
	jobService *jobService
	claims     *claim.Claimer
	http       *http.Server
	ln         listeners
	certs      *certificate.Set

	ledger   countedLog
	knownVMs *knownVMs
	stopping atomic.Bool
	// fetchingTables is set while the tables are being fetched from a peer.
	fetchingTables atomic.Bool
	// placingAllowed is the latest result of the check whether this process may place
	// work. placingAllowedUnconfirmed is set if it may place work although its tables
	// have not been confirmed within the settle time.
	placingAllowed, placingAllowedUnconfirmed atomic.Bool
}

// Network opens listeners and connections. Tests substitute an in-memory network, so that
// several dispatchers run on a fake clock.
type Network interface {
	Listen(network, addr string) (net.Listener, error)
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// dialTimeout bounds how long opening a connection may take.
const dialTimeout = time.Second

// TCP is the operating system's network.
type TCP struct{}

// Listen listens on a TCP address.
func (TCP) Listen(network, addr string) (net.Listener, error) {
	return net.Listen(network, addr)
}

// DialContext connects to a TCP address.
func (TCP) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
}

// New binds the addresses in cfg and creates the parts of the process.
func New(cfg settings.Config, log *slog.Logger, nw Network) (*Hub, error) {
	certs, err := certificate.Load(cfg.TLS)
	if err != nil {
		return nil, err
	}
	ln, err := listenAll(cfg.Listen, nw)
	if err != nil {
		return nil, err
	}
	ln.enableTLS(certs)
	h := &Hub{
		cfg:   cfg,
		net:   nw,
		log:   log,
		ln:    ln,
		certs: certs,
		clock: clock.New(),
		meter: meter.New(cfg.Limits.MetricSeries, func() { event.MetricsFull.Log(log) }),
		self: ticket.Owner{
			DataCenter:  cfg.Process.DataCenter,
			VM:          cfg.Process.VM,
			Process:     cfg.Process.Name,
			Incarnation: uint64(time.Now().UnixNano()),
		},
	}
	h.build()
	return h, nil
}

func (h *Hub) build() {
	cfg := h.cfg
	h.ledger = countedLog{ledger.New(cfg.Platform.Log, cfg.Platform.VMs, cfg.Platform.Timeout.D(), h.net.DialContext), h.meter}
	h.tables = h.newTables()
	h.knownVMs = newKnownVMs(cfg.Peers)
	h.dispatcher = h.newDispatcher()
	h.owner = job.New(h.self, gate{h}, job.Limits{
		Tickets:         cfg.Limits.Tickets,
		Range:           cfg.Limits.TicketRange,
		Window:          cfg.Limits.TicketWindow,
		KeptBytes:       cfg.Limits.KeptAnswerBytes,
		AnswerRetention: cfg.Limits.KeptAnswerFor.D(),
		JobTimeout:      cfg.Limits.JobTimeout.D(),
	}, h.clock.Now)
	h.roster = h.newRoster()
	h.dialer = peer.NewDialer(h.certs.PeerClient(), cfg.Peers.Timeout.D(), h.net.DialContext)
	h.peers = peer.NewServer(h.log, h.ln.peers)
	h.fwd = &forwarder{
		log:         h.log,
		meter:       h.meter,
		self:        h.self,
		address:     cfg.Listen.Peers,
		seeds:       cfg.Peers.Seeds,
		now:         h.clock.Now,
		net:         dialerClient{h.dialer},
		members:     h.roster,
		closedStore: job.NewClosedStore(cfg.Limits.HeldBytes, cfg.Limits.KeptAnswerFor.D(), h.clock.Now),
		stopping:    h.stopping.Load,
		inFlight:    make(map[*inFlightCall]struct{}),
		unheldAt:    make(map[ticket.Owner]time.Time),
	}
	h.claims = claim.New(claim.Config{
		Claims:         cfg.Limits.Claims,
		Pending:        cfg.Limits.PendingKeys,
		Skew:           cfg.Limits.KeySkew.D(),
		LogTimeout:     cfg.Platform.Timeout.D(),
		MarkerInterval: markerInterval,
	}, h.ledger, h.clock.Now, h.appendRateShare, h.owner.Reserve)
	h.jobService = &jobService{self: h.self, owner: h.owner, fwd: h.fwd, keys: h.claims, tables: h.tables.State}
	h.registerPeerMethods()
	h.setUpHandover()
	h.http = counter.NewServer(cfg.Limits, counter.New(h.log, cfg, callerService{h.jobService, h}, h.meter))
}

// Addr returns the address on which callers are served.
func (h *Hub) Addr() netip.AddrPort {
	return h.ln.callers.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves until ctx ends, then performs a planned stop that lets the requests in
// flight complete within the stop deadline.
func (h *Hub) Run(ctx context.Context) error {
	root, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	tree := h.tree()
	done := tree.ServeBackground(root)
	event.ProcessStarted.Log(h.log, "callers", h.cfg.Listen.Callers, "peers", h.cfg.Listen.Peers, "incarnation", h.self.Incarnation)
	<-ctx.Done()
	h.stop()
	cancel()
	<-done
	h.dialer.Close()
	h.meter.Close()
	event.ProcessStopped.Log(h.log)
	return nil
}

// stop waits for the callers' work first, and last for the hand-overs and peer calls that
// this work depends on.
func (h *Hub) stop() {
	event.ProcessStopping.Log(h.log)
	h.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), h.cfg.Limits.StopDeadline.D())
	defer cancel()
	h.handovers.Stop()
	h.finishJobs(ctx)
	h.fwd.transferClosed(ctx, append(h.owner.ClosedParts(h.cfg.Limits.HandoffBytes), h.fwd.closedStore.ClosedParts()...))
	_ = h.http.Shutdown(ctx)
	h.handovers.Drain(ctx)
	h.peers.Drain(ctx)
}

// finishJobs waits for running jobs, for at most three quarters of the stop deadline. The
// remainder is for transferring closed state: otherwise a job on a hung backend server
// would use up the deadline, and all other callers would lose the answers that they have
// not yet fetched.
func (h *Hub) finishJobs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Limits.StopDeadline.D()*3/4)
	defer cancel()
	_ = h.owner.Stop(ctx)
}

func (h *Hub) tree() *suture.Supervisor {
	root := suture.New("hub", suture.Spec{
		EventHook: func(e suture.Event) {
			if e.Type() == suture.EventTypeServicePanic || e.Type() == suture.EventTypeServiceTerminate {
				event.ServiceFailed.Log(h.log, "detail", e.String())
			}
		},
		Timeout: 2 * time.Second,
	})
	root.Add(h.clock)
	root.Add(h.tables)
	root.Add(h.dispatcher)
	root.Add(h.peers)
	root.Add(newService("snapshots", h.appendSnapshots))
	root.Add(newService("VM list", h.watchVMs))
	root.Add(newService("standing", h.watchPlacement))
	root.Add(newService("heartbeat", h.runHeartbeats))
	root.Add(newService("callers", h.serveHTTP))
	root.Add(newService("forwards", h.watchForwards))
	root.Add(newService("gauges", h.updateGauges))
	if !h.certs.Expires().IsZero() {
		root.Add(newService("certificates", h.refreshCertificates))
	}
	if h.ln.operators != nil {
		root.Add(newService("operators", h.serveOperators))
	}
	root.Add(newService("claim reads", h.claims.ServeReads))
	root.Add(newService("claim appends", h.claims.ServeAppends))
	return root
}

// namedService adapts a function to suture.Service and gives it a name in the logs.
type namedService struct {
	name string
	run  func(ctx context.Context) error
}

func newService(name string, run func(ctx context.Context) error) suture.Service {
	return namedService{name, run}
}

// Serve runs the function.
func (s namedService) Serve(ctx context.Context) error { return s.run(ctx) }

// String returns the name of the service.
func (s namedService) String() string { return s.name }

func (h *Hub) serveHTTP(ctx context.Context) error {
	err := h.http.Serve(h.ln.callers)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return suture.ErrDoNotRestart
	}
	return err
}

// callerService is the backend of the HTTP API for callers.
type callerService struct {
	*jobService
	*Hub
}

func (h *Hub) registerPeerMethods() {
	h.registerMemberMethods()
	peer.Handle(h.peers, methodStatus, func(context.Context, struct{}) (Status, error) {
		return h.status(), nil
	})
	h.jobService.registerMethods(h.peers)
}

// markerInterval is the age of the newest claim in the log at which a marker is due; see
// claim.Config.
const markerInterval = time.Minute

// appendRateShare returns this process's share of the append rate, which is divided
// equally among the dispatchers that are not gone.
func (h *Hub) appendRateShare() float64 {
	n := 1
	for _, k := range h.roster.All(h.clock.Now()) {
		if k.State != roster.Gone {
			n++
		}
	}
	return h.cfg.Platform.AppendRate / float64(n)
}

func (h *Hub) watchForwards(ctx context.Context) error {
	return h.runEvery(ctx, watchInterval, func(now time.Time) error {
		h.fwd.cancelLostCalls(now)
		return nil
	})
}

// runEvery calls fn once per period until fn fails or ctx ends.
func (h *Hub) runEvery(ctx context.Context, period time.Duration, fn func(now time.Time) error) error {
	sub := h.clock.Subscribe(period)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-sub.C:
			if err := fn(now); err != nil {
				return err
			}
		}
	}
}

// Ready reports whether the load balancer should send callers to this process.
func (h *Hub) Ready() bool {
	return !h.stopping.Load() && h.tables.State().Version != ledger.None && h.mayPlace(h.clock.Now()) && h.claims.Ready()
}
