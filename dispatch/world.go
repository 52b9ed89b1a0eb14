package dispatch

import (
	"maps"
	"net/netip"
	"time"

	"snipehub.example/dispatch/plan"
	"snipehub.example/dispatch/pool"
	"snipehub.example/roster"
)

// refreshCluster applies the directory's tables and members if they have changed.
// Applying them visits every backend server.
func (d *Dispatcher) refreshCluster(now time.Time) {
	d.membersReadAt = now
	known := d.dir.Members(now)
	m, live := d.members(known)
	d.setPeers(known)
	cluster := plan.Cluster{
		Tables:      d.dir.State(),
		Members:     m,
		Dispatchers: live,
		MayPlace:    d.dir.MayPlace(now),
		Usable:      func(a netip.AddrPort) bool { return d.dir.Usable(d.clock.Now(), a) },
	}
	unchanged := cluster.Tables == d.cluster.Tables && live == d.cluster.Dispatchers && maps.Equal(m.Sizes, d.cluster.Members.Sizes)
	if unchanged {
		return
	}
	d.cluster = cluster
	d.planner.SetCluster(now, cluster)
}

// members returns the dispatchers that divide the slots of this data centre, and the
// number of live dispatchers in all data centres. A member that is suspect or leaving
// gets no share, because its slots would stay idle.
func (d *Dispatcher) members(known []roster.Known) (pool.Members, int) {
	self := d.cfg.Self.Owner.String()
	out := pool.Members{Self: self, Sizes: map[string]int{self: d.cfg.Connections}}
	live := 1
	for _, k := range known {
		if k.State != roster.Live || k.Owner == d.cfg.Self.Owner {
			continue
		}
		live++
		if k.Owner.DataCenter == d.cfg.DataCenter {
			out.Sizes[k.Owner.String()] = size(k, d.cfg.Connections)
		}
	}
	return out, live
}

// size returns the relative size of a member: its connections or, if it reports none,
// own.
func size(k roster.Known, own int) int {
	if k.Connections > 0 {
		return k.Connections
	}
	return own
}
