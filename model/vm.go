package model

import (
	"fmt"
	"time"

	"snipehub.example/cell"
	"snipehub.example/entry"
	"snipehub.example/lease"
	"snipehub.example/mesh"
	"snipehub.example/node"
	"snipehub.example/registry"

	"snipehub.example/catalog"
)

// vm is a simulated VM with one process.
type vm struct {
	world *World
	index int
	name  string
	dc    string
	core  *node.Core
	id    mesh.ID
	// boots counts the starts of the process and so identifies its incarnation.
	boots uint64
	// up is set while the process runs, suspended while it does not execute.
	up, suspended bool
	// isolated is set while no other process is reachable, storeBlocked while the store does
	// not answer.
	isolated, storeBlocked bool
	// impairedAt is when the process last did not run, or was cut off from the store or from
	// the others.
	impairedAt time.Time
	// leaving is set while the process shuts down gracefully and takes no new callers.
	leaving bool
	// cores is the fraction of a core that the VM gets.
	cores float64
	// busy is set while the process uses its processor, waiting holds what it does after that.
	busy    bool
	waiting []func(now time.Time)
	// passScheduled is set while a pass that the planner has put off is scheduled.
	passScheduled bool
	// backlog holds what the process does when it resumes.
	backlog    []func()
	waiters    map[entry.Waiter]func(entry.Answer)
	lastWaiter entry.Waiter
	// storeLost is set while the process knows that the store does not answer.
	storeLost bool
	// operatorNext is the offset in the operator's topic from which the process reads on.
	operatorNext registry.Offset
	// watchedSince maps each member that the process watches to when it began to.
	watchedSince map[mesh.ID]time.Time
	// in and out are the two directions of the VM's link.
	in, out wire
}

const (
	tickInterval = 50 * time.Millisecond
	// listIdleInterval is how often a process checks whether it is to read the list.
	listIdleInterval = 50 * time.Millisecond
	// listInterval is the interval between reads of the list of workers. A read that gets no
	// answer fails after listTimeout and is repeated after listRetryDelay.
	listInterval   = 400 * time.Millisecond
	listTimeout    = 700 * time.Millisecond
	listRetryDelay = 100 * time.Millisecond
	// pollWait is how long a read of the operator's topic waits for a change.
	pollWait = 2 * time.Second
	// soundAfter is how long after an impairment a process counts as sound.
	soundAfter = 3 * time.Second
	// watchedSessionTimeout is the silence after which a process ends a session with a
	// member that it watches.
	watchedSessionTimeout = mesh.SessionTimeout
	// silencePollInterval is the interval between checks whether a silent session has
	// ended.
	silencePollInterval = 5 * time.Millisecond
	// resetDelay is the time from the reset of a connection to the end of its session.
	resetDelay = 3 * time.Millisecond
	// minConnectTime is the minimum time that two processes take to connect; when a
	// process starts, each pair takes up to 200 ms more, at random.
	minConnectTime = 60 * time.Millisecond
	// stopTimeout is the timeout of a call that stops a run.
	stopTimeout = 150 * time.Millisecond
	// defaultCores is the fraction of a core that a VM gets by default.
	defaultCores = 0.4
)

func (w *World) makeVMs() {
	for _, dc := range w.cfg.DataCenters {
		for i := range dc.VMs {
			n := &vm{world: w, index: len(w.vms), name: fmt.Sprintf("%s-%d", dc.Name, i+1), dc: dc.Name, cores: defaultCores}
			if len(dc.Cores) > 0 {
				n.cores = dc.Cores[i%len(dc.Cores)]
			}
			w.vms = append(w.vms, n)
		}
	}
	for _, n := range w.vms {
		w.after(time.Duration(w.rnd.IntN(300))*time.Millisecond, n.boot)
	}
}

// boot starts a new incarnation of the process.
func (n *vm) boot() {
	w := n.world
	n.boots++
	n.up, n.suspended, n.leaving = true, false, false
	n.id = memberID(n.index, n.boots)
	self := mesh.Member{ID: n.id, VM: n.name, DataCenter: n.dc, Cores: n.cores}
	n.core = node.NewCore(w.log.With("vm", n.name), self, &catalog.Store{}, w.cfg.Policy)
	n.waiters = make(map[entry.Waiter]func(entry.Answer))
	n.backlog, n.passScheduled = nil, false
	n.busy, n.waiting = false, nil
	n.storeLost, n.operatorNext = false, 0
	n.watchedSince = make(map[mesh.ID]time.Time)
	n.impairedAt = w.now
	boots := n.boots
	w.after(10*time.Millisecond, func() { n.register(boots) })
	n.tick(boots)
	n.listWorkers(boots)
	w.after(time.Duration(w.storeRand.Int64N(int64(pollWait))), func() { n.pollStore(boots) })
	for _, o := range w.vms {
		if o != n && o.up {
			w.after(minConnectTime+time.Duration(w.connectRand.IntN(200))*time.Millisecond, func() { w.connect(n, o) })
		}
	}
}

// memberID returns the ID of one incarnation of the process on a VM.
func memberID(index int, boots uint64) mesh.ID {
	return mesh.ID{Address: address(1, index), Boot: uint64(index)<<32 | boots}
}

// register gives the process what it reads from the store at startup: its member number, the
// catalog and the recorded addresses. It retries while the store is unreachable.
func (n *vm) register(boots uint64) {
	w := n.world
	if n.boots != boots || !n.up {
		return
	}
	if n.storeUnreachable() {
		w.after(100*time.Millisecond, func() { n.register(boots) })
		return
	}
	w.lastMemberNumber++
	number := w.lastMemberNumber
	var listed []mesh.Member
	for i, o := range w.vms {
		listed = append(listed, mesh.Member{ID: memberID(o.index, o.boots), VM: o.name, DataCenter: o.dc, Cores: o.cores, Number: uint64(i) + 1})
	}
	n.do(func(now time.Time) {
		n.core.SetRecorded(now, listed, true)
		n.core.Advertise(now, func(m *mesh.Member) { m.Number = number })
	})
	n.readOperator(boots)
}

// storeUnreachable reports whether the process cannot reach the store.
func (n *vm) storeUnreachable() bool {
	return n.world.storeDown || n.storeBlocked || n.world.isolatedDCs[n.dc]
}

func (n *vm) tick(boots uint64) {
	if n.boots != boots || !n.up {
		return
	}
	n.noteImpairment()
	n.do(func(now time.Time) { n.core.Tick(now) })
	n.world.after(tickInterval, func() { n.tick(boots) })
}

// listWorkers periodically reads the list of workers while this process is the one that
// reads it for the planner. A store that does not answer is noticed after listTimeout.
func (n *vm) listWorkers(boots uint64) {
	w := n.world
	if n.boots != boots || !n.up {
		return
	}
	pause := listInterval
	n.do(func(now time.Time) {
		reading := n.core.ListReading()
		switch {
		case reading == (node.ListReading{}):
			pause = listIdleInterval
		case n.storeUnreachable():
			pause = listTimeout + listRetryDelay
		default:
			n.core.WorkersListed(now, reading, now, w.workerList(n.dc))
		}
	})
	w.after(pause, func() { n.listWorkers(boots) })
}

// workerList returns the list of the workers whose records reach the store from a data
// centre's side.
func (w *World) workerList(dc string) cell.WorkerList {
	l := cell.WorkerList{Full: true}
	for _, x := range w.workers {
		if x.up && x.reachable && !w.partitioned(dc, x.DataCenter) {
			l.Workers = append(l.Workers, x.listed())
		}
	}
	return l
}

// pollStore follows the operator's topic with reads that wait for a change. Only when one of
// them fails does the process advertise that the store is unreachable, and only when one
// succeeds that it is back.
func (n *vm) pollStore(boots uint64) {
	if n.boots != boots || !n.up {
		return
	}
	n.world.after(pollWait, func() {
		if !n.storeUnreachable() {
			n.readOperator(boots)
			n.advertiseStore(boots, false)
			n.pollStore(boots)
			return
		}
		n.world.after(listTimeout, func() {
			n.advertiseStore(boots, true)
			n.pollStore(boots)
		})
	})
}

func (n *vm) advertiseStore(boots uint64, lost bool) {
	if n.boots != boots || n.storeLost == lost {
		return
	}
	n.storeLost = lost
	n.do(func(now time.Time) { n.core.Advertise(now, func(m *mesh.Member) { m.StoreUnreachable = lost }) })
}

// noteImpairment records whether the process is cut off from the store or from the others.
func (n *vm) noteImpairment() {
	if n.suspended || n.isolated || n.storeUnreachable() {
		n.impairedAt = n.world.now
	}
}

// sound reports whether the process has run with a path to the store and to the others for
// the whole of soundAfter.
func (n *vm) sound() bool {
	n.noteImpairment()
	return n.world.now.Sub(n.impairedAt) > soundAfter
}

// do runs f in the process, now or when it resumes, and performs the resulting outputs.
func (n *vm) do(f func(now time.Time)) {
	if !n.up {
		return
	}
	if n.suspended {
		boots := n.boots
		n.backlog = append(n.backlog, func() {
			if n.boots == boots && n.up {
				n.do(f)
			}
		})
		return
	}
	if n.busy {
		n.waiting = append(n.waiting, f)
		return
	}
	n.execute([]func(now time.Time){f})
}

// schedulePass has the core called again for a pass that its planner has put off.
func (n *vm) schedulePass() {
	next := n.core.NextPass(n.world.now)
	if n.passScheduled || next.IsZero() {
		return
	}
	n.passScheduled = true
	boots := n.boots
	n.world.after(next.Sub(n.world.now), func() {
		if n.boots == boots {
			n.passScheduled = false
			n.do(func(time.Time) {})
		}
	})
}

func (n *vm) perform(out []node.Output) {
	for _, o := range out {
		switch {
		case o.Message != nil:
			n.world.send(n, o.To, *o.Message)
		case o.Advertise != nil:
			n.world.advertise(n, *o.Advertise)
		case o.Pack != nil:
			p, err := catalog.Pack(o.Pack)
			n.do(func(now time.Time) { n.core.CatalogPacked(now, p, err) })
		case o.Unpack != nil:
			cat, err := o.Unpack.Unpack()
			n.do(func(now time.Time) { n.core.CatalogUnpacked(now, *o.Unpack, cat, err) })
		case o.Watch != nil && o.Watch.On:
			n.watchedSince[o.Watch.Member] = n.world.now
		case o.Watch != nil:
			delete(n.watchedSince, o.Watch.Member)
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
	respond, ok := n.waiters[a.Waiter]
	if !ok {
		return
	}
	delete(n.waiters, a.Waiter)
	respond(a.Answer)
}

// call simulates a call to a worker. onResult gets its result, or lease.NoAnswer after the
// timeout. A call that is lost or executed late gets no answer, nor does one that is bound to
// another incarnation than the one that runs: its connection has ended with that one.
func (n *vm) call(id string, incarnation int64, timeout time.Duration, size int, do func(x *worker, respond func(lease.Result)), onResult func(now time.Time, r lease.Result)) {
	w := n.world
	x := w.workersByID[id]
	boots, replied := n.boots, false
	reply := func(r lease.Result) {
		if replied || n.boots != boots || !n.up {
			return
		}
		replied = true
		n.do(func(now time.Time) { onResult(now, r) })
	}
	w.after(timeout, func() { reply(lease.Result{Verdict: lease.NoAnswer}) })
	d := w.delay(n.dc, x.DataCenter)
	sent := w.transmit(&n.out, size) + w.callDelay()
	if x.lateCallShare > 0 && w.rnd.Float64() < x.lateCallShare {
		w.after(time.Duration(2+w.rnd.IntN(10))*time.Second, func() {
			if x.up {
				do(x, func(lease.Result) {})
			}
		})
		return
	}
	w.after(sent+d, func() {
		if !x.up || !x.reachable || w.partitioned(n.dc, x.DataCenter) {
			return
		}
		if incarnation != 0 && incarnation != x.incarnation() {
			return
		}
		do(x, func(r lease.Result) {
			w.after(d, func() {
				if x.reachable && !w.partitioned(n.dc, x.DataCenter) {
					w.after(w.transmit(&n.in, answerBytes), func() { reply(r) })
				}
			})
		})
	})
}

func (n *vm) hold(id string, c lease.HoldCall) {
	n.call(id, 0, c.Timeout, holdBytes,
		func(x *worker, respond func(lease.Result)) { x.hold(c, respond) },
		func(now time.Time, r lease.Result) { n.core.HoldAnswered(now, id, c, r) })
}

func (n *vm) start(id string, c lease.StartCall) {
	n.checkDrain(id, c)
	n.checkEvacuation(id, c)
	n.call(id, c.Incarnation, c.Timeout, startBytes+len(c.Spec),
		func(x *worker, respond func(lease.Result)) { respond(x.start(c)) },
		func(now time.Time, r lease.Result) { n.core.StartAnswered(now, id, c, r) })
}

func (n *vm) stop(id string, c lease.StopCall) {
	n.call(id, 0, stopTimeout, startBytes,
		func(x *worker, respond func(lease.Result)) { respond(x.stop(c)) },
		func(time.Time, lease.Result) {})
}
