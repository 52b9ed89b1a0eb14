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

// Usable tells whether new work may go to a backend server: not while the VM
// list says that it is leaving, nor before the settle time after its move from
// one half to the other.
func (d directory) Usable(now time.Time, server netip.AddrPort) bool {
	return !d.h.platform.isLeaving(server.Addr()) && !d.h.tables.Held(now, server)
}

// MayPlace tells whether this process may start work.
func (d directory) MayPlace(now time.Time) bool { return d.h.mayPlace(now) }

// Members returns the dispatchers that are not gone, this process included.
func (d directory) Members(now time.Time) []roster.Known {
	out := []roster.Known{{Member: d.h.roster.Self(), State: roster.Live, LastHeard: now}}
	for _, k := range d.h.roster.All(now) {
		if k.State != roster.Gone {
			out = append(out, k)
		}
	}
	return out
}
