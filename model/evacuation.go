package model

import (
	"time"

	"snipehub.example/catalog"
	"snipehub.example/lease"
	"snipehub.example/node"
	"snipehub.example/registry"
)

// operatorLog is the operator's topic as the store holds it. Record 0 is the first
// configuration.
type operatorLog struct {
	// changes are the requested and ended evacuations, in order.
	changes []catalog.EvacuationChange
	// end is the offset after the last record, first the offset of the first one that has
	// not been dropped.
	end, first registry.Offset
	// current holds the evacuations that stand, since when each of them.
	current map[string]time.Time
}

// storeDelay is the time that the store takes to answer a read that finds records.
const storeDelay = 4 * time.Millisecond

// Evacuate has the operator request the evacuation of a data centre, and take it back after
// a time.
func Evacuate(dc string, d time.Duration) func(*World) {
	return func(w *World) {
		w.operator.current[dc] = w.now
		w.appendOperator(dc, false)
		w.after(d, func() {
			delete(w.operator.current, dc)
			w.appendOperator(dc, true)
		})
	}
}

// ChangeCatalog has the operator publish a new version of the configuration.
func ChangeCatalog() func(*World) {
	return func(w *World) {
		c := w.catalog
		w.catalog = &catalog.Catalog{Version: c.Version + 1, Queues: c.Queues, Pools: c.Pools, Limits: c.Limits}
		w.operator.end++
		w.wakeReaders()
	}
}

// CompactStore has the store drop all records of the operator's topic but the latest of
// each key.
func CompactStore() func(*World) {
	return func(w *World) { w.operator.first = w.operator.end }
}

func (w *World) appendOperator(dc string, removed bool) {
	e := catalog.Evacuation{DataCenter: dc, Offset: w.operator.end}
	w.operator.changes = append(w.operator.changes, catalog.EvacuationChange{Evacuation: e, Removed: removed})
	w.operator.end++
	w.wakeReaders()
}

// wakeReaders answers the waiting reads of the processes that reach the store.
func (w *World) wakeReaders() {
	for _, n := range w.vms {
		if n.up && !n.storeUnreachable() {
			boots := n.boots
			w.after(storeDelay, func() { n.readOperator(boots) })
		}
	}
}

// readOperator reads what the operator's topic has that the process has not read yet.
func (n *vm) readOperator(boots uint64) {
	w := n.world
	if n.boots != boots || !n.up || n.operatorNext == w.operator.end {
		return
	}
	r := node.OperatorRead{
		Full:    n.operatorNext < w.operator.first || n.operatorNext == 0,
		End:     w.operator.end,
		Since:   w.now,
		Catalog: w.catalog,
	}
	for _, c := range w.operator.changes {
		_, stands := w.operator.current[c.DataCenter]
		if r.Full && (!stands || c.Removed) || !r.Full && c.Offset < n.operatorNext {
			continue
		}
		r.Evacuations = append(r.Evacuations, c)
	}
	n.operatorNext = w.operator.end
	n.do(func(now time.Time) { n.core.OperatorRead(now, r) })
}

// checkEvacuation checks that a start is not sent to a data centre whose evacuation was
// requested long ago, unless the process that sends it was cut off or did not run.
func (n *vm) checkEvacuation(worker string, c lease.StartCall) {
	w := n.world
	x := w.workersByID[worker]
	requestedAt, ok := w.operator.current[x.DataCenter]
	if !ok {
		return
	}
	since := w.now.Sub(requestedAt)
	w.result.LastEvacuatedStart = max(w.result.LastEvacuatedStart, since)
	if w.cfg.EvacuationBound > 0 && since > w.cfg.EvacuationBound && n.sound() {
		w.violation("EVAC: %s sends %s to %s, whose data centre is evacuated for %.3f s", n.name, c.Task, x.ID, since.Seconds())
	}
}
