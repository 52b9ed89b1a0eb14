// Package tables holds the routes and pools tables and the rule by which
// edits of them take effect.
//
// The tables live on one stream of the platform's log. Every process replays
// the stream in the order of its offsets and comes to the same state, so there
// is nothing to agree on besides the order that the log gives. An edit names
// the version that its editor saw and takes effect only when that is still the
// current one: of two operators who race, the first on the log wins and every
// reader rejects the other alike.
package tables

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/ledger"
)

// Version is the offset of the edit that made the current state.
type Version = ledger.Offset

// Route says where a kind of request goes.
type Route struct {
	Kind string `toml:"kind" json:"kind"`
	Half string `toml:"half" json:"half"`
	Pool string `toml:"pool" json:"pool"`
	// Repeatable allows a single request to be tried again when it is not
	// known whether it ran.
	Repeatable bool `toml:"repeatable,omitempty" json:"repeatable,omitempty"`
	// Timeout bounds one attempt; 0 takes the dispatcher's default.
	Timeout time.Duration `toml:"timeout,omitempty" json:"timeout,omitempty"`
}

// Pool names a group of backend servers of one half.
type Pool struct {
	Name string `toml:"name" json:"name"`
	Half string `toml:"half" json:"half"`
}

// Server is a backend server's membership of a pool.
type Server struct {
	Pool       string         `toml:"pool" json:"pool"`
	Address    netip.AddrPort `toml:"address" json:"address"`
	DataCenter string         `toml:"data_center" json:"data_center"`
	// Slots is how many tasks it runs at once.
	Slots   int  `toml:"slots" json:"slots"`
	Leaving bool `toml:"leaving,omitempty" json:"leaving,omitempty"`
}

// Team is a group of callers that shares a quota.
type Team struct {
	Name string `toml:"name" json:"name"`
	// Weight is the team's part when callers compete; 0 counts as 1.
	Weight float64 `toml:"weight,omitempty" json:"weight,omitempty"`
	// Quota is how many of its tasks may run at once over the whole system; 0
	// means no limit.
	Quota int `toml:"quota,omitempty" json:"quota,omitempty"`
}

// Rows is the content of both tables. The zero value is empty.
type Rows struct {
	Routes  []Route  `toml:"routes" json:"routes,omitempty"`
	Teams   []Team   `toml:"teams" json:"teams,omitempty"`
	Pools   []Pool   `toml:"pools" json:"pools,omitempty"`
	Servers []Server `toml:"servers" json:"servers,omitempty"`
}

// State is the content of the tables at a version. States are never changed
// once made, so they may be shared between goroutines.
type State struct {
	Version Version
	Rows    Rows

	routes map[string]Route
	pools  map[string]Pool
	byPool map[string][]Server
	teams  map[string]Team
}

// Empty is the state before the first edit.
func Empty() *State {
	s, _ := Build(ledger.None, Rows{})
	return s
}

// Route finds the row of a kind.
func (s *State) Route(kind string) (Route, bool) {
	r, ok := s.routes[kind]
	return r, ok
}

// Servers returns the members of a pool; do not change the result.
func (s *State) Servers(pool string) []Server { return s.byPool[pool] }

// Team finds a team's row.
func (s *State) Team(name string) (Team, bool) {
	t, ok := s.teams[name]
	return t, ok
}

// Build checks the rows and indexes them.
func Build(v Version, rows Rows) (*State, error) {
	s := &State{
		Version: v,
		Rows:    rows,
		routes:  make(map[string]Route, len(rows.Routes)),
		pools:   make(map[string]Pool, len(rows.Pools)),
		byPool:  make(map[string][]Server, len(rows.Pools)),
		teams:   make(map[string]Team, len(rows.Teams)),
	}
	half := make(map[netip.AddrPort]string, len(rows.Servers))
	for _, p := range rows.Pools {
		if p.Name == "" || p.Half == "" {
			return nil, errors.Errorf("pools: pool %q: name and half must be set", p.Name)
		}
		if _, dup := s.pools[p.Name]; dup {
			return nil, errors.Errorf("pools: pool %q stands twice", p.Name)
		}
		s.pools[p.Name] = p
	}
	for _, v := range rows.Servers {
		p, ok := s.pools[v.Pool]
		switch {
		case !v.Address.IsValid():
			return nil, errors.Errorf("servers: pool %q: a server has no address", v.Pool)
		case !ok:
			return nil, errors.Errorf("servers: %s: no pool %q", v.Address, v.Pool)
		case v.Slots <= 0:
			return nil, errors.Errorf("servers: %s: slots must be above 0", v.Address)
		case half[v.Address] != "" && half[v.Address] != p.Half:
			return nil, errors.Errorf("servers: %s: in pools of two halves", v.Address)
		case slices.ContainsFunc(s.byPool[v.Pool], func(o Server) bool { return o.Address == v.Address }):
			return nil, errors.Errorf("servers: %s stands twice in pool %q", v.Address, v.Pool)
		}
		half[v.Address] = p.Half
		s.byPool[v.Pool] = append(s.byPool[v.Pool], v)
	}
	for _, r := range rows.Routes {
		p, ok := s.pools[r.Pool]
		switch {
		case r.Kind == "":
			return nil, errors.New("routes: a route has no kind")
		case !ok:
			return nil, errors.Errorf("routes: kind %q: no pool %q", r.Kind, r.Pool)
		case p.Half != r.Half:
			return nil, errors.Errorf("routes: kind %q: half %q, but pool %q is of half %q", r.Kind, r.Half, r.Pool, p.Half)
		}
		if _, dup := s.routes[r.Kind]; dup {
			return nil, errors.Errorf("routes: kind %q stands twice", r.Kind)
		}
		s.routes[r.Kind] = r
	}
	for _, t := range rows.Teams {
		if t.Name == "" {
			return nil, errors.New("teams: a team has no name")
		}
		s.teams[t.Name] = t
	}
	return s, nil
}

// Edit is a change of rows, as it stands on the log. An edit carries only the
// rows that change: at 14,000 edits a day of tables with 13,000 servers, whole
// tables would cost every process megabytes for each edit.
type Edit struct {
	ID     string    `json:"id"`
	Base   Version   `json:"base"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	Put    Rows      `json:"put"`
	Drop   Keys      `json:"drop"`
}

// Keys names rows to remove.
type Keys struct {
	Routes  []string    `json:"routes,omitempty"`
	Teams   []string    `json:"teams,omitempty"`
	Pools   []string    `json:"pools,omitempty"`
	Servers []ServerKey `json:"servers,omitempty"`
}

// ServerKey names a row of servers.
type ServerKey struct {
	Pool    string         `json:"pool"`
	Address netip.AddrPort `json:"address"`
}

// Apply returns the state that the edit at offset v makes of s, or the reason
// why every reader rejects it.
func (s *State) Apply(v Version, e Edit) (*State, error) {
	if e.Base != s.Version {
		return nil, errors.Errorf("base is version %d, current is %d", e.Base, s.Version)
	}
	rows := Rows{
		Routes:  merge(s.Rows.Routes, e.Put.Routes, e.Drop.Routes, func(r Route) string { return r.Kind }),
		Teams:   merge(s.Rows.Teams, e.Put.Teams, e.Drop.Teams, func(t Team) string { return t.Name }),
		Pools:   merge(s.Rows.Pools, e.Put.Pools, e.Drop.Pools, func(p Pool) string { return p.Name }),
		Servers: merge(s.Rows.Servers, e.Put.Servers, e.Drop.Servers, Server.Key),
	}
	return Build(v, rows)
}

// Key returns the key of the row.
func (v Server) Key() ServerKey { return ServerKey{v.Pool, v.Address} }

func merge[K comparable, R any](old, put []R, drop []K, key func(R) K) []R {
	if len(put) == 0 && len(drop) == 0 {
		return old
	}
	gone := make(map[K]bool, len(drop))
	for _, k := range drop {
		gone[k] = true
	}
	repl := make(map[K]R, len(put))
	for _, r := range put {
		repl[key(r)] = r
	}
	out := make([]R, 0, len(old)+len(put))
	for _, r := range old {
		k := key(r)
		if n, ok := repl[k]; ok {
			out = append(out, n)
			delete(repl, k)
			continue
		}
		if !gone[k] {
			out = append(out, r)
		}
	}
	for _, r := range put {
		if n, ok := repl[key(r)]; ok {
			out = append(out, n)
			delete(repl, key(r))
		}
	}
	return out
}

// Diff returns the rows to put and drop that turn old into want.
func Diff(old, want Rows) (Rows, Keys) {
	var put Rows
	var drop Keys
	put.Routes, drop.Routes = diff(old.Routes, want.Routes, func(r Route) string { return r.Kind })
	put.Teams, drop.Teams = diff(old.Teams, want.Teams, func(t Team) string { return t.Name })
	put.Pools, drop.Pools = diff(old.Pools, want.Pools, func(p Pool) string { return p.Name })
	put.Servers, drop.Servers = diff(old.Servers, want.Servers, Server.Key)
	return put, drop
}

func diff[K comparable, R comparable](old, want []R, key func(R) K) (put []R, drop []K) {
	have := make(map[K]R, len(old))
	for _, r := range old {
		have[key(r)] = r
	}
	for _, r := range want {
		k := key(r)
		if o, ok := have[k]; !ok || o != r {
			put = append(put, r)
		}
		delete(have, k)
	}
	for k := range have {
		drop = append(drop, k)
	}
	return put, drop
}

// Halves lists the halves that the pools name, sorted.
func (s *State) Halves() []string {
	seen := make(map[string]bool)
	var out []string
	for _, p := range s.Rows.Pools {
		if !seen[p.Half] {
			seen[p.Half] = true
			out = append(out, p.Half)
		}
	}
	slices.SortFunc(out, strings.Compare)
	return out
}
