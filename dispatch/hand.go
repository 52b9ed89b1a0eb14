package dispatch

import (
	"context"
	"time"

	"snipehub.example/delivery"
	"snipehub.example/dispatch/plan"
	"snipehub.example/meter"
	"snipehub.example/roster"
)

// Guest is a task on its way to a peer.
type Guest struct {
	Job            string
	Index, Attempt int
	Kind           string
	Caller, Team   string
	Type           string
	Body           []byte
	Expires        time.Time
}

// sender hands tasks over to a peer. Send returns when all have an outcome.
type sender interface {
	Send(ctx context.Context, to roster.Known, tasks []Guest, done func(i int, o delivery.Outcome), room func(free int))
}

const (
	// handovers is how many batches may be with peers at once.
	handovers = 256
	// handBytes bounds the bodies of one batch, so that a message between
	// dispatchers stays small.
	handBytes = 512 << 10
)

// SetSender tells who carries hand-overs. It is called before Serve; without
// it, or with a policy that does not hand over, all tasks stay here.
func (d *Dispatcher) SetSender(s sender) { d.sender = s }

// hand sends the batches that the planner asks for.
func (d *Dispatcher) hand(ctx context.Context, h plan.Hand) {
	to, ok := d.peers[h.Peer]
	for len(h.Items) > 0 {
		n := d.fitting(h.Items)
		items := h.Items[:n:n]
		h.Items = h.Items[n:]
		if !ok || !d.beginSend() {
			d.turnDown(items)
			continue
		}
		guests := d.guests(items)
		d.m.Count(meter.HandoverTasks, int64(n))
		d.m.Count(meter.Handovers, 1)
		go func() {
			defer func() { <-d.sends }()
			d.sender.Send(ctx, to, guests,
				func(i int, o delivery.Outcome) { d.ended <- ending{number: items[i].Number, o: o, handed: true} },
				func(free int) { d.ended <- ending{peer: h.Peer, free: free} })
		}()
	}
}

func (d *Dispatcher) beginSend() bool {
	select {
	case d.sends <- struct{}{}:
		return true
	default:
		return false
	}
}

// fitting returns how many of the items go into one batch.
func (d *Dispatcher) fitting(items []plan.Item) int {
	bytes := 0
	for i, it := range items {
		bytes += len(d.batches[it.Job].Tasks[it.Task])
		if i > 0 && bytes > handBytes {
			return i
		}
	}
	return len(items)
}

func (d *Dispatcher) guests(items []plan.Item) []Guest {
	out := make([]Guest, len(items))
	for i, it := range items {
		b := d.batches[it.Job]
		out[i] = Guest{
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

// turnDown gives tasks back to the planner that were not sent to anybody.
func (d *Dispatcher) turnDown(items []plan.Item) {
	now := d.clock.Now()
	for _, it := range items {
		d.p.Ended(now, it.Number, delivery.Outcome{Kind: delivery.NotRun, Cause: delivery.NoConnection, Reason: "no peer could be asked"})
	}
}

// canReceive tells the planner which peers may take tasks.
func (d *Dispatcher) canReceive(known []roster.Known) {
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
	d.p.SetPeers(list)
}
