package hub

import (
	"net/netip"
	"time"

	"snipehub.example/roster"
	"snipehub.example/tables"
)

// directory gives the dispatch package its view of the world.
type directory struct{ h *Hub }

// State returns the tables in force.
func (d directory) State() *tables.State { return d.h.tables.State() }

// Usable tells whether new work may go to a backend server.
func (d directory) Usable(time.Time, netip.AddrPort) bool { return true }

// MayPlace tells whether this process may start work.
func (d directory) MayPlace(time.Time) bool { return true }

// Members returns the dispatchers that are not gone, this process included.
func (d directory) Members(now time.Time) []roster.Known {
	out := []roster.Known{{Member: d.h.roster.Self(), State: roster.Live, Heard: now}}
	for _, k := range d.h.roster.All(now) {
		if k.State != roster.Gone {
			out = append(out, k)
		}
	}
	return out
}
