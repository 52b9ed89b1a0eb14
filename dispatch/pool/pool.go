// Package pool tracks the backend servers that this dispatcher may use: how many tasks it
// has on each, how fast each is, and which are ejected.
//
// Servers with free slots are kept in lists by speed class, so that finding one takes the
// same time for ten servers as for thousands. The package is a deterministic state
// machine without I/O: the caller passes the time in. It is not safe for concurrent use.
package pool

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"snipehub.example/tables"
)

// Members is the set of dispatchers that divide the servers' slots.
type Members struct {
	Self string
	// Sizes maps each member's name, including Self, to its relative size.
	Sizes map[string]int
}

// Score returns the rendezvous hash of a server and a member.
func Score(server netip.AddrPort, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	b := server.Addr().As16()
	_, _ = d.Write(b[:])
	_, _ = d.Write([]byte{byte(server.Port() >> 8), byte(server.Port())})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Pool is one row of the pools table, with its servers in this data centre.
type Pool struct {
	Name string
	free FreeServers
	// servers counts all servers, ejectedCount those among them that are ejected or being
	// probed.
	servers, ejectedCount int
	limit                 int
	// probes holds the servers that are due for a probe, as of the last Fleet.Tick.
	probes []*Server
}

// FreeServers returns the servers with free slots.
func (p *Pool) FreeServers() *FreeServers { return &p.free }

// Servers returns the number of servers that the pool has in this data centre.
func (p *Pool) Servers() int { return p.servers }

// Limit returns how many tasks this dispatcher may have on the pool's servers in total.
func (p *Pool) Limit() int { return p.limit }

// Ejected returns how many servers of the pool are ejected or being probed.
func (p *Pool) Ejected() int { return p.ejectedCount }

// Membership is a server as a member of one pool.
type Membership struct {
	Server *Server
	pool   *Pool
	class  int
	// index is the index in FreeServers.classes[class], or -1 while it is not there.
	index int
}

// FreeServers is the set of servers with free slots, by speed class.
type FreeServers struct {
	classes [classes][]*Membership
	n       int
}

// Len returns the number of servers with free slots.
func (f *FreeServers) Len() int { return f.n }

// At returns the i-th server with free slots, fastest class first.
func (f *FreeServers) At(i int) *Membership {
	for _, c := range f.classes {
		if i < len(c) {
			return c[i]
		}
		i -= len(c)
	}
	return nil
}

// Fastest returns the servers with free slots of the fastest class that has any.
func (f *FreeServers) Fastest() []*Membership {
	for _, c := range f.classes {
		if len(c) > 0 {
			return c
		}
	}
	return nil
}

func (f *FreeServers) add(ms *Membership, class int) {
	ms.class = class
	ms.index = len(f.classes[class])
	f.classes[class] = append(f.classes[class], ms)
	f.n++
}

func (f *FreeServers) remove(ms *Membership) {
	list := f.classes[ms.class]
	last := list[len(list)-1]
	list[ms.index] = last
	last.index = ms.index
	list[len(list)-1] = nil
	f.classes[ms.class] = list[:len(list)-1]
	ms.index = -1
	f.n--
}

// key identifies a server.
type key = netip.AddrPort

// row is the tables' entry for a server in this data centre, over all pools.
type row struct {
	slots   int
	leaving bool
	pools   []string
}

func localServers(st *tables.State, dataCenter string) map[key]*row {
	out := make(map[key]*row)
	for _, v := range st.Rows().Servers {
		if v.DataCenter != dataCenter {
			continue
		}
		r := out[v.Address]
		if r == nil {
			r = &row{}
			out[v.Address] = r
		}
		r.slots = max(r.slots, v.Slots)
		r.leaving = r.leaving || v.Leaving
		r.pools = append(r.pools, v.Pool)
	}
	return out
}
