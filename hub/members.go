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

// methodTables asks a peer for the tables.
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
	return roster.New(h.member(), cfg, rnd, h.describe, h.memberChanged)
}

// describe fills in what a heartbeat tells of this process.
func (h *Hub) describe(now time.Time, m *roster.Member) {
	m.Tables = h.tables.State().Version
	m.Leaving = h.stopping.Load()
	m.FreeSlots = h.place.Free()
	m.Connections = h.cfg.Dispatch.Connections
	if at := h.tables.Confirmed(); !at.IsZero() {
		m.Confirmed, m.Age = true, max(0, now.Sub(at))
	}
}

func (h *Hub) memberChanged(c roster.Change) {
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

// handleMembers answers what the peers' rosters and tables ask.
func (h *Hub) handleMembers() {
	peer.Handle(h.peers, methodBeat, func(_ context.Context, b roster.Heartbeat) (roster.Heartbeat, error) {
		return h.roster.Answer(h.clock.Now(), b), nil
	})
	peer.Handle(h.peers, methodTables, func(_ context.Context, a tables.FetchRequest) (tables.FetchReply, error) {
		return h.tables.FetchReply(a)
	})
}

// searchEvery is the pause between heartbeats while no other member is known:
// until one is, nobody can find the tickets that this process mints.
const searchEvery = 100 * time.Millisecond

func (h *Hub) heartbeat(ctx context.Context) error {
	sub := h.clock.Subscribe(min(searchEvery, h.cfg.Peers.Heartbeat.D()))
	defer sub.Stop()
	var next time.Time
	for {
		if now := h.clock.Now(); !now.Before(next) || h.roster.Len() == 0 {
			next = now.Add(h.cfg.Peers.Heartbeat.D())
			h.beat(ctx, now)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sub.C:
		}
	}
}

func (h *Hub) beat(ctx context.Context, now time.Time) {
	b, to := h.roster.Heartbeat(now, h.cfg.Peers.Fanout, h.platform.addresses())
	for _, addr := range to {
		if addr != h.cfg.Listen.Peers {
			go h.beatTo(ctx, addr, b)
		}
	}
}

func (h *Hub) beatTo(ctx context.Context, addr netip.AddrPort, b roster.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Peers.Timeout.D())
	defer cancel()
	h.meter.Count(meter.Heartbeats, 1)
	sent := h.clock.Now()
	answer, err := peer.Call[roster.Heartbeat](ctx, h.dialer, addr, methodBeat, b)
	now := h.clock.Now()
	if err != nil {
		h.meter.Count(meter.HeartbeatsFailed, 1)
		h.roster.Failed(now, addr)
		return
	}
	h.roster.Answered(sent, now, addr, answer)
	h.learnTables(ctx, addr, sent, answer.From)
}

// learnTables takes what a peer told of its tables: their version, which is
// fetched when the log does not bring it, and the age of its confirmation.
func (h *Hub) learnTables(ctx context.Context, addr netip.AddrPort, sent time.Time, m roster.Member) {
	if h.tables.ShouldFetch(h.clock.Now(), m.Tables) && h.fetching.CompareAndSwap(false, true) {
		h.fetch(ctx, addr)
		h.fetching.Store(false)
	}
	if m.Confirmed {
		h.tables.Confirm(m.Tables, sent, m.Age)
	}
}

func (h *Hub) fetch(ctx context.Context, addr netip.AddrPort) {
	b, err := peer.Call[tables.FetchReply](ctx, h.dialer, addr, methodTables, h.tables.FetchRequest())
	if err == nil {
		err = h.tables.ApplyReply(b)
	}
	if err != nil {
		event.TablesNotFetched.Log(h.log, "peer", addr, "error", err)
	}
}
