package hub

import (
	"context"
	"time"

	"snipehub.example/event"
	"snipehub.example/meter"
	"snipehub.example/roster"
)

const gaugeInterval = time.Second

// memoryLimit reports on a limit of memory: it sets a gauge of the current use, and logs
// an event when the limit was reached since the last update. timesReached is how often it
// had been reached by that update.
type memoryLimit struct {
	gauge        meter.Name
	event        event.ID
	timesReached int64
}

// updateGauges updates the metrics of what is stored for callers, and logs when a limit
// was reached.
func (h *Hub) updateGauges(ctx context.Context) error {
	sub := h.clock.Subscribe(gaugeInterval)
	defer sub.Stop()
	answers := &memoryLimit{gauge: meter.KeptAnswerBytes, event: event.AnswersEvicted}
	tickets := &memoryLimit{gauge: meter.Tickets, event: event.TicketsFull}
	held := &memoryLimit{gauge: meter.HeldBytes, event: event.HeldAnswersDropped}
	keys := &memoryLimit{gauge: meter.Claims, event: event.ClaimsEvicted}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sub.C:
		}
		s := h.owner.Stats()
		h.meter.Gauge(meter.RunningJobs, float64(s.Running))
		h.meter.Gauge(meter.KeptAnswers, float64(s.Kept))
		h.updateLimit(answers, s.KeptBytes, s.EvictedAnswers)
		h.updateLimit(tickets, s.Tickets, s.RefusedTickets+s.RetiredTickets)
		claims, pending, evicted := h.claims.Stats()
		h.meter.Gauge(meter.PendingKeys, float64(pending))
		h.updateLimit(keys, int64(claims), evicted)
		bytes, dropped := h.fwd.closedStore.Stats()
		h.updateLimit(held, bytes, dropped)
		h.meter.Gauge(meter.Windows, float64(s.Tickets*int64(h.cfg.Limits.TicketWindow)))
		h.updateClusterGauges()
	}
}

// updateClusterGauges updates the metrics of the tables and of the other dispatchers.
func (h *Hub) updateClusterGauges() {
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

func (h *Hub) updateLimit(limit *memoryLimit, value, reached int64) {
	h.meter.Gauge(limit.gauge, float64(value))
	if reached > limit.timesReached {
		limit.event.Log(h.log, "times", reached-limit.timesReached)
	}
	limit.timesReached = reached
}
