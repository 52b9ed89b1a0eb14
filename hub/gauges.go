package hub

import (
	"context"
	"time"

	"snipehub.example/event"
	"snipehub.example/meter"
	"snipehub.example/roster"
)

const gaugeEvery = time.Second

// bound is a limit of memory: a gauge of what is there, and a count of how
// often the limit was reached, whose growth is logged.
type bound struct {
	gauge meter.Name
	event event.ID
	seen  int64
}

// gauges keeps the metrics of what is remembered for callers, and logs when a
// limit is reached.
func (h *Hub) gauges(ctx context.Context) error {
	sub := h.clock.Subscribe(gaugeEvery)
	defer sub.Stop()
	answers := &bound{gauge: meter.KeptAnswerBytes, event: event.AnswersEvicted}
	tickets := &bound{gauge: meter.Tickets, event: event.TicketsFull}
	held := &bound{gauge: meter.HeldBytes, event: event.HeldAnswersDropped}
	keys := &bound{gauge: meter.Claims, event: event.ClaimsEvicted}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sub.C:
		}
		s := h.owner.Stats()
		h.meter.Gauge(meter.RunningJobs, float64(s.Running))
		h.meter.Gauge(meter.KeptAnswers, float64(s.Kept))
		h.observe(answers, s.KeptBytes, s.EvictedAnswers)
		h.observe(tickets, s.Tickets, s.RefusedTickets+s.RetiredTickets)
		claims, pending, evicted := h.claims.Stats()
		h.meter.Gauge(meter.PendingKeys, float64(pending))
		h.observe(keys, int64(claims), evicted)
		bytes, dropped := h.fwd.closedStore.Stats()
		h.observe(held, bytes, dropped)
		h.meter.Gauge(meter.Windows, float64(s.Tickets*int64(h.cfg.Limits.TicketWindow)))
		h.observeOthers()
	}
}

// observeOthers keeps the metrics of the tables and of the other dispatchers.
func (h *Hub) observeOthers() {
	now := h.clock.Now()
	h.meter.Gauge(meter.TablesVersion, float64(h.tables.State().Version))
	h.meter.Gauge(meter.TablesAge, now.Sub(h.tables.Confirmed()).Seconds())
	live, suspect := 0, 0
	for _, k := range h.roster.All(now) {
		switch k.State {
		case roster.Live:
			live++
		case roster.Suspect:
			suspect++
		}
	}
	h.meter.Gauge(meter.MembersLive, float64(live))
	h.meter.Gauge(meter.MembersSuspect, float64(suspect))
}

func (h *Hub) observe(b *bound, value, reached int64) {
	h.meter.Gauge(b.gauge, float64(value))
	if reached > b.seen {
		b.event.Log(h.log, "times", reached-b.seen)
	}
	b.seen = reached
}
