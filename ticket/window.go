package ticket

import (
	"encoding/json"
	"slices"
)

// Verdict is what a window says about a sequence that arrives.
type Verdict uint8

// The verdicts.
const (
	// Start means that the sequence is new; Take has now marked it as running.
	Start Verdict = iota
	// Running means that it was started and has not ended.
	Running
	// Kept means that it ended and its answer may still be kept.
	Kept
	// Burned means that it was answered with "not run".
	Burned
	// Forgotten means that it lies below the window.
	Forgotten
	// Outside means that it is not in the ticket's range and never will be.
	Outside
	// Ahead means that it lies further above the oldest running sequence than
	// the window is wide. It can be taken once that one has ended, so nobody
	// may call it "not run".
	Ahead
)

// Window remembers what has become of the sequences of one ticket. It is the
// split of a stream by offset into what to skip, what is in doubt and what is
// new (PAPER-exactly-once-support, section 5), but for one thing: what is in
// doubt is never run again here.
//
// Its memory is fixed: one byte for each sequence from the low mark on, up to
// its width. When a sequence arrives above the window, the low mark moves up
// over sequences that have ended or that never came; those are then forgotten,
// which answers "outcome unknown", and never start. It does not move over a
// running one: a copy of that one would then no longer find the answer that is
// being made for it.
type Window struct {
	low   uint64
	limit uint64
	state []Verdict
}

// NewWindow makes a window of the given width over the sequences 0 to limit-1.
func NewWindow(width int, limit uint64) *Window {
	return &Window{limit: limit, state: make([]Verdict, max(width, 1))}
}

// Low returns the lowest sequence that is not forgotten.
func (w *Window) Low() uint64 { return w.low }

// Width returns how many sequences the window spans, and its memory in bytes.
func (w *Window) Width() int { return len(w.state) }

// Take asks for the sequence; on Start it is marked as running.
func (w *Window) Take(seq uint64) Verdict {
	v := w.Peek(seq)
	if v != Start {
		return v
	}
	w.advance(seq)
	*w.at(seq) = Running
	return Start
}

// Peek tells about the sequence without taking it.
func (w *Window) Peek(seq uint64) Verdict {
	switch {
	case seq >= w.limit:
		return Outside
	case seq < w.low:
		return Forgotten
	case w.inside(seq):
		return *w.at(seq)
	case w.runsBelow(w.lowFor(seq)):
		return Ahead
	}
	return Start
}

// End marks a running sequence as ended; burned tells that it was "not run".
func (w *Window) End(seq uint64, burned bool) {
	if seq < w.low || !w.inside(seq) {
		return
	}
	v := Kept
	if burned {
		v = Burned
	}
	*w.at(seq) = v
}

// inside tells whether seq, which is not below the low mark, is in the window.
// The subtraction can't wrap around, as low+width could.
func (w *Window) inside(seq uint64) bool {
	return seq-w.low < uint64(len(w.state))
}

// lowFor returns the low mark at which seq is the last of the window.
func (w *Window) lowFor(seq uint64) uint64 {
	return seq - uint64(len(w.state)) + 1
}

func (w *Window) runsBelow(mark uint64) bool {
	for s := w.low; s < mark && w.inside(s); s++ {
		if *w.at(s) == Running {
			return true
		}
	}
	return false
}

// advance moves the low mark up so far that seq is inside. Its cost is bounded
// by the width, however far the caller jumps.
func (w *Window) advance(seq uint64) {
	if w.inside(seq) {
		return
	}
	mark := w.lowFor(seq)
	for s := w.low; s < mark && w.inside(s); s++ {
		*w.at(s) = Start
	}
	w.low = mark
}

func (w *Window) at(seq uint64) *Verdict {
	return &w.state[seq%uint64(len(w.state))]
}

// Clone returns a copy.
func (w *Window) Clone() *Window {
	return &Window{low: w.low, limit: w.limit, state: slices.Clone(w.state)}
}

// image is a window as it is handed to another process: State begins at the
// low mark, and ends with the last sequence that was taken.
type image struct {
	Low   uint64 `json:"low"`
	Limit uint64 `json:"limit"`
	Width int    `json:"width"`
	State []byte `json:"state,omitempty"`
}

// MaxWidth is the largest width of a window.
const MaxWidth = 1 << 16

// MarshalJSON writes the window for the hand-over at a planned stop.
func (w *Window) MarshalJSON() ([]byte, error) {
	m := image{Low: w.low, Limit: w.limit, Width: len(w.state)}
	for i := range w.state {
		if v := *w.at(w.low + uint64(i)); v != Start {
			m.State = append(m.State, make([]byte, i+1-len(m.State))...)
			m.State[i] = byte(v)
		}
	}
	return json.Marshal(m)
}

// UnmarshalJSON reads what MarshalJSON writes; ErrFormat for what can't be a
// window.
func (w *Window) UnmarshalJSON(b []byte) error {
	var m image
	if err := json.Unmarshal(b, &m); err != nil {
		return err
	}
	if m.Width < 1 || m.Width > MaxWidth || len(m.State) > m.Width {
		return ErrFormat
	}
	w.low, w.limit, w.state = m.Low, m.Limit, make([]Verdict, m.Width)
	for i, v := range m.State {
		if Verdict(v) > Burned {
			return ErrFormat
		}
		*w.at(w.low + uint64(i)) = Verdict(v)
	}
	return nil
}
