package hub

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"snipehub.example/event"
	"snipehub.example/meter"
	"snipehub.example/peer"
	"snipehub.example/roster"
	"snipehub.example/tables"
)

// methodTables fetches the tables from a peer.
const methodTables = "tables"

func (h *Hub) newRoster() *roster.Roster {
	p := h.cfg.Peers
	cfg := roster.Config{
		SuspectAfter: p.SuspectAfter.D(),
		GoneAfter:    p.GoneAfter.D(),
		KeepGone:     p.KeepGone.D(),
		MaxMembers:   p.Members,
		MaxNews:      p.News,
	}
	rnd := rand.New(rand.NewPCG(h.self.Incarnation, 1))
	return roster.New(h.selfMember(), cfg, rnd, h.fillHeartbeat, h.logMemberChange)
}

// fillHeartbeat sets the fields of a heartbeat that describe the state of this process.
func (h *Hub) fillHeartbeat(now time.Time, m *roster.Member) {
	m.Tables = h.tables.State().Version
	m.Leaving = h.stopping.Load()
	m.FreeSlots = h.dispatcher.Free()
	m.Connections = h.cfg.Dispatch.Connections
	if at := h.tables.Confirmed(); !at.IsZero() {
		m.Confirmed, m.Age = true, max(0, now.Sub(at))
	}
}

func (h *Hub) logMemberChange(c roster.Change) {
	id := event.MemberJoined
	switch {
	case c.Disowned:
		id = event.PresumedGone
	case c.Full:
		id = event.RosterFull
	case c.State == roster.Suspect:
		id = event.MemberSuspect
	case c.State == roster.Gone:
		id = event.MemberGone
	}
	id.Log(h.log, "owner", c.Owner, "address", c.Address, "state", c.State)
}

// registerMemberMethods registers the methods by which peers send heartbeats and fetch the
// tables.
func (h *Hub) registerMemberMethods() {
	peer.Handle(h.peers, methodHeartbeat, func(_ context.Context, b roster.Heartbeat) (roster.Heartbeat, error) {
		return h.roster.Answer(h.clock.Now(), b), nil
	})
	peer.Handle(h.peers, methodTables, func(_ context.Context, a tables.FetchRequest) (tables.FetchReply, error) {
		return h.tables.FetchReply(a)
	})
}

// aloneHeartbeatInterval is the longest interval between heartbeats while no other member
// is known: until one is, no other process can find the tickets that this process mints.
const aloneHeartbeatInterval = 100 * time.Millisecond

func (h *Hub) runHeartbeats(ctx context.Context) error {
	sub := h.clock.Subscribe(min(aloneHeartbeatInterval, h.cfg.Peers.Heartbeat.D()))
	defer sub.Stop()
	var next time.Time
	for {
		if now := h.clock.Now(); !now.Before(next) || h.roster.Len() == 0 {
			next = now.Add(h.cfg.Peers.Heartbeat.D())
			h.sendHeartbeats(ctx, now)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sub.C:
		}
	}
}

func (h *Hub) sendHeartbeats(ctx context.Context, now time.Time) {
	b, to := h.roster.Heartbeat(now, h.cfg.Peers.Fanout, h.knownVMs.dispatcherAddresses())
	for _, addr := range to {
		if addr != h.cfg.Listen.Peers {
			go h.sendHeartbeat(ctx, addr, b)
		}
	}
}

func (h *Hub) sendHeartbeat(ctx context.Context, addr netip.AddrPort, b roster.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Peers.Timeout.D())
	defer cancel()
	h.meter.Count(meter.Heartbeats, 1)
	sent := h.clock.Now()
	answer, err := peer.Call[roster.Heartbeat](ctx, h.dialer, addr, methodHeartbeat, b)
	now := h.clock.Now()
	if err != nil {
		h.meter.Count(meter.HeartbeatsFailed, 1)
		h.roster.Failed(now, addr)
		return
	}
	h.roster.Answered(sent, now, addr, answer)
	h.learnTables(ctx, addr, sent, answer.From)
}

// learnTables processes what a peer reported about its tables: it fetches their version
// if the log does not deliver it, and adopts the age of the peer's confirmation.
func (h *Hub) learnTables(ctx context.Context, addr netip.AddrPort, sent time.Time, m roster.Member) {
	if h.tables.ShouldFetch(h.clock.Now(), m.Tables) && h.fetchingTables.CompareAndSwap(false, true) {
		h.fetchTables(ctx, addr)
		h.fetchingTables.Store(false)
	}
	if m.Confirmed {
		h.tables.Confirm(m.Tables, sent, m.Age)
	}
}

func (h *Hub) fetchTables(ctx context.Context, addr netip.AddrPort) {
	b, err := peer.Call[tables.FetchReply](ctx, h.dialer, addr, methodTables, h.tables.FetchRequest())
	if err == nil {
		err = h.tables.ApplyReply(b)
	}
	if err != nil {
		event.TablesNotFetched.Log(h.log, "peer", addr, "error", err)
	}
}
