package hub

import (
	"context"
	"net/netip"

	"snipehub.example/meter"
	"snipehub.example/peer"
	"snipehub.example/roster"
)

func (h *Hub) heartbeat(ctx context.Context) error {
	sub := h.clock.Subscribe(h.cfg.Peers.Heartbeat.D())
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sub.C:
		}
		b := h.roster.Beat(func(m *roster.Member) {
			m.Tables = h.tables.State().Version
			m.Leaving = h.stopping.Load()
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
