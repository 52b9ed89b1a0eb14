package lease

import (
	"slices"
	"time"
)

// State is what a holder tells the planner of a worker.
type State struct {
	ID string `json:"id" cbor:"1,keyasint,omitzero"`
	// Part tells that what is left out has not changed since the last state of this
	// worker: Fence and Speed if they are zero, and the runs that stand neither in Runs
	// nor in Ended. With all of it in each state a planner took in four times as much.
	Part bool `json:"-" cbor:"11,keyasint,omitzero"`
	// Worker is set now and then; a planner that does not know the worker waits
	// for it.
	Worker *Worker `json:"worker,omitempty" cbor:"2,keyasint,omitzero"`
	Fence  Fence   `json:"fence" cbor:"3,keyasint,omitzero"`
	// Open tells that tasks may be started there now.
	Open bool `json:"open,omitempty" cbor:"4,keyasint,omitzero"`
	// Gone tells that this process does not hold the worker any more.
	Gone bool `json:"gone,omitempty" cbor:"5,keyasint,omitzero"`
	// Draining tells that the worker takes no new tasks.
	Draining bool `json:"draining,omitempty" cbor:"6,keyasint,omitzero"`
	// Failures counts the hold calls without an answer since the last answer.
	Failures int       `json:"failures,omitempty" cbor:"7,keyasint,omitzero"`
	Runs     []Holding `json:"runs,omitempty" cbor:"8,keyasint,omitzero"`
	// Ended are the runs that were removed since the last state.
	Ended []Run `json:"ended,omitempty" cbor:"9,keyasint,omitzero"`
	Speed Speed `json:"speed" cbor:"10,keyasint,omitzero"`
}

// Holding is one run on a worker.
type Holding struct {
	Run
	Room     Room          `json:"room" cbor:"3,keyasint,omitzero"`
	Age      time.Duration `json:"age" cbor:"4,keyasint,omitzero"`
	Estimate time.Duration `json:"estimate,omitempty" cbor:"5,keyasint,omitzero"`
	// Percent is how much is done, as of Seen ago.
	Percent  int           `json:"percent,omitempty" cbor:"6,keyasint,omitzero"`
	Seen     time.Duration `json:"seen,omitempty" cbor:"7,keyasint,omitzero"`
	Stopping bool          `json:"stopping,omitempty" cbor:"8,keyasint,omitzero"`
}

// Changed returns what has changed of the state since the last call of Changed or
// State, false if nothing has.
func (b *Book) Changed(now time.Time) (State, bool) {
	if !b.dirty {
		return State{}, false
	}
	return b.Part(now), true
}

// Part returns what has changed of the state, and at least that there is one.
func (b *Book) Part(now time.Time) State {
	if !b.stated {
		s := b.State(now)
		s.Worker = nil
		return s
	}
	s := b.brief()
	s.Part = true
	if s.Speed.near(b.told.Speed) {
		s.Speed = Speed{}
	}
	if s.Fence == b.told.Fence {
		s.Fence = 0
	}
	b.note(s)
	for _, e := range b.sorted() {
		if !e.reported && now.Sub(e.sent) >= reportAfter {
			s.Runs = append(s.Runs, e.holding(now))
			e.reported = true
		}
	}
	b.dirty, b.gone = false, nil
	return s
}

// note keeps what the planner is told now.
func (b *Book) note(s State) {
	if s.Fence != 0 {
		b.told.Fence = s.Fence
	}
	if s.Speed != (Speed{}) {
		b.told.Speed = s.Speed
	}
}

// State returns the state and clears what Changed looks at.
func (b *Book) State(now time.Time) State {
	s := b.Peek(now)
	b.dirty, b.gone, b.stated = false, nil, true
	b.note(s)
	for _, e := range b.runs {
		e.reported = true
	}
	return s
}

// Peek returns the state.
func (b *Book) Peek(now time.Time) State {
	s := b.brief()
	s.Worker = &b.worker
	for _, e := range b.sorted() {
		s.Runs = append(s.Runs, e.holding(now))
	}
	return s
}

// brief is the state without the worker and its runs.
func (b *Book) brief() State {
	return State{
		ID:       b.worker.ID,
		Fence:    b.fence,
		Open:     b.phase == open && b.sound && !b.full,
		Gone:     b.phase == closed,
		Draining: b.draining,
		Failures: b.failures,
		Ended:    b.gone,
		Speed:    b.speed,
	}
}

func (e *run) holding(now time.Time) Holding {
	return Holding{
		Run:      e.Run,
		Room:     e.Room,
		Age:      now.Sub(e.sent),
		Estimate: e.Estimate,
		Percent:  e.percent,
		Seen:     seenAgo(now, e),
		Stopping: e.state == stopping,
	}
}

// seenAgo is the time since the run's progress was told.
func seenAgo(now time.Time, e *run) time.Duration {
	if e.progressed.IsZero() {
		return 0
	}
	return now.Sub(e.progressed)
}

// Fence returns the fence in use.
func (b *Book) Fence() Fence { return b.fence }

// Thawed makes the book look at the worker before anything is started: another
// holder may have taken over while this process did not run, and have renewed the lease
// until just now.
func (b *Book) Thawed(now time.Time) {
	b.thawed = now
	if b.clock != 0 {
		b.lease = max(b.lease, b.at(now)+leaseFor.Milliseconds())
	}
	b.sound, b.poll, b.look = false, 0, 0
	b.dirty = true
	b.nextHold = now
	b.Tick(now)
}

// Claiming tells that runs of unknown owners were found, who may claim them now.
func (b *Book) Claiming() bool { return b.phase == claiming }

// Known tells that the worker has accepted this holder and has told what it runs.
func (b *Book) Known() bool { return b.phase != looking && b.phase != closed }

// Owners returns the processes that have runs on the worker.
func (b *Book) Owners() []Owner {
	var out []Owner
	for _, e := range b.sorted() {
		if !e.orphan && !slices.Contains(out, e.owner) {
			out = append(out, e.owner)
		}
	}
	return out
}
