package lease

import (
	"slices"
	"time"
)

// State is what a holder reports of a worker to the planner.
type State struct {
	ID string `json:"id" cbor:"1,keyasint,omitzero"`
	// Partial is set if whatever is left out is unchanged since the last state of this
	// worker: Fence, Speed, Incarnation and Described if they are zero, and the runs that
	// are neither in Runs nor in Ended. With all of it in each state a planner received four times as much.
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
	// Incarnation is the incarnation that answered last, Described the one whose description
	// the holder has. Processes of earlier releases don't set them.
	Incarnation int64 `json:"incarnation,omitempty" cbor:"12,keyasint,omitzero"`
	Described   int64 `json:"described,omitempty" cbor:"13,keyasint,omitzero"`
}

// RunState is the state of one run on a worker.
type RunState struct {
	Run
	Resources Resources     `json:"room" cbor:"3,keyasint,omitzero"`
	Age       time.Duration `json:"age" cbor:"4,keyasint,omitzero"`
	Estimate  time.Duration `json:"estimate,omitempty" cbor:"5,keyasint,omitzero"`
	// Percent is how much of the work was done when it last changed, which is ProgressAge
	// ago.
	Percent     int           `json:"percent,omitempty" cbor:"6,keyasint,omitzero"`
	ProgressAge time.Duration `json:"seen,omitempty" cbor:"7,keyasint,omitzero"`
	Stopping    bool          `json:"stopping,omitempty" cbor:"8,keyasint,omitzero"`
}

// Changed returns what has changed of the state since the last call of Changed, Changes or
// State, or false if nothing has.
func (wl *WorkerLease) Changed(now time.Time) (State, bool) {
	if !wl.unreported {
		return State{}, false
	}
	return wl.Changes(now), true
}

// Changes returns what has changed of the state, which may be nothing, or the full state
// without the worker while that is due.
func (wl *WorkerLease) Changes(now time.Time) State {
	if !wl.fullStateSent {
		s := wl.State(now)
		s.Worker = nil
		return s
	}
	s := wl.summary()
	s.Partial = true
	if s.Speed.nearlyEqual(wl.lastReported.Speed) {
		s.Speed = Speed{}
	}
	if s.Fence == wl.lastReported.Fence {
		s.Fence = 0
	}
	if s.Incarnation == wl.lastReported.Incarnation {
		s.Incarnation = 0
	}
	if s.Described == wl.lastReported.Described {
		s.Described = 0
	}
	wl.recordReported(s)
	for _, e := range wl.sortedRuns() {
		if !e.reported && now.Sub(e.sentAt) >= reportDelay {
			s.Runs = append(s.Runs, e.report(now))
			e.reported = true
		}
	}
	wl.unreported, wl.removedRuns = false, nil
	return s
}

// recordReported records what the planner is told now.
func (wl *WorkerLease) recordReported(s State) {
	if s.Fence != 0 {
		wl.lastReported.Fence = s.Fence
	}
	if s.Speed != (Speed{}) {
		wl.lastReported.Speed = s.Speed
	}
	if s.Incarnation != 0 {
		wl.lastReported.Incarnation = s.Incarnation
	}
	if s.Described != 0 {
		wl.lastReported.Described = s.Described
	}
}

// State returns the full state and marks everything as reported.
func (wl *WorkerLease) State(now time.Time) State {
	s := wl.Snapshot(now)
	wl.unreported, wl.removedRuns, wl.fullStateSent = false, nil, true
	wl.recordReported(s)
	for _, e := range wl.runs {
		e.reported = true
	}
	return s
}

// Snapshot returns the full state without marking it as reported.
func (wl *WorkerLease) Snapshot(now time.Time) State {
	s := wl.summary()
	s.Worker = &wl.worker
	for _, e := range wl.sortedRuns() {
		s.Runs = append(s.Runs, e.report(now))
	}
	return s
}

// summary returns the state without the worker and its runs.
func (wl *WorkerLease) summary() State {
	return State{
		ID:       wl.worker.ID,
		Fence:    wl.fence,
		Open:     wl.phase == open && wl.usable && !wl.resourcesRefused && !wl.hasUnknownUsage(),
		Released: wl.phase == closed,
		Draining: wl.draining,
		Failures: wl.failures,
		Ended:    wl.removedRuns,
		Speed:    wl.speed,

		Incarnation: wl.incarnation,
		Described:   wl.worker.Incarnation,
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
func (wl *WorkerLease) Fence() Fence { return wl.fence }

// Resumed handles the end of a suspension of this process. The worker is checked before
// anything is started: another holder may have taken over in the meantime, and have
// renewed the lease until just now.
func (wl *WorkerLease) Resumed(now time.Time) {
	wl.resumedAt = now
	if wl.clock != 0 {
		wl.leaseEnd = max(wl.leaseEnd, wl.maxWorkerClock(now)+leaseDuration.Milliseconds())
	}
	wl.usable, wl.openPoll, wl.openCheck = false, 0, 0
	wl.unreported = true
	wl.nextHoldAt = now
	wl.Tick(now)
}

// Claiming reports whether runs of unknown owners were found, who may claim them now.
func (wl *WorkerLease) Claiming() bool { return wl.phase == claiming }

// Established reports whether the worker has accepted this holder and has listed its runs.
func (wl *WorkerLease) Established() bool { return wl.phase != connecting && wl.phase != closed }

// Owners returns the processes that have runs on the worker.
func (wl *WorkerLease) Owners() []Owner {
	var out []Owner
	for _, e := range wl.sortedRuns() {
		if !e.orphan && !slices.Contains(out, e.owner) {
			out = append(out, e.owner)
		}
	}
	return out
}
