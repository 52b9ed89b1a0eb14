package node

import (
	"context"
	"time"

	"snipehub.example/event"
	"snipehub.example/lease"
	"snipehub.example/meter"
)

// stopCallTimeout bounds a stop call. The lease repeats a stop that had no effect.
const stopCallTimeout = 150 * time.Millisecond

func (n *Node) callHold(w lease.Worker, h lease.HoldCall) {
	ctx, cancel := context.WithTimeout(n.root, h.Timeout)
	defer cancel()
	r, err := n.platform.Workers.Hold(ctx, w, h)
	n.recordCall("hold", w, lease.Run{}, err)
	n.enqueue(n.root, func(now time.Time, c *Core) { c.HoldAnswered(now, w.ID, h, r) })
}

func (n *Node) callStart(w lease.Worker, s lease.StartCall) {
	ctx, cancel := context.WithTimeout(n.root, s.Timeout)
	defer cancel()
	if s.Attempt > 1 {
		event.StartRepeated.Log(n.log, "worker", w.ID, "task", s.Task, "run", s.Number, "attempt", s.Attempt, "fence", uint64(s.Fence), "text_bytes", len(s.Spec))
	}
	r, err := n.platform.Workers.Start(ctx, w, s)
	n.recordCall("start", w, s.Run, err)
	if r.Reason == lease.Invalid {
		event.OrderUnreadable.Log(n.log, "worker", w.ID, "task", s.Task, "run", s.Number, "attempt", s.Attempt, "fence", uint64(s.Fence), "text_bytes", len(s.Spec))
	}
	n.enqueue(n.root, func(now time.Time, c *Core) { c.StartAnswered(now, w.ID, s, r) })
}

func (n *Node) callStop(w lease.Worker, s lease.StopCall) {
	ctx, cancel := context.WithTimeout(n.root, stopCallTimeout)
	defer cancel()
	_, err := n.platform.Workers.Stop(ctx, w, s)
	n.recordCall("stop", w, s.Run, err)
}

// recordCall counts a call to a worker and logs one that got no answer.
func (n *Node) recordCall(call string, w lease.Worker, r lease.Run, err error) {
	n.meter.CountCode(meter.WorkerCalls, call, 1)
	if err == nil || n.root.Err() != nil {
		return
	}
	n.meter.CountCode(meter.WorkerCallsUnanswered, call, 1)
	event.WorkerSilent.Log(n.log, "worker", w.ID, "address", w.Address, "call", call, "task", r.Task, "run", r.Number, "error", err)
}
