package ticket

// Verdict is what a window says about a sequence that arrives.
type Verdict int

// The verdicts.
const (
	// Start means that the sequence is new and has now been taken.
	Start Verdict = iota
	// Running means that it was started and has not ended.
	Running
	// Kept means that it ended and its answer may still be kept.
	Kept
	// Burned means that it was answered with "not run".
	Burned
	// Forgotten means that it lies below the window.
	Forgotten
	// Beyond means that it is not in the ticket's range, or further above
	// the window's low mark than the window is wide.
	Beyond
)

// Window remembers what has become of the sequences of one ticket. It is the
// split of a stream by offset into what to skip, what is in doubt and what is
// new (PAPER-exactly-once-support, section 5), but for one thing: what is in
// doubt is never run again here.
//
// Its memory is fixed: the sequences from the low mark on, up to its width.
// When a sequence arrives above the window, the low mark moves up over
// sequences that have ended or that never came; those are then forgotten, which
// answers "outcome unknown", and never starts anything. It does not move over a
// running one.
type Window struct {
	low   uint64
	limit uint64
	state []Verdict
}

const fresh Verdict = -1

// NewWindow makes a window of the given width over the sequences 0 to limit-1.
func NewWindow(width int, limit uint64) *Window {
	w := &Window{limit: limit, state: make([]Verdict, width)}
	for i := range w.state {
		w.state[i] = fresh
	}
	return w
}

// Take asks for the sequence; on Start it is marked as running.
func (w *Window) Take(seq uint64) Verdict {
	switch {
	case seq >= w.limit:
		return Beyond
	case seq < w.low:
		return Forgotten
	case !w.reach(seq):
		return Beyond
	}
	p := w.at(seq)
	if *p != fresh {
		return *p
	}
	*p = Running
	return Start
}

// Peek tells about the sequence without taking it; Start means not seen.
func (w *Window) Peek(seq uint64) Verdict {
	switch {
	case seq >= w.limit:
		return Beyond
	case seq < w.low:
		return Forgotten
	case seq >= w.low+uint64(len(w.state)) || *w.at(seq) == fresh:
		return Start
	}
	return *w.at(seq)
}

// End marks a running sequence as ended; burned tells that it was "not run".
func (w *Window) End(seq uint64, burned bool) {
	if seq < w.low || seq >= w.low+uint64(len(w.state)) {
		return
	}
	v := Kept
	if burned {
		v = Burned
	}
	*w.at(seq) = v
}

// reach moves the low mark up so far that seq is inside, if it may.
func (w *Window) reach(seq uint64) bool {
	width := uint64(len(w.state))
	if seq < w.low+width {
		return true
	}
	for s := w.low; s+width <= seq && s < w.low+width; s++ {
		if *w.at(s) == Running {
			return false
		}
	}
	for w.low+width <= seq {
		*w.at(w.low) = fresh
		w.low++
	}
	return true
}

func (w *Window) at(seq uint64) *Verdict {
	return &w.state[seq%uint64(len(w.state))]
}
