package model

import (
	"fmt"
	"net/netip"
	"time"

	"snipehub.example/cell"
	"snipehub.example/entry"
	"snipehub.example/lease"
	"snipehub.example/mesh"
	"snipehub.example/node"

	"snipehub.example/catalog"
)

// vm is a modelled VM with one process.
type vm struct {
	world *World
	index int
	name  string
	dc    string
	core  *node.Core
	id    mesh.ID
	boots uint64
	// up tells that the process runs; frozen that it does not get on for now.
	up, frozen bool
	// cut tells that it reaches no other process, blind that it does not reach
	// the store.
	cut, blind bool
	// leaving tells that it is stopping in an orderly way and takes no callers.
	leaving bool
	// share is its part of a core.
	share   float64
	backlog []func()
	waiters map[entry.Waiter]func(entry.Answer)
	last    entry.Waiter
	reading mesh.ID
	// watched are the members that the process watches, and since when.
	watched map[mesh.ID]time.Time
	// in and out are the two directions of its link.
	in, out wire
}

const (
	// tickEvery is the period of the core's ticks.
	tickEvery = 50 * time.Millisecond
	// listEvery is how often the list of workers is read.
	listEvery = 400 * time.Millisecond
	// downAfter is when silence ends a session that is watched.
	downAfter = mesh.SessionTimeout
	// listenEvery is how often it is looked whether a silent session has ended.
	listenEvery = 5 * time.Millisecond
	// resetAfter is when a session ends whose connection is reset.
	resetAfter = 3 * time.Millisecond
	// meetFor is how long two processes take to find each other, at least; some
	// pairs take up to 200 ms more.
	meetFor = 60 * time.Millisecond
	// stopTimeout bounds the order to stop a run.
	stopTimeout = 150 * time.Millisecond
	// shareDefault is a VM's part of a core.
	shareDefault = 0.4
)

func (w *World) makeNodes() {
	for _, dc := range w.cfg.DataCenters {
		for i := range dc.VMs {
			n := &vm{world: w, index: len(w.nodes), name: fmt.Sprintf("%s-%d", dc.Name, i+1), dc: dc.Name, share: shareDefault}
			if len(dc.Shares) > 0 {
				n.share = dc.Shares[i%len(dc.Shares)]
			}
			w.nodes = append(w.nodes, n)
		}
	}
	for _, n := range w.nodes {
		w.after(time.Duration(w.rnd.IntN(300))*time.Millisecond, n.boot)
	}
}

// boot starts the process.
func (n *vm) boot() {
	w := n.world
	n.boots++
	n.up, n.frozen, n.leaving = true, false, false
	n.id = lifeOf(n.index, n.boots)
	self := mesh.Member{ID: n.id, VM: n.name, DataCenter: n.dc, Cores: n.share}
	n.core = node.NewCore(w.log.With("vm", n.name), self, &catalog.Store{}, w.cfg.Policy)
	n.waiters = make(map[entry.Waiter]func(entry.Answer))
	n.backlog = nil
	n.reading = mesh.ID{}
	n.watched = make(map[mesh.ID]time.Time)
	boots := n.boots
	w.after(10*time.Millisecond, func() { n.register(boots) })
	n.tick(boots)
	n.list(boots)
	for _, o := range w.nodes {
		if o != n && o.up {
			w.after(meetFor+time.Duration(w.meetings.IntN(200))*time.Millisecond, func() { w.meet(n, o) })
		}
	}
}

// lifeOf names a life of the process on a VM.
func lifeOf(index int, boots uint64) mesh.ID {
	return mesh.ID{Address: address(1, index), Boot: uint64(index)<<32 | boots}
}

// register reads the store for the first time.
func (n *vm) register(boots uint64) {
	w := n.world
	if n.boots != boots || !n.up {
		return
	}
	if n.noStore() {
		w.after(100*time.Millisecond, func() { n.register(boots) })
		return
	}
	w.number++
	number := w.number
	var known []netip.AddrPort
	for _, o := range w.nodes {
		known = append(known, address(1, o.index))
	}
	n.do(func(now time.Time) {
		n.core.Catalog(now, w.catalog, "store")
		n.core.SetRecordedAddrs(now, known)
		n.core.Advertise(now, func(m *mesh.Member) { m.Number = number })
	})
}

// noStore tells whether the process does not reach the store.
func (n *vm) noStore() bool { return n.world.storeDown || n.blind || n.world.apart[n.dc] }

func (n *vm) tick(boots uint64) {
	if n.boots != boots || !n.up {
		return
	}
	n.do(func(now time.Time) { n.core.Tick(now) })
	n.world.after(tickEvery, func() { n.tick(boots) })
}

// list reads the list of workers while it is this process's turn.
func (n *vm) list(boots uint64) {
	w := n.world
	if n.boots != boots || !n.up {
		return
	}
	blind := n.noStore()
	n.do(func(now time.Time) {
		n.core.Advertise(now, func(m *mesh.Member) { m.StoreUnreachable = blind })
		planner, _, ok := n.core.ListReader()
		if !ok || blind {
			n.reading = mesh.ID{}
			return
		}
		l := cell.WorkerList{Full: true}
		for _, x := range w.workers {
			if x.up && x.reachable && !w.severed(n.dc, x.DataCenter) {
				l.Workers = append(l.Workers, x.listed())
			}
		}
		n.reading = planner
		n.core.WorkersListed(now, l)
	})
	w.after(listEvery, func() { n.list(boots) })
}

// do has the process do something, now or when it thaws.
func (n *vm) do(f func(now time.Time)) {
	if !n.up {
		return
	}
	if n.frozen {
		boots := n.boots
		n.backlog = append(n.backlog, func() {
			if n.boots == boots && n.up {
				n.do(f)
			}
		})
		return
	}
	f(n.world.now)
	n.perform(n.core.Take(n.world.now))
}

func (n *vm) perform(out []node.Output) {
	for _, o := range out {
		switch {
		case o.Message != nil:
			n.world.send(n, o.To, *o.Message)
		case o.Advertise != nil:
			n.world.advertise(n, *o.Advertise)
		case o.Watch != nil && o.Watch.On:
			n.watched[o.Watch.Member] = n.world.now
		case o.Watch != nil:
			delete(n.watched, o.Watch.Member)
		case o.Answer != nil:
			n.answer(*o.Answer)
		case o.Hold != nil:
			n.hold(o.Worker.ID, *o.Hold)
		case o.Start != nil:
			n.start(o.Worker.ID, *o.Start)
		case o.Stop != nil:
			n.stop(o.Worker.ID, *o.Stop)
		}
	}
}

func (n *vm) answer(a entry.CallerAnswer) {
	to, ok := n.waiters[a.Waiter]
	if !ok {
		return
	}
	delete(n.waiters, a.Waiter)
	to(a.Answer)
}

// call carries a call to a worker and its answer back. A call that is lost, or
// carried out late, gets no answer.
func (n *vm) call(id string, timeout time.Duration, size int, do func(x *worker, to func(lease.Result)), back func(now time.Time, r lease.Result)) {
	w := n.world
	x := w.byID[id]
	boots, answered := n.boots, false
	reply := func(r lease.Result) {
		if answered || n.boots != boots || !n.up {
			return
		}
		answered = true
		n.do(func(now time.Time) { back(now, r) })
	}
	w.after(timeout, func() { reply(lease.Result{Verdict: lease.NoAnswer}) })
	d := w.delay(n.dc, x.DataCenter)
	sent := w.pass(&n.out, size) + w.heldUp()
	if x.lose > 0 && w.rnd.Float64() < x.lose {
		w.after(time.Duration(2+w.rnd.IntN(10))*time.Second, func() {
			if x.up {
				do(x, func(lease.Result) {})
			}
		})
		return
	}
	w.after(sent+d, func() {
		if !x.up || !x.reachable || w.severed(n.dc, x.DataCenter) {
			return
		}
		do(x, func(r lease.Result) {
			w.after(d, func() {
				if x.reachable && !w.severed(n.dc, x.DataCenter) {
					w.after(w.pass(&n.in, answerBytes), func() { reply(r) })
				}
			})
		})
	})
}

func (n *vm) hold(id string, c lease.HoldCall) {
	n.call(id, c.Timeout, holdBytes,
		func(x *worker, to func(lease.Result)) { x.hold(c, to) },
		func(now time.Time, r lease.Result) { n.core.HoldAnswered(now, id, c, r) })
}

func (n *vm) start(id string, c lease.StartCall) {
	n.call(id, c.Timeout, startBytes+len(c.Spec),
		func(x *worker, to func(lease.Result)) { to(x.start(c)) },
		func(now time.Time, r lease.Result) { n.core.StartAnswered(now, id, c, r) })
}

func (n *vm) stop(id string, c lease.StopCall) {
	n.call(id, stopTimeout, startBytes,
		func(x *worker, to func(lease.Result)) { to(x.stop(c)) },
		func(time.Time, lease.Result) {})
}
