package tables

import (
	"net/netip"
	"time"
)

// Holds are the backend servers that this process must not use yet, because
// they moved from one half to the other.
//
// Other processes may still send such a server work of its old half, until the
// change is in force everywhere. A move is therefore held for the settle time
// from the moment at which this process learned of it, not from the time of the
// edit: in a data centre that was cut off, everybody learns of an old edit late,
// and the first one to learn of it must wait for the others. A fresh process
// finds the moves in the state that it starts with and holds them all, since it
// can't know what its neighbours have learned.
type Holds struct {
	settle time.Duration
	until  map[netip.AddrPort]time.Time
}

// moveRetention is how long a move is held back by processes that start
// later, by the log's time. A data centre that is cut off for longer than this
// may use a moved server for both halves for up to the settle time, if a
// process starts there in the moment in which it is joined again.
const moveRetention = 24 * time.Hour

// NewHolds makes holds of the given settle time.
func NewHolds(settle time.Duration) *Holds {
	return &Holds{settle: settle, until: make(map[netip.AddrPort]time.Time)}
}

// Update takes a change of the tables and returns how many servers it holds
// back. It also forgets the holds that are over.
func (h *Holds) Update(now time.Time, before, after *State) int {
	for a, t := range h.until {
		if !now.Before(t) {
			delete(h.until, a)
		}
	}
	n := 0
	for _, m := range after.movesSince(before.Version) {
		if m.To == "" || m.At.Before(after.loggedAt.Add(-moveRetention)) {
			continue
		}
		h.until[m.Address] = now.Add(h.settle)
		n++
	}
	return n
}

// Held tells whether a server must not get work yet.
func (h *Holds) Held(now time.Time, server netip.AddrPort) bool {
	t, ok := h.until[server]
	return ok && now.Before(t)
}

// Len returns how many servers are remembered as held.
func (h *Holds) Len() int { return len(h.until) }
