package tables

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Edit is a change of rows, as it stands on the log. An edit carries only the
// rows that change: at 14,000 edits a day of tables with 13,000 servers, whole
// tables would cost every process megabytes for each edit. A row that is both
// put and dropped is put.
type Edit struct {
	ID     string    `json:"id"`
	Base   Version   `json:"base"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	Put    Rows      `json:"put"`
	Drop   Keys      `json:"drop"`

	// logged is the log's time of the record.
	logged time.Time
}

// Apply returns the state that the edit at offset v makes of s, or the reason
// why every reader rejects it. It costs about as much as the pools that the
// edit touches are large.
func (s *State) Apply(v Version, e Edit) (*State, error) {
	if e.Base != s.Version {
		return nil, errors.Errorf("base is version %d, current is %d", e.Base, s.Version)
	}
	d := newDraft(s)
	steps := []func(Edit) error{d.putPools, d.changeServers, d.changeRoutes, d.dropPools, d.changeTeams}
	for _, step := range steps {
		if err := step(e); err != nil {
			return nil, err
		}
	}
	if err := d.checkRoutes(e); err != nil {
		return nil, err
	}
	if err := d.settleHomes(v, e.logged); err != nil {
		return nil, err
	}
	return d.done(v, e.logged), nil
}

// draft is a state under construction.
type draft struct {
	old    *State
	routes *writer[string, Route]
	teams  *writer[string, Team]
	groups *writer[string, *group]
	homes  *writer[netip.AddrPort, []string]
	moves  *writer[netip.AddrPort, Move]
	// copied are the groups that belong to the draft alone.
	copied   map[string]*group
	touched  map[netip.AddrPort]struct{}
	lastMove Version
}

func newDraft(s *State) *draft {
	return &draft{
		old:      s,
		routes:   newWriter(s.routes),
		teams:    newWriter(s.teams),
		groups:   newWriter(s.groups),
		homes:    newWriter(s.homes),
		moves:    newWriter(s.moves),
		copied:   make(map[string]*group),
		touched:  make(map[netip.AddrPort]struct{}),
		lastMove: s.lastMove,
	}
}

func (d *draft) done(v Version, logged time.Time) *State {
	return &State{
		Version:  v,
		logged:   logged,
		routes:   d.routes.done(),
		teams:    d.teams.done(),
		groups:   d.groups.done(),
		homes:    d.homes.done(),
		moves:    d.moves.done(),
		lastMove: d.lastMove,
	}
}

// group returns a pool's group for changing, or nil.
func (d *draft) group(name string) *group {
	if g, ok := d.copied[name]; ok {
		return g
	}
	g, ok := d.groups.get(name)
	if !ok {
		return nil
	}
	c := *g
	d.copied[name] = &c
	d.groups.set(name, &c)
	return &c
}

func (d *draft) putPools(e Edit) error {
	for _, p := range e.Put.Pools {
		if err := p.check(); err != nil {
			return err
		}
		g := d.group(p.Name)
		if g == nil {
			g = &group{}
			d.copied[p.Name] = g
			d.groups.set(p.Name, g)
		}
		if g.pool.Half != p.Half {
			for _, v := range g.servers {
				d.touched[v.Address] = struct{}{}
			}
		}
		g.pool = p
	}
	return nil
}

// change is what an edit does to one pool's servers.
type change struct {
	put  []Server
	drop map[netip.AddrPort]struct{}
}

func (d *draft) changeServers(e Edit) error {
	changes := make(map[string]*change)
	of := func(pool string) *change {
		c, ok := changes[pool]
		if !ok {
			c = &change{drop: make(map[netip.AddrPort]struct{})}
			changes[pool] = c
		}
		return c
	}
	for _, k := range e.Drop.Servers {
		of(k.Pool).drop[k.Address] = struct{}{}
	}
	for _, v := range e.Put.Servers {
		if err := v.check(); err != nil {
			return err
		}
		if d.group(v.Pool) == nil {
			return errors.Errorf("servers: %s: no pool %q", v.Address, v.Pool)
		}
		c := of(v.Pool)
		c.put = append(c.put, v)
		delete(c.drop, v.Address)
	}
	for pool, c := range changes {
		if g := d.group(pool); g != nil {
			d.changeGroup(g, c)
		}
	}
	return nil
}

func (d *draft) changeGroup(g *group, c *change) {
	for a := range c.drop {
		d.leave(a, g.pool.Name)
	}
	kept := slices.Clone(g.servers)
	if len(c.drop) > 0 {
		kept = slices.DeleteFunc(kept, func(v Server) bool {
			_, ok := c.drop[v.Address]
			return ok
		})
	}
	added := make(map[netip.AddrPort]Server)
	for _, v := range c.put {
		i, ok := slices.BinarySearchFunc(kept, v.Address, compareAddress)
		if ok {
			kept[i] = v
			continue
		}
		added[v.Address] = v
	}
	for a, v := range added {
		d.enter(a, g.pool.Name)
		kept = append(kept, v)
	}
	if len(added) > 0 {
		slices.SortFunc(kept, func(a, b Server) int { return a.Address.Compare(b.Address) })
	}
	g.servers = kept
}

func compareAddress(v Server, a netip.AddrPort) int { return v.Address.Compare(a) }

func (d *draft) enter(a netip.AddrPort, pool string) {
	d.touched[a] = struct{}{}
	pools, _ := d.homes.get(a)
	d.homes.set(a, append(slices.Clip(pools), pool))
}

func (d *draft) leave(a netip.AddrPort, pool string) {
	pools, ok := d.homes.get(a)
	if !ok || !slices.Contains(pools, pool) {
		return
	}
	d.touched[a] = struct{}{}
	rest := slices.DeleteFunc(slices.Clone(pools), func(p string) bool { return p == pool })
	if len(rest) == 0 {
		d.homes.remove(a)
		return
	}
	d.homes.set(a, rest)
}

func (d *draft) changeRoutes(e Edit) error {
	for _, r := range e.Put.Routes {
		if err := r.check(); err != nil {
			return err
		}
		g := d.group(r.Pool)
		if g == nil {
			return errors.Errorf("routes: kind %q: no pool %q", r.Kind, r.Pool)
		}
		d.unroute(r.Kind)
		g.kinds = append(slices.Clip(g.kinds), r.Kind)
		d.routes.set(r.Kind, r)
	}
	for _, kind := range e.Drop.Routes {
		if slices.ContainsFunc(e.Put.Routes, func(r Route) bool { return r.Kind == kind }) {
			continue
		}
		d.unroute(kind)
		d.routes.remove(kind)
	}
	return nil
}

// unroute takes a kind from the pool that it goes to.
func (d *draft) unroute(kind string) {
	r, ok := d.routes.get(kind)
	if !ok {
		return
	}
	g := d.group(r.Pool)
	g.kinds = slices.DeleteFunc(slices.Clone(g.kinds), func(k string) bool { return k == kind })
}

func (d *draft) dropPools(e Edit) error {
	for _, name := range e.Drop.Pools {
		if slices.ContainsFunc(e.Put.Pools, func(p Pool) bool { return p.Name == name }) {
			continue
		}
		g := d.group(name)
		switch {
		case g == nil:
			continue
		case len(g.servers) > 0:
			return errors.Errorf("servers: %s: no pool %q", g.servers[0].Address, name)
		case len(g.kinds) > 0:
			return errors.Errorf("routes: kind %q: no pool %q", g.kinds[0], name)
		}
		d.groups.remove(name)
		delete(d.copied, name)
	}
	return nil
}

func (d *draft) changeTeams(e Edit) error {
	for _, name := range e.Drop.Teams {
		d.teams.remove(name)
	}
	for _, t := range e.Put.Teams {
		if err := t.check(); err != nil {
			return err
		}
		d.teams.set(t.Name, t)
	}
	return nil
}

// checkRoutes holds the join of the two tables: a route's half is its pool's.
func (d *draft) checkRoutes(e Edit) error {
	for _, r := range e.Put.Routes {
		if err := d.checkRoute(r.Kind); err != nil {
			return err
		}
	}
	for _, p := range e.Put.Pools {
		g, _ := d.groups.get(p.Name)
		for _, kind := range g.kinds {
			if err := d.checkRoute(kind); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *draft) checkRoute(kind string) error {
	r, _ := d.routes.get(kind)
	g, _ := d.groups.get(r.Pool)
	if r.Half != g.pool.Half {
		return errors.Errorf("routes: kind %q: half %q, but pool %q is of half %q", kind, r.Half, r.Pool, g.pool.Half)
	}
	return nil
}

// settleHomes holds that a backend server is in pools of one half only, and
// records which servers changed theirs.
func (d *draft) settleHomes(v Version, logged time.Time) error {
	for a := range d.touched {
		half, err := d.half(a)
		if err != nil {
			return err
		}
		d.move(a, half, v, logged)
	}
	if d.moves.x.len() > maxMoves {
		d.forgetMoves()
	}
	return nil
}

func (d *draft) half(a netip.AddrPort) (string, error) {
	pools, _ := d.homes.get(a)
	half := ""
	for _, name := range pools {
		g, _ := d.groups.get(name)
		if half != "" && half != g.pool.Half {
			return "", errors.Errorf("servers: %s: in pools of two halves", a)
		}
		half = g.pool.Half
	}
	return half, nil
}

// move records a change of half. A server that is taken out of all pools and
// put into the other half by a later edit has moved as well, so its last half
// is remembered. One that comes back to the same half is recorded too: it may
// have come from the other half a moment before it was taken out.
func (d *draft) move(a netip.AddrPort, half string, v Version, logged time.Time) {
	was := d.old.Half(a)
	m, known := d.moves.get(a)
	switch {
	case was == half:
		return
	case was == "" && !known:
		return
	case was == "":
		was = m.From
	}
	d.moves.set(a, Move{Address: a, From: was, To: half, Version: v, At: logged})
	d.lastMove = v
}

func (d *draft) forgetMoves() {
	all := make([]Move, 0, d.moves.x.len())
	for _, m := range d.moves.x.all {
		all = append(all, m)
	}
	slices.SortFunc(all, compareMoves)
	for _, m := range all[:len(all)/2] {
		d.moves.remove(m.Address)
	}
}

// sortKeys sorts keys so that an edit has the same bytes each time it is made.
func sortKeys(k *Keys) {
	slices.SortFunc(k.Routes, strings.Compare)
	slices.SortFunc(k.Teams, strings.Compare)
	slices.SortFunc(k.Pools, strings.Compare)
	slices.SortFunc(k.Servers, compareKeys)
}
