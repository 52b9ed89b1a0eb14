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

	"snipehub.example/clock"
	"snipehub.example/counter"
	"snipehub.example/delivery"
	"snipehub.example/dispatch"
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
	owner  *job.Owner
	http   *http.Server
	ln     net.Listener

	ledger   *ledger.Client
	platform *platform
	stopping atomic.Bool
	// fetching is set while the tables are fetched from a peer.
	fetching atomic.Bool
	// placing is the last answer to whether work may be placed, cutOffOK
	// whether it may be although the tables are not confirmed.
	placing, cutOffOK atomic.Bool
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
	ln, err := nw.Listen("tcp", cfg.Listen.Callers.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen.callers")
	}
	pln, err := nw.Listen("tcp", cfg.Listen.Peers.String())
	if err != nil {
		_ = ln.Close()
		return nil, errors.Wrap(err, "listen.peers")
	}
	h := &Hub{
		cfg:   cfg,
		net:   nw,
		log:   log,
		ln:    ln,
		clock: clock.New(),
		meter: meter.New(),
		self: ticket.Owner{
			DataCenter:  cfg.Process.DataCenter,
			VM:          cfg.Process.VM,
			Process:     cfg.Process.Name,
			Incarnation: uint64(time.Now().UnixNano()),
		},
	}
	h.build(pln)
	return h, nil
}

func (h *Hub) build(pln net.Listener) {
	cfg := h.cfg
	h.ledger = ledger.New(cfg.Platform.Log, cfg.Platform.VMs, cfg.Platform.Timeout.D(), h.net.DialContext)
	h.tables = h.newTables()
	h.platform = newPlatform(cfg.Peers)
	h.place = dispatch.New(dispatch.Config{
		DataCenter:  cfg.Process.DataCenter,
		Connections: cfg.Dispatch.Connections,
		QueuedTasks: cfg.Limits.QueuedTasks,
		TaskTimeout: cfg.Dispatch.TaskTimeout.D(),
	}, delivery.New(cfg.Limits.AnswerBytes, cfg.Dispatch.Connections, h.net.DialContext), directory{h})
	h.owner = job.New(h.self, gate{h}, job.Limits{
		Tickets:    cfg.Limits.Tickets,
		Range:      cfg.Limits.TicketRange,
		Window:     cfg.Limits.TicketWindow,
		KeptBytes:  cfg.Limits.KeptAnswerBytes,
		KeptFor:    cfg.Limits.KeptAnswerFor.D(),
		JobTimeout: cfg.Limits.WriteTimeout.D(),
	})
	h.roster = h.newRoster()
	h.dialer = peer.NewDialer(nil, cfg.Peers.Timeout.D(), h.net.DialContext)
	h.peers = peer.NewServer(h.log, pln)
	h.handlePeers()
	h.http = &http.Server{
		Handler:           counter.New(h.log, cfg, h, h.meter),
		ReadHeaderTimeout: cfg.Limits.ReadTimeout.D(),
		ReadTimeout:       cfg.Limits.ReadTimeout.D(),
		WriteTimeout:      cfg.Limits.WriteTimeout.D(),
		MaxHeaderBytes:    cfg.Limits.HeaderBytes,
	}
}

// Addr returns the address that callers are served at.
func (h *Hub) Addr() netip.AddrPort {
	return h.ln.Addr().(*net.TCPAddr).AddrPort()
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
	event.ProcessStopped.Log(h.log)
	return nil
}

// stop ends the callers' requests first and the parts that they need last.
func (h *Hub) stop() {
	event.ProcessStopping.Log(h.log)
	h.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), h.cfg.Limits.StopDeadline.D())
	defer cancel()
	_ = h.owner.Stop(ctx)
	_ = h.http.Shutdown(ctx)
	h.peers.Drain(ctx)
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
	err := h.http.Serve(h.ln)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return suture.ErrDoNotRestart
	}
	return err
}

// Ready tells whether the balancer should send callers here.
func (h *Hub) Ready() bool {
	return !h.stopping.Load() && h.tables.State().Version != ledger.None && h.mayPlace(h.clock.Now())
}

// Status is what operators see of a dispatcher.
type Status struct {
	Self   roster.Member  `json:"self"`
	Tables tables.Version `json:"tables"`
	// TablesAgeMS is the time since the tables were last confirmed.
	TablesAgeMS int64          `json:"tables_age_ms"`
	Ready       bool           `json:"ready"`
	Roster      []roster.Known `json:"roster"`
}

// Status returns the status of this process.
func (h *Hub) Status() any {
	now := h.clock.Now()
	return Status{
		Self:        h.roster.Self(),
		Tables:      h.tables.State().Version,
		TablesAgeMS: now.Sub(h.tables.Confirmed()).Milliseconds(),
		Ready:       h.Ready(),
		Roster:      h.roster.All(now),
	}
}
