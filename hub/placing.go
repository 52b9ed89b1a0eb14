package hub

import (
	"snipehub.example/delivery"
	"snipehub.example/dispatch"
	"snipehub.example/dispatch/plan"
	"snipehub.example/dispatch/policy"
	"snipehub.example/roster"
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
			DataCenter:  h.cfg.Process.DataCenter,
			Policy:      chosen.Policy,
			Connections: cfg.Connections,
			JobSlots:    cfg.JobSlots,
			QueuedTasks: h.cfg.Limits.QueuedTasks,
			Attempts:    cfg.Attempts,
			TaskTimeout: cfg.TaskTimeout.D(),
			MaxWait:     cfg.MaxWait.D(),
			RetryBudget: cfg.RetryBudget,
			AsideShare:  cfg.AsideShare,
		},
	}, delivery.New(h.cfg.Limits.AnswerBytes, cfg.Connections, h.net.DialContext), directory{h}, h.clock, h.log, h.meter)
}
