package hub

import (
	"context"
	"net/netip"
	"time"

	"snipehub.example/meter"
	"snipehub.example/peer"
	"snipehub.example/roster"
)

// searchEvery is the pause between heartbeats while no other member is known:
// until one is, nobody can find the tickets that this process mints.
const searchEvery = 100 * time.Millisecond

func (h *Hub) heartbeat(ctx context.Context) error {
	sub := h.clock.Subscribe(min(searchEvery, h.cfg.Peers.Heartbeat.D()))
	defer sub.Stop()
	var next time.Time
	for {
		if now := h.clock.Now(); !now.Before(next) || len(h.roster.Peers(1)) == 0 {
			next = now.Add(h.cfg.Peers.Heartbeat.D())
			h.beat(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sub.C:
		}
	}
}

func (h *Hub) beat(ctx context.Context) {
	b := h.roster.Beat(func(m *roster.Member) {
		m.Tables = h.tables.State().Version
		m.Leaving = h.stopping.Load()
		m.FreeSlots = h.place.Free()
	})
	to := h.roster.Peers(h.cfg.Peers.Fanout)
	if len(to) == 0 {
		to = h.cfg.Peers.Seeds
	}
	for _, addr := range to {
		if addr != h.cfg.Listen.Peers {
			go h.beatTo(ctx, addr, b)
		}
	}
}

func (h *Hub) beatTo(ctx context.Context, addr netip.AddrPort, b roster.Beat) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.Peers.Timeout.D())
	defer cancel()
	h.meter.Count(meter.Heartbeats, 1)
	answer, err := peer.Call[roster.Beat](ctx, h.dialer, addr, methodBeat, b)
	if err != nil {
		h.meter.Count(meter.HeartbeatsFailed, 1)
		return
	}
	h.roster.Take(h.clock.Now(), answer)
}
