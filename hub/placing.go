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

// member returns this process as it joins the roster.
func (h *Hub) member() roster.Member {
	return roster.Member{
		Owner:       h.self,
		Address:     h.cfg.Listen.Peers,
		Connections: h.cfg.Dispatch.Connections,
	}
}

// placing makes the dispatcher that the settings ask for.
func (h *Hub) placing() *dispatch.Dispatcher {
	cfg := h.cfg.Dispatch
	chosen, _ := policy.Find(cfg.Policy)
	return dispatch.New(dispatch.Config{
		Self: h.member(),
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

// methodHand hands tasks over to a peer.
const methodHand = "hand"

// handOver connects the dispatcher to its peers: it takes tasks over from them,
// and with a policy that hands over it gives them some.
func (h *Hub) handOver() {
	h.guests = handover.NewReceiver(h.self, h.place, h.clock.Now)
	peer.Handle(h.peers, methodHand, h.guests.Handle)
	chosen, _ := policy.Find(h.cfg.Dispatch.Policy)
	if chosen.Policy.HandsOver() {
		h.place.SetSender(handover.NewSender(h.self, neighbours{h}, h.clock.Now))
	}
}

// neighbours carries hand-overs over the connections between dispatchers.
type neighbours struct{ h *Hub }

// Ask sends a request and returns the response.
func (n neighbours) Ask(ctx context.Context, to roster.Known, r handover.Request) (handover.Response, error) {
	n.h.meter.Count(meter.HandoverCalls, 1)
	out, err := peer.Call[handover.Response](ctx, n.h.dialer, to.Address, methodHand, r)
	if errors.Is(err, peer.ErrNotSent) {
		return out, errors.Wrap(handover.ErrNotSent, err.Error())
	}
	return out, err
}

// Gone tells whether the incarnation is gone for good.
func (n neighbours) Gone(o ticket.Owner) bool {
	k, ok := n.h.roster.Find(n.h.clock.Now(), o)
	return ok && k.State == roster.Gone
}
