// Package pool knows the backend servers that this dispatcher may speak to:
// how many tasks it has on each, how fast each is, and which are set aside.
//
// Servers with room stand in lists by class of speed, so that finding one costs
// the same for ten servers and for thousands. Everything is a plain value that
// is told the time; nothing here is safe for several goroutines.
package pool

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"snipehub.example/tables"
)

// Members is the dispatchers that divide a server's slots.
type Members struct {
	Self string
	// Sizes gives each member's relative size by its name, Self included.
	Sizes map[string]int
}

// Score is the rendezvous hash of a server and a member.
func Score(server netip.AddrPort, member string) uint64 {
	var d xxhash.Digest
	d.Reset()
	b := server.Addr().As16()
	_, _ = d.Write(b[:])
	_, _ = d.Write([]byte{byte(server.Port() >> 8), byte(server.Port())})
	_, _ = d.WriteString(member)
	return d.Sum64()
}

// Pool is the servers of one row of the pools table in this data centre.
type Pool struct {
	Name string
	free FreeServers
	// servers counts all, ejectedCount those set ejectedCount.
	servers, ejectedCount int
	limit                 int
	probes                []*Server
}

// FreeServers returns the servers with room.
func (p *Pool) FreeServers() *FreeServers { return &p.free }

// Servers returns how many servers the pool has here.
func (p *Pool) Servers() int { return p.servers }

// Limit returns the sum of the tasks that this dispatcher may have there.
func (p *Pool) Limit() int { return p.limit }

// Ejected returns how many of them are set aside.
func (p *Pool) Ejected() int { return p.ejectedCount }

// Membership is a server's membership of a pool.
type Membership struct {
	Server *Server
	pool   *Pool
	class  int
	index  int
}

// FreeServers is the servers with room, by class of speed.
type FreeServers struct {
	classes [classes][]*Membership
	n       int
}

// Len returns how many servers have room.
func (f *FreeServers) Len() int { return f.n }

// At returns the i-th server with room, fastest class first.
func (f *FreeServers) At(i int) *Membership {
	for _, c := range f.classes {
		if i < len(c) {
			return c[i]
		}
		i -= len(c)
	}
	return nil
}

// Fastest returns the servers with room of the fastest class that has any.
func (f *FreeServers) Fastest() []*Membership {
	for _, c := range f.classes {
		if len(c) > 0 {
			return c
		}
	}
	return nil
}

func (f *FreeServers) add(s *Membership, class int) {
	s.class = class
	s.index = len(f.classes[class])
	f.classes[class] = append(f.classes[class], s)
	f.n++
}

func (f *FreeServers) remove(s *Membership) {
	list := f.classes[s.class]
	last := list[len(list)-1]
	list[s.index] = last
	last.index = s.index
	list[len(list)-1] = nil
	f.classes[s.class] = list[:len(list)-1]
	s.index = -1
	f.n--
}

// key identifies a server.
type key = netip.AddrPort

// row is what the tables say about a server here.
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
