package hub

import (
	"net/netip"
	"time"

	"snipehub.example/roster"
	"snipehub.example/tables"
)

// directory implements dispatch.Directory.
type directory struct{ h *Hub }

// State returns the tables in force.
func (d directory) State() *tables.State { return d.h.tables.State() }

// Usable reports whether new work may go to a backend server. It is false while the VM
// list says that the server is leaving, and until the settle time after the server's move
// from one half to the other has passed.
func (d directory) Usable(now time.Time, server netip.AddrPort) bool {
	return !d.h.knownVMs.isLeaving(server.Addr()) && !d.h.tables.Held(now, server)
}

// MayPlace reports whether this process may start work.
func (d directory) MayPlace(now time.Time) bool { return d.h.mayPlace(now) }

// Members returns the dispatchers that are not gone, including this process.
func (d directory) Members(now time.Time) []roster.Known {
	out := []roster.Known{{Member: d.h.roster.Self(), State: roster.Live, LastHeard: now}}
	for _, k := range d.h.roster.All(now) {
		if k.State != roster.Gone {
			out = append(out, k)
		}
	}
	return out
}
