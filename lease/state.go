package lease

import (
	"slices"
	"time"
)

// State is what a holder tells the planner of a worker.
type State struct {
	ID string `json:"id"`
	// Worker is set now and then; a planner that does not know the worker waits
	// for it.
	Worker *Worker `json:"worker,omitempty"`
	Fence  Fence   `json:"fence"`
	// Open tells that tasks may be started there now.
	Open bool `json:"open,omitempty"`
	// Gone tells that this process does not hold the worker any more.
	Gone bool `json:"gone,omitempty"`
	// Draining tells that the worker takes no new tasks.
	Draining bool `json:"draining,omitempty"`
	// Failures counts the hold calls without an answer since the last answer.
	Failures int       `json:"failures,omitempty"`
	Runs     []Holding `json:"runs,omitempty"`
	// Ended are the runs that were removed since the last state.
	Ended []Run `json:"ended,omitempty"`
	Speed Speed `json:"speed"`
}

// Holding is one run on a worker.
type Holding struct {
	Run
	Room     Room          `json:"room"`
	Age      time.Duration `json:"age"`
	Estimate time.Duration `json:"estimate,omitempty"`
	// Percent is how much is done, as of Seen ago.
	Percent  int           `json:"percent,omitempty"`
	Seen     time.Duration `json:"seen,omitempty"`
	Stopping bool          `json:"stopping,omitempty"`
}

// Changed returns the state if it has changed since the last call, without what
// never changes.
func (b *Book) Changed(now time.Time) (State, bool) {
	if !b.dirty {
		return State{}, false
	}
	s := b.State(now)
	s.Worker = nil
	return s, true
}

// State returns the state and clears what Changed looks at.
func (b *Book) State(now time.Time) State {
	s := b.Peek(now)
	b.dirty, b.gone = false, nil
	for _, e := range b.runs {
		e.reported = true
	}
	return s
}

// Peek returns the state.
func (b *Book) Peek(now time.Time) State {
	s := State{
		ID:       b.worker.ID,
		Worker:   &b.worker,
		Fence:    b.fence,
		Open:     b.phase == open && b.sound && !b.full,
		Gone:     b.phase == closed,
		Draining: b.draining,
		Failures: b.failures,
		Ended:    b.gone,
		Speed:    b.speed,
	}
	for _, e := range b.sorted() {
		s.Runs = append(s.Runs, Holding{
			Run:      e.Run,
			Room:     e.Room,
			Age:      now.Sub(e.sent),
			Estimate: e.Estimate,
			Percent:  e.percent,
			Seen:     seenAgo(now, e),
			Stopping: e.state == stopping,
		})
	}
	return s
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
// holder may have taken over while this process did not run.
func (b *Book) Thawed(now time.Time) {
	b.thawed = now
	b.sound, b.poll, b.look = false, 0, 0
	b.dirty = true
	b.nextHold = now
	b.Tick(now)
}

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
