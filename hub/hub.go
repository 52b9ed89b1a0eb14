// Package hub assembles a dispatcher process out of its parts, under one
// supervisor tree, and carries its planned stop.
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
	cfg    settings.Config
	net    Network
	log    *slog.Logger
	self   ticket.Owner
	clock  *clock.Service
	meter  *meter.Meter
	tables *tables.Follower
	roster *roster.Roster
	dialer *peer.Dialer
	peers  *peer.Server
	place  *dispatch.Dispatcher
	guests *handover.Receiver
	owner  *job.Owner
	fwd    *forwarder
	desk   *desk
	claims *claim.Claimer
	http   *http.Server
	ln     listeners
	certs  *certificate.Set

	ledger   countedLog
	platform *platform
	stopping atomic.Bool
	// fetching is set while the tables are fetched from a peer.
	fetching atomic.Bool
	// allowed is the last answer to whether work may be placed, cutOffOK
	// whether it may be although the tables are not confirmed.
	allowed, cutOffOK atomic.Bool
}

// Network is the way to listen and to connect. Tests put one in memory in its
// place, to run several dispatchers on a fake clock.
type Network interface {
	Listen(network, addr string) (net.Listener, error)
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// dialTimeout bounds the opening of a connection.
const dialTimeout = time.Second

// TCP is the network of the operating system.
type TCP struct{}

// Listen listens on a TCP address.
func (TCP) Listen(network, addr string) (net.Listener, error) {
	return net.Listen(network, addr)
}

// DialContext connects to a TCP address.
func (TCP) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
}

// New binds the addresses of the settings and makes the parts.
func New(cfg settings.Config, log *slog.Logger, nw Network) (*Hub, error) {
	certs, err := certificate.Load(cfg.TLS)
	if err != nil {
		return nil, err
	}
	ln, err := bind(cfg.Listen, nw)
	if err != nil {
		return nil, err
	}
	ln.secure(certs)
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
	h.platform = newPlatform(cfg.Peers)
	h.place = h.placing()
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
		net:         dialed{h.dialer},
		members:     h.roster,
		closedStore: job.NewClosedStore(cfg.Limits.HeldBytes, cfg.Limits.KeptAnswerFor.D(), h.clock.Now),
		stopping:    h.stopping.Load,
		waiting:     make(map[*awaited]struct{}),
		unheld:      make(map[ticket.Owner]time.Time),
	}
	h.claims = claim.New(claim.Config{
		Claims:         cfg.Limits.Claims,
		Pending:        cfg.Limits.PendingKeys,
		Skew:           cfg.Limits.KeySkew.D(),
		LogTimeout:     cfg.Platform.Timeout.D(),
		MarkerInterval: markerInterval,
	}, h.ledger, h.clock.Now, h.appendShare, h.owner.Reserve)
	h.desk = &desk{self: h.self, owner: h.owner, fwd: h.fwd, keys: h.claims, tables: h.tables.State}
	h.handlePeers()
	h.handOver()
	h.http = counter.NewServer(cfg.Limits, counter.New(h.log, cfg, callerService{h.desk, h}, h.meter))
}

// Addr returns the address that callers are served at.
func (h *Hub) Addr() netip.AddrPort {
	return h.ln.callers.Addr().(*net.TCPAddr).AddrPort()
}

// Run serves until ctx ends, then stops without cutting what is in flight.
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

// stop ends the callers' requests first and the parts that they need last.
func (h *Hub) stop() {
	event.ProcessStopping.Log(h.log)
	h.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), h.cfg.Limits.StopDeadline.D())
	defer cancel()
	h.guests.Stop()
	h.finish(ctx)
	h.fwd.handOver(ctx, append(h.owner.ClosedParts(h.cfg.Limits.HandoffBytes), h.fwd.closedStore.ClosedParts()...))
	_ = h.http.Shutdown(ctx)
	h.guests.Drain(ctx)
	h.peers.Drain(ctx)
}

// finish waits for what runs, for at most three quarters of the stop deadline.
// The rest is for handing over: a job on a hung backend server would else use
// up the deadline, and every other caller would lose the answers that were not
// yet fetched.
func (h *Hub) finish(ctx context.Context) {
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
	root.Add(h.place)
	root.Add(h.peers)
	root.Add(service("snapshots", h.snapshots))
	root.Add(service("VM list", h.watchVMs))
	root.Add(service("standing", h.watchStanding))
	root.Add(service("heartbeat", h.heartbeat))
	root.Add(service("callers", h.serveHTTP))
	root.Add(service("forwards", h.watchForwards))
	root.Add(service("gauges", h.gauges))
	if !h.certs.Expires().IsZero() {
		root.Add(service("certificates", h.refreshKeys))
	}
	if h.ln.operators != nil {
		root.Add(service("operators", h.serveOperators))
	}
	root.Add(service("claim reads", h.claims.ServeReads))
	root.Add(service("claim appends", h.claims.ServeAppends))
	return root
}

// namedService makes a function a suture service with a name in the logs.
type namedService struct {
	name string
	run  func(ctx context.Context) error
}

func service(name string, run func(ctx context.Context) error) suture.Service {
	return namedService{name, run}
}

// Serve runs the function.
func (s namedService) Serve(ctx context.Context) error { return s.run(ctx) }

// String names the service.
func (s namedService) String() string { return s.name }

func (h *Hub) serveHTTP(ctx context.Context) error {
	err := h.http.Serve(h.ln.callers)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return suture.ErrDoNotRestart
	}
	return err
}

// callerService is what stands behind the counter.
type callerService struct {
	*desk
	*Hub
}

func (h *Hub) handlePeers() {
	h.handleMembers()
	peer.Handle(h.peers, methodStatus, func(context.Context, struct{}) (Status, error) {
		return h.status(), nil
	})
	h.desk.handle(h.peers)
}

// markerInterval is how old the newest claim on the log may get; see claim.Config.
const markerInterval = time.Minute

// appendShare is this process's part of the append rate: all dispatchers that
// are not gone share it alike.
func (h *Hub) appendShare() float64 {
	n := 1
	for _, k := range h.roster.All(h.clock.Now()) {
		if k.State != roster.Gone {
			n++
		}
	}
	return h.cfg.Platform.AppendRate / float64(n)
}

func (h *Hub) watchForwards(ctx context.Context) error {
	return h.each(ctx, watchEvery, func(now time.Time) error {
		h.fwd.watch(now)
		return nil
	})
}

// each calls do once a period, until it fails or ctx ends.
func (h *Hub) each(ctx context.Context, period time.Duration, do func(now time.Time) error) error {
	sub := h.clock.Subscribe(period)
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-sub.C:
			if err := do(now); err != nil {
				return err
			}
		}
	}
}

// Ready tells whether the balancer should send callers here.
func (h *Hub) Ready() bool {
	return !h.stopping.Load() && h.tables.State().Version != ledger.None && h.mayPlace(h.clock.Now()) && h.claims.Ready()
}
