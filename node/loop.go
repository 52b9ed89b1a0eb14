package node

import (
	"context"
	"strings"
	"time"

	"snipehub.example/catalog"
	"snipehub.example/event"
	"snipehub.example/mesh"
	"snipehub.example/meter"
)

// enqueue queues an event for the core. It blocks while the queue is full.
func (n *Node) enqueue(ctx context.Context, w work) {
	select {
	case n.work <- w:
	case <-ctx.Done():
	}
}

// query runs f on the core's goroutine and returns its result, or false if ctx ends
// first.
func query[T any](ctx context.Context, n *Node, f func(now time.Time, c *Core) T) (T, bool) {
	out := make(chan T, 1)
	n.enqueue(ctx, func(now time.Time, c *Core) { out <- f(now, c) })
	select {
	case v := <-out:
		return v, true
	case <-ctx.Done():
		var none T
		return none, false
	}
}

// tickInterval is how often the core does the work that is due by time. It is a small
// part of the shortest objective, 100 ms.
const tickInterval = 50 * time.Millisecond

// suspendThreshold is the gap between two events after which the process considers itself
// to have been suspended. Its peers close their sessions with it after 650 ms.
const suspendThreshold = 500 * time.Millisecond

// runCore is the goroutine that owns the core.
func (n *Node) runCore(ctx context.Context) error {
	sub := n.clock.Subscribe(tickInterval)
	defer sub.Stop()
	pass := time.NewTimer(time.Hour)
	defer pass.Stop()
	var passAt time.Time
	last := n.sinceBoot()
	for {
		var w work
		select {
		case <-ctx.Done():
			return ctx.Err()
		case w = <-n.work:
		case <-pass.C:
			w, passAt = func(time.Time, *Core) {}, time.Time{}
		case now := <-sub.C:
			w = func(_ time.Time, c *Core) { c.Tick(now) }
		}
		now := time.Now()
		boot := n.sinceBoot()
		if pause := boot - last; pause > suspendThreshold {
			event.ProcessResumed.Log(n.log, "pause_ms", pause.Milliseconds())
			n.core.Resumed(now, pause)
		}
		last = boot
		w(now, n.core)
		n.runQueued(now)
		n.perform(n.core.Take(now))
		n.publish()
		if next := n.core.NextPass(now); passAt.IsZero() && !next.IsZero() {
			passAt = next
			pass.Reset(time.Until(next))
		}
	}
}

// maxEventBatch bounds the events that are handled together.
const maxEventBatch = 64

// runQueued handles the events that are already queued, so that the resulting messages
// are sent together.
func (n *Node) runQueued(now time.Time) {
	for range maxEventBatch {
		select {
		case w := <-n.work:
			w(now, n.core)
		default:
			return
		}
	}
}

// publish copies the state of the core that other goroutines need.
func (n *Node) publish() {
	planner, reading := n.core.Planner(), n.core.ListReading()
	n.planner.Store(&planner)
	n.reading.Store(&reading)
	n.quorum.Store(n.core.HasQuorum())
	n.divided.Store(n.core.Divided())
}

// perform carries out the outputs of the core.
func (n *Node) perform(out []Output) {
	outgoing := make(map[mesh.ID][]Message)
	for _, o := range out {
		switch {
		case o.Message != nil:
			outgoing[o.To] = append(outgoing[o.To], *o.Message)
		case o.Answer != nil:
			n.answer(*o.Answer)
		case o.Located != nil:
			n.deliverLocated(*o.Located)
		case o.Advertise != nil:
			n.mesh.Advertise(*o.Advertise)
		case o.Peers != nil && o.Peers.All:
			n.mesh.KeepAll()
		case o.Peers != nil:
			n.mesh.SetPeers(o.Peers.List)
		case o.Addresses != nil:
			n.mesh.AddAddresses(o.Addresses...)
		case o.Disconnect != nil:
			n.mesh.Disconnect(o.Disconnect.Member, o.Disconnect.Session, "too many sessions")
		case o.Pack != nil:
			n.calls.Go(func() { n.packCatalog(o.Pack) })
		case o.Unpack != nil:
			n.calls.Go(func() { n.unpackCatalog(*o.Unpack) })
		case o.Watch != nil:
			n.mesh.Watch(o.Watch.Member, o.Watch.On)
		case o.Hold != nil:
			n.calls.Go(func() { n.callHold(o.Worker, *o.Hold) })
		case o.Start != nil:
			n.calls.Go(func() { n.callStart(o.Worker, *o.Start) })
		case o.Stop != nil:
			n.calls.Go(func() { n.callStop(o.Worker, *o.Stop) })
		}
	}
	for to, m := range outgoing {
		n.mesh.Send(to, m...)
	}
}

func (n *Node) packCatalog(cat *catalog.Catalog) {
	p, err := catalog.Pack(cat)
	n.enqueue(n.root, func(now time.Time, c *Core) { c.CatalogPacked(now, p, err) })
}

func (n *Node) unpackCatalog(p catalog.Packed) {
	cat, err := p.Unpack()
	n.enqueue(n.root, func(now time.Time, c *Core) { c.CatalogUnpacked(now, p, cat, err) })
}

// handleMeshEvent passes an event of the mesh to the core.
func (n *Node) handleMeshEvent(e mesh.Event[Message]) {
	n.enqueue(n.root, func(now time.Time, c *Core) {
		switch e.Kind {
		case mesh.Up:
			c.MemberUp(now, e.Member, e.Session)
		case mesh.Down:
			n.countSessionEnd(e.Reason)
			c.MemberDown(now, e.Member.ID, e.Session, e.LastHeard)
		case mesh.Changed:
			c.MemberChanged(now, e.Member)
		case mesh.Overdue:
			c.MemberOverdue(now, e.Member.ID, e.Session, e.LastHeard)
		case mesh.Recovered:
			c.MemberRecovered(e.Member.ID, e.Session)
		case mesh.Received:
			c.Receive(now, e.Member.ID, e.Session, e.Messages)
		}
	})
}

// countSessionEnd counts the end of a session by its reason, without the details that
// follow a colon.
func (n *Node) countSessionEnd(reason string) {
	code, _, _ := strings.Cut(reason, ":")
	n.meter.CountCode(meter.SessionsEnded, code, 1)
}
