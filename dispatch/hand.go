package dispatch

import (
	"context"
	"time"

	"snipehub.example/delivery"
	"snipehub.example/dispatch/plan"
	"snipehub.example/meter"
	"snipehub.example/roster"
)

// HandoverTask is a task to be handed over to a peer.
type HandoverTask struct {
	Job            string
	Index, Attempt int
	Kind           string
	Caller, Team   string
	Type           string
	Body           []byte
	Expires        time.Time
}

// sender hands tasks over to a peer. Send returns once every task has an outcome.
type sender interface {
	Send(ctx context.Context, to roster.Known, tasks []HandoverTask, done func(i int, o delivery.Outcome), reportFree func(free int))
}

const (
	// maxHandovers bounds the calls of sender.Send under way at once.
	maxHandovers = 256
	// maxHandoverBytes bounds the bodies in one call of sender.Send, to keep messages
	// between dispatchers small. Each call has at least one task.
	maxHandoverBytes = 512 << 10
)

// SetSender sets the sender for handovers. It must be called before Serve. Without a
// sender, or with a policy that does not hand over, every task stays on this dispatcher.
func (d *Dispatcher) SetSender(s sender) { d.sender = s }

// sendHandover sends the tasks of h to its peer, split by maxHandoverBytes.
func (d *Dispatcher) sendHandover(ctx context.Context, h plan.Handover) {
	to, ok := d.peers[h.Peer]
	for len(h.Items) > 0 {
		n := d.fittingTasks(h.Items)
		items := h.Items[:n:n]
		h.Items = h.Items[n:]
		if !ok || !d.acquireHandoverSlot() {
			d.returnTasks(items)
			continue
		}
		tasks := d.handoverTasks(items)
		d.metrics.Count(meter.HandoverTasks, int64(n))
		d.metrics.Count(meter.Handovers, 1)
		go func() {
			defer func() { <-d.handoverSlots }()
			d.sender.Send(ctx, to, tasks,
				func(i int, o delivery.Outcome) {
					d.events <- plannerEvent{attemptID: items[i].AttemptID, outcome: o, handedOver: true}
				},
				func(free int) { d.events <- plannerEvent{peer: h.Peer, free: free} })
		}()
	}
}

func (d *Dispatcher) acquireHandoverSlot() bool {
	select {
	case d.handoverSlots <- struct{}{}:
		return true
	default:
		return false
	}
}

// fittingTasks returns how many of the first items fit into maxHandoverBytes.
func (d *Dispatcher) fittingTasks(items []plan.HandoverItem) int {
	bytes := 0
	for i, it := range items {
		bytes += len(d.batches[it.Job].Tasks[it.Task])
		if i > 0 && bytes > maxHandoverBytes {
			return i
		}
	}
	return len(items)
}

func (d *Dispatcher) handoverTasks(items []plan.HandoverItem) []HandoverTask {
	out := make([]HandoverTask, len(items))
	for i, it := range items {
		b := d.batches[it.Job]
		out[i] = HandoverTask{
			Job:     b.Job,
			Index:   it.Task,
			Attempt: it.Attempt,
			Kind:    b.Kind,
			Caller:  b.Caller,
			Team:    b.Team,
			Type:    b.Type,
			Body:    b.Tasks[it.Task],
			Expires: it.Expires,
		}
	}
	return out
}

// returnTasks reports tasks that were not sent to any peer as not run.
func (d *Dispatcher) returnTasks(items []plan.HandoverItem) {
	now := d.clock.Now()
	for _, it := range items {
		d.planner.AttemptEnded(now, it.AttemptID, delivery.Outcome{Kind: delivery.NotRun, Cause: delivery.NoConnection, Reason: "no peer could be asked"})
	}
}

// setPeers passes the live dispatchers to the planner as possible receivers of tasks.
func (d *Dispatcher) setPeers(known []roster.Known) {
	if d.sender == nil {
		return
	}
	clear(d.peers)
	list := make([]plan.Peer, 0, len(known))
	for _, k := range known {
		if k.State != roster.Live || k.Owner == d.cfg.Self.Owner {
			continue
		}
		name := k.Owner.String()
		d.peers[name] = k
		list = append(list, plan.Peer{Name: name, DataCenter: k.Owner.DataCenter, Report: k.Count, Free: k.FreeSlots})
	}
	d.planner.SetPeers(list)
}
