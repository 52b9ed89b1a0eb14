package lease

import (
	"slices"
	"time"
)

// State is what a holder reports of a worker to the planner.
type State struct {
	ID string `json:"id" cbor:"1,keyasint,omitzero"`
	// Partial is set if whatever is left out is unchanged since the last state of this
	// worker: Fence and Speed if they are zero, and the runs that are neither in Runs nor
	// in Ended. With all of it in each state a planner received four times as much.
	Partial bool `json:"-" cbor:"11,keyasint,omitzero"`
	// Worker is set from time to time; a planner that does not know the worker waits for
	// it.
	Worker *Worker `json:"worker,omitempty" cbor:"2,keyasint,omitzero"`
	Fence  Fence   `json:"fence" cbor:"3,keyasint,omitzero"`
	// Open is set if tasks may be started there now.
	Open bool `json:"open,omitempty" cbor:"4,keyasint,omitzero"`
	// Released is set if this process does not hold the worker any more.
	Released bool `json:"gone,omitempty" cbor:"5,keyasint,omitzero"`
	// Draining is set if the worker takes no new tasks.
	Draining bool `json:"draining,omitempty" cbor:"6,keyasint,omitzero"`
	// Failures counts the unanswered hold calls since the last answer.
	Failures int        `json:"failures,omitempty" cbor:"7,keyasint,omitzero"`
	Runs     []RunState `json:"runs,omitempty" cbor:"8,keyasint,omitzero"`
	// Ended are the runs that were removed since the last state.
	Ended []Run `json:"ended,omitempty" cbor:"9,keyasint,omitzero"`
	Speed Speed `json:"speed" cbor:"10,keyasint,omitzero"`
}

// RunState is the state of one run on a worker.
type RunState struct {
	Run
	Resources Resources     `json:"room" cbor:"3,keyasint,omitzero"`
	Age       time.Duration `json:"age" cbor:"4,keyasint,omitzero"`
	Estimate  time.Duration `json:"estimate,omitempty" cbor:"5,keyasint,omitzero"`
	// Percent is how much of the work was done when it last changed, which is Seen ago.
	Percent     int           `json:"percent,omitempty" cbor:"6,keyasint,omitzero"`
	ProgressAge time.Duration `json:"seen,omitempty" cbor:"7,keyasint,omitzero"`
	Stopping    bool          `json:"stopping,omitempty" cbor:"8,keyasint,omitzero"`
}

// Changed returns what has changed of the state since the last call of Changed, Part or
// State, or false if nothing has.
func (b *WorkerLease) Changed(now time.Time) (State, bool) {
	if !b.unreported {
		return State{}, false
	}
	return b.Changes(now), true
}

// Changes returns what has changed of the state, which may be nothing, or the full state
// without the worker while that is due.
func (b *WorkerLease) Changes(now time.Time) State {
	if !b.fullStateSent {
		s := b.State(now)
		s.Worker = nil
		return s
	}
	s := b.summary()
	s.Partial = true
	if s.Speed.nearlyEqual(b.lastReported.Speed) {
		s.Speed = Speed{}
	}
	if s.Fence == b.lastReported.Fence {
		s.Fence = 0
	}
	b.recordReported(s)
	for _, e := range b.sortedRuns() {
		if !e.reported && now.Sub(e.sentAt) >= reportDelay {
			s.Runs = append(s.Runs, e.report(now))
			e.reported = true
		}
	}
	b.unreported, b.removedRuns = false, nil
	return s
}

// recordReported records what the planner is told now.
func (b *WorkerLease) recordReported(s State) {
	if s.Fence != 0 {
		b.lastReported.Fence = s.Fence
	}
	if s.Speed != (Speed{}) {
		b.lastReported.Speed = s.Speed
	}
}

// State returns the full state and marks everything as reported.
func (b *WorkerLease) State(now time.Time) State {
	s := b.Snapshot(now)
	b.unreported, b.removedRuns, b.fullStateSent = false, nil, true
	b.recordReported(s)
	for _, e := range b.runs {
		e.reported = true
	}
	return s
}

// Snapshot returns the full state without marking it as reported.
func (b *WorkerLease) Snapshot(now time.Time) State {
	s := b.summary()
	s.Worker = &b.worker
	for _, e := range b.sortedRuns() {
		s.Runs = append(s.Runs, e.report(now))
	}
	return s
}

// summary returns the state without the worker and its runs.
func (b *WorkerLease) summary() State {
	return State{
		ID:       b.worker.ID,
		Fence:    b.fence,
		Open:     b.phase == open && b.usable && !b.resourcesRefused,
		Released: b.phase == closed,
		Draining: b.draining,
		Failures: b.failures,
		Ended:    b.removedRuns,
		Speed:    b.speed,
	}
}

func (e *run) report(now time.Time) RunState {
	return RunState{
		Run:         e.Run,
		Resources:   e.Resources,
		Age:         now.Sub(e.sentAt),
		Estimate:    e.Estimate,
		Percent:     e.percent,
		ProgressAge: progressAge(now, e),
		Stopping:    e.state == stopping,
	}
}

// progressAge returns the time since the run's progress last changed, or 0 if its start
// is not confirmed.
func progressAge(now time.Time, e *run) time.Duration {
	if e.progressedAt.IsZero() {
		return 0
	}
	return now.Sub(e.progressedAt)
}

// Fence returns the fence in use.
func (b *WorkerLease) Fence() Fence { return b.fence }

// Resumed handles the end of a suspension of this process. The worker is checked before
// anything is started: another holder may have taken over in the meantime, and have
// renewed the lease until just now.
func (b *WorkerLease) Resumed(now time.Time) {
	b.resumedAt = now
	if b.clock != 0 {
		b.leaseEnd = max(b.leaseEnd, b.maxWorkerClock(now)+leaseDuration.Milliseconds())
	}
	b.usable, b.openPoll, b.openCheck = false, 0, 0
	b.unreported = true
	b.nextHoldAt = now
	b.Tick(now)
}

// Claiming reports whether runs of unknown owners were found, who may claim them now.
func (b *WorkerLease) Claiming() bool { return b.phase == claiming }

// Established reports whether the worker has accepted this holder and has listed its runs.
func (b *WorkerLease) Established() bool { return b.phase != connecting && b.phase != closed }

// Owners returns the processes that have runs on the worker.
func (b *WorkerLease) Owners() []Owner {
	var out []Owner
	for _, e := range b.sortedRuns() {
		if !e.orphan && !slices.Contains(out, e.owner) {
			out = append(out, e.owner)
		}
	}
	return out
}
