package model

import "time"

// Processor is the processor time that a process takes, on a whole core.
type Processor struct {
	// Event is the time of one event: a message, the answer of a call, a request of a caller.
	Event time.Duration
	// Pass is the time of a pass of the planner over its pending requests, and Pending what
	// each of them adds.
	Pass, Pending time.Duration
}

// maxBatch is how many events a process handles before it sends what results.
const maxBatch = 64

// execute handles events and performs the resulting outputs, and has further ones wait while
// that takes the processor.
func (n *vm) execute(batch []func(now time.Time)) {
	now := n.world.now
	passes := n.core.PlannerPasses()
	for _, f := range batch {
		f(now)
	}
	n.perform(n.core.Take(now))
	n.schedulePass()
	p := n.world.cfg.Processor
	passes = n.core.PlannerPasses() - passes
	used := time.Duration(len(batch))*p.Event + time.Duration(passes)*(p.Pass+time.Duration(n.core.PlannerPending())*p.Pending)
	if used == 0 {
		return
	}
	n.busy = true
	boots := n.boots
	n.world.after(time.Duration(float64(used)/n.cores), func() {
		if n.boots == boots {
			n.executeNext()
		}
	})
}

// executeNext handles the events that have waited for the processor.
func (n *vm) executeNext() {
	n.busy = false
	batch := n.waiting[:min(len(n.waiting), maxBatch)]
	n.waiting = n.waiting[len(batch):]
	switch {
	case len(batch) == 0 || !n.up:
	case n.suspended:
		for _, f := range append(batch, n.waiting...) {
			n.do(f)
		}
		n.waiting = nil
	default:
		n.execute(batch)
	}
}
