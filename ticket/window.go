package ticket

import (
	"encoding/json"
	"slices"
)

// Verdict is the state of a sequence in a Window.
type Verdict uint8

// The verdicts.
const (
	// Start means that the sequence is new. If TryStart returns it, the sequence is
	// now marked as running.
	Start Verdict = iota
	// Running means that the sequence was started and has not ended.
	Running
	// Ended means that the sequence has ended. Its answer may still be stored.
	Ended
	// Burned means that the sequence was answered with "not run".
	Burned
	// Forgotten means that the sequence is below the window.
	Forgotten
	// BeyondRange means that the sequence is not in the ticket's range and never will
	// be.
	BeyondRange
	// TooFarAhead means that the distance from the oldest running sequence is at
	// least the width of the window. The sequence can be started once the running
	// one has ended, so it must not be answered with "not run".
	TooFarAhead
)

// Window holds the states of the sequences of one ticket. It divides them into those
// to skip, those in doubt and new ones, as PAPER-exactly-once-support, section 5, does
// with the offsets of a stream. Unlike there, a sequence in doubt is never run again.
//
// Its memory is fixed: one byte for each sequence from the low mark on, up to the
// width. When a sequence above the window is started, the low mark moves up past
// sequences that have ended or were never submitted. Those are then Forgotten: they are
// answered with "outcome unknown" and never start. The low mark does not move past a
// running sequence, because a copy of its submission could then no longer find the
// answer.
type Window struct {
	lowMark  uint64
	rangeEnd uint64
	verdicts []Verdict
}

// NewWindow returns a window of the given width for the sequences 0 to rangeEnd-1.
func NewWindow(width int, rangeEnd uint64) *Window {
	return &Window{rangeEnd: rangeEnd, verdicts: make([]Verdict, max(width, 1))}
}

// Low returns the low mark: the lowest sequence that is not forgotten.
func (w *Window) Low() uint64 { return w.lowMark }

// Width returns the number of sequences that the window spans, which is also its memory
// in bytes.
func (w *Window) Width() int { return len(w.verdicts) }

// TryStart returns the verdict on the sequence. If that is Start, the sequence is marked
// as running.
func (w *Window) TryStart(seq uint64) Verdict {
	v := w.Peek(seq)
	if v != Start {
		return v
	}
	w.advance(seq)
	*w.slot(seq) = Running
	return Start
}

// Peek returns the verdict on the sequence without starting it.
func (w *Window) Peek(seq uint64) Verdict {
	switch {
	case seq >= w.rangeEnd:
		return BeyondRange
	case seq < w.lowMark:
		return Forgotten
	case w.contains(seq):
		return *w.slot(seq)
	case w.hasRunningBelow(w.lowMarkFor(seq)):
		return TooFarAhead
	}
	return Start
}

// End marks a running sequence as Burned if burned is set, and as Ended otherwise.
func (w *Window) End(seq uint64, burned bool) {
	if seq < w.lowMark || !w.contains(seq) {
		return
	}
	v := Ended
	if burned {
		v = Burned
	}
	*w.slot(seq) = v
}

// contains reports whether seq, which must not be below the low mark, is in the window.
// Unlike lowMark+width, the subtraction can't wrap around.
func (w *Window) contains(seq uint64) bool {
	return seq-w.lowMark < uint64(len(w.verdicts))
}

// lowMarkFor returns the low mark at which seq is the last sequence of the window.
func (w *Window) lowMarkFor(seq uint64) uint64 {
	return seq - uint64(len(w.verdicts)) + 1
}

func (w *Window) hasRunningBelow(mark uint64) bool {
	for s := w.lowMark; s < mark && w.contains(s); s++ {
		if *w.slot(s) == Running {
			return true
		}
	}
	return false
}

// advance moves the low mark up until the window contains seq. Its cost is bounded by
// the width, however large the jump is.
func (w *Window) advance(seq uint64) {
	if w.contains(seq) {
		return
	}
	mark := w.lowMarkFor(seq)
	for s := w.lowMark; s < mark && w.contains(s); s++ {
		*w.slot(s) = Start
	}
	w.lowMark = mark
}

func (w *Window) slot(seq uint64) *Verdict {
	return &w.verdicts[seq%uint64(len(w.verdicts))]
}

// Clone returns a copy.
func (w *Window) Clone() *Window {
	return &Window{lowMark: w.lowMark, rangeEnd: w.rangeEnd, verdicts: slices.Clone(w.verdicts)}
}

// windowJSON is the encoding of a window for another process. State begins at the low
// mark and ends with the highest sequence that was started.
type windowJSON struct {
	Low   uint64 `json:"low"`
	Limit uint64 `json:"limit"`
	Width int    `json:"width"`
	State []byte `json:"state,omitempty"`
}

// MaxWidth is the largest width of a window.
const MaxWidth = 1 << 16

// MarshalJSON encodes the window for the handover at a planned stop.
func (w *Window) MarshalJSON() ([]byte, error) {
	m := windowJSON{Low: w.lowMark, Limit: w.rangeEnd, Width: len(w.verdicts)}
	for i := range w.verdicts {
		if v := *w.slot(w.lowMark + uint64(i)); v != Start {
			m.State = append(m.State, make([]byte, i+1-len(m.State))...)
			m.State[i] = byte(v)
		}
	}
	return json.Marshal(m)
}

// UnmarshalJSON decodes the output of MarshalJSON. It returns ErrFormat if the values
// are not those of a valid window.
func (w *Window) UnmarshalJSON(b []byte) error {
	var m windowJSON
	if err := json.Unmarshal(b, &m); err != nil {
		return err
	}
	if m.Width < 1 || m.Width > MaxWidth || len(m.State) > m.Width {
		return ErrFormat
	}
	w.lowMark, w.rangeEnd, w.verdicts = m.Low, m.Limit, make([]Verdict, m.Width)
	for i, v := range m.State {
		if Verdict(v) > Burned {
			return ErrFormat
		}
		*w.slot(w.lowMark + uint64(i)) = Verdict(v)
	}
	return nil
}
