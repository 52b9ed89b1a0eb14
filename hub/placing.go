package hub

import (
	"context"

	"github.com/go-faster/errors"

	"snipehub.example/delivery"
	"snipehub.example/dispatch"
	"snipehub.example/dispatch/handover"
	"snipehub.example/dispatch/plan"
	"snipehub.example/dispatch/policy"
	"snipehub.example/meter"
	"snipehub.example/peer"
	"snipehub.example/roster"
	"snipehub.example/ticket"
)

// selfMember returns the roster entry with which this process joins.
func (h *Hub) selfMember() roster.Member {
	return roster.Member{
		Owner:       h.self,
		Address:     h.cfg.Listen.Peers,
		Connections: h.cfg.Dispatch.Connections,
	}
}

// newDispatcher returns a dispatcher configured from the settings.
func (h *Hub) newDispatcher() *dispatch.Dispatcher {
	cfg := h.cfg.Dispatch
	chosen, _ := policy.Find(cfg.Policy)
	return dispatch.New(dispatch.Config{
		Self: h.selfMember(),
		Config: plan.Config{
			DataCenter:       h.cfg.Process.DataCenter,
			Policy:           chosen.Policy,
			Connections:      cfg.Connections,
			JobSlots:         cfg.JobSlots,
			QueuedTasks:      h.cfg.Limits.QueuedTasks,
			Attempts:         cfg.Attempts,
			TaskTimeout:      cfg.TaskTimeout.D(),
			MaxWait:          cfg.MaxWait.D(),
			RetryBudget:      cfg.RetryBudget,
			HandoverAfter:    cfg.HandAfter.D(),
			MinHandoverTasks: cfg.HandLeast,
			MaxEjectedShare:  cfg.AsideShare,
		},
	}, delivery.New(h.cfg.Limits.AnswerBytes, cfg.Connections, h.net.DialContext), directory{h}, h.clock, h.log, h.meter)
}

// methodHandover hands tasks over to a peer.
const methodHandover = "hand"

// setUpHandover connects the dispatcher to its peers: it accepts tasks from them, and
// hands tasks over to them if its policy uses hand-overs.
func (h *Hub) setUpHandover() {
	h.handovers = handover.NewReceiver(h.self, h.dispatcher, h.clock.Now)
	peer.Handle(h.peers, methodHandover, h.handovers.Handle)
	chosen, _ := policy.Find(h.cfg.Dispatch.Policy)
	if chosen.Policy.HandsOver() {
		h.dispatcher.SetSender(handover.NewSender(h.self, handoverTransport{h}, h.clock.Now))
	}
}

// handoverTransport sends hand-over requests over the connections between dispatchers.
type handoverTransport struct{ h *Hub }

// Ask sends a request and returns the response.
func (n handoverTransport) Ask(ctx context.Context, to roster.Known, r handover.Request) (handover.Response, error) {
	n.h.meter.Count(meter.HandoverCalls, 1)
	out, err := peer.Call[handover.Response](ctx, n.h.dialer, to.Address, methodHandover, r)
	if errors.Is(err, peer.ErrNotSent) {
		return out, errors.Wrap(handover.ErrNotSent, err.Error())
	}
	return out, err
}

// Gone reports whether the incarnation is permanently gone.
func (n handoverTransport) Gone(o ticket.Owner) bool {
	k, ok := n.h.roster.Find(n.h.clock.Now(), o)
	return ok && k.State == roster.Gone
}
