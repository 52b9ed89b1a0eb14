package tables

import (
	"net/netip"
	"time"
)

// Holds are the backend servers that this process must not use yet, because they moved
// from one half to the other.
//
// Until a change is in force everywhere, other processes may still send such a server
// work of its old half. A move is therefore held for the settle time from the moment at
// which this process learned of it, not from the time of the edit: in a data centre that
// was cut off, every process learns of an old edit late, and the first one to learn of it
// must wait for the others. A new process finds the moves in its initial state and holds
// them all, since it can't know what its neighbours have learned.
type Holds struct {
	settle time.Duration
	until  map[netip.AddrPort]time.Time
}

// moveRetention bounds the age of a move, by the log's time and as of the newest edit, up
// to which a process that learns of it holds back the server. If a data centre is cut off
// for longer and a process starts there just when it is reconnected, a moved server may
// be used for both halves for up to the settle time.
const moveRetention = 24 * time.Hour

// NewHolds returns holds with the given settle time.
func NewHolds(settle time.Duration) *Holds {
	return &Holds{settle: settle, until: make(map[netip.AddrPort]time.Time)}
}

// Update holds back the servers that moved between two states and returns their number.
// It also removes expired holds.
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

// Held reports whether a server must not get work yet.
func (h *Holds) Held(now time.Time, server netip.AddrPort) bool {
	t, ok := h.until[server]
	return ok && now.Before(t)
}

// Len returns the number of holds, including expired ones that Update has not removed
// yet.
func (h *Holds) Len() int { return len(h.until) }
