package tables

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Edit is a change of rows as it is stored on the log. It carries only the rows that
// change: at 14,000 edits a day of tables with 13,000 servers, whole tables would cost
// every process megabytes for each edit. A row that is both put and dropped is put.
type Edit struct {
	ID     string    `json:"id"`
	Base   Version   `json:"base"`
	Author string    `json:"author"`
	At     time.Time `json:"at"`
	Put    Rows      `json:"put"`
	Drop   Keys      `json:"drop"`

	// loggedAt is the log's time of the record.
	loggedAt time.Time
}

// Apply returns the state that results from the edit at offset v, or the reason why every
// reader rejects the edit. Its cost grows with the size of the pools that the edit
// changes.
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
	if err := d.checkHalves(v, e.loggedAt); err != nil {
		return nil, err
	}
	return d.done(v, e.loggedAt), nil
}

// draft is a state under construction.
type draft struct {
	old         *State
	routes      *writer[string, Route]
	teams       *writer[string, Team]
	poolEntries *writer[string, *poolEntry]
	serverPools *writer[netip.AddrPort, []string]
	moves       *writer[netip.AddrPort, Move]
	// ownEntries are the entries that were copied or created for this draft and may be
	// changed.
	ownEntries     map[string]*poolEntry
	changedServers map[netip.AddrPort]struct{}
	lastMove       Version
}

func newDraft(s *State) *draft {
	return &draft{
		old:            s,
		routes:         newWriter(s.routes),
		teams:          newWriter(s.teams),
		poolEntries:    newWriter(s.poolEntries),
		serverPools:    newWriter(s.serverPools),
		moves:          newWriter(s.moves),
		ownEntries:     make(map[string]*poolEntry),
		changedServers: make(map[netip.AddrPort]struct{}),
		lastMove:       s.lastMove,
	}
}

func (d *draft) done(v Version, loggedAt time.Time) *State {
	return &State{
		Version:     v,
		loggedAt:    loggedAt,
		routes:      d.routes.done(),
		teams:       d.teams.done(),
		poolEntries: d.poolEntries.done(),
		serverPools: d.serverPools.done(),
		moves:       d.moves.done(),
		lastMove:    d.lastMove,
	}
}

// poolEntry returns the entry of a pool for modification, or nil if there is no such
// pool.
func (d *draft) poolEntry(name string) *poolEntry {
	if entry, ok := d.ownEntries[name]; ok {
		return entry
	}
	entry, ok := d.poolEntries.get(name)
	if !ok {
		return nil
	}
	c := *entry
	d.ownEntries[name] = &c
	d.poolEntries.set(name, &c)
	return &c
}

func (d *draft) putPools(e Edit) error {
	for _, p := range e.Put.Pools {
		if err := p.check(); err != nil {
			return err
		}
		entry := d.poolEntry(p.Name)
		if entry == nil {
			entry = &poolEntry{}
			d.ownEntries[p.Name] = entry
			d.poolEntries.set(p.Name, entry)
		}
		if entry.pool.Half != p.Half {
			for _, v := range entry.servers {
				d.changedServers[v.Address] = struct{}{}
			}
		}
		entry.pool = p
	}
	return nil
}

// serverChange is what an edit changes in the servers of one pool.
type serverChange struct {
	put  []Server
	drop map[netip.AddrPort]struct{}
}

func (d *draft) changeServers(e Edit) error {
	changes := make(map[string]*serverChange)
	changeOf := func(pool string) *serverChange {
		c, ok := changes[pool]
		if !ok {
			c = &serverChange{drop: make(map[netip.AddrPort]struct{})}
			changes[pool] = c
		}
		return c
	}
	for _, k := range e.Drop.Servers {
		changeOf(k.Pool).drop[k.Address] = struct{}{}
	}
	for _, v := range e.Put.Servers {
		if err := v.check(); err != nil {
			return err
		}
		if d.poolEntry(v.Pool) == nil {
			return errors.Errorf("servers: %s: no pool %q", v.Address, v.Pool)
		}
		c := changeOf(v.Pool)
		c.put = append(c.put, v)
		delete(c.drop, v.Address)
	}
	for pool, c := range changes {
		if entry := d.poolEntry(pool); entry != nil {
			d.changeEntry(entry, c)
		}
	}
	return nil
}

func (d *draft) changeEntry(entry *poolEntry, c *serverChange) {
	for a := range c.drop {
		d.removeFromPool(a, entry.pool.Name)
	}
	kept := slices.Clone(entry.servers)
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
		d.addToPool(a, entry.pool.Name)
		kept = append(kept, v)
	}
	if len(added) > 0 {
		slices.SortFunc(kept, func(a, b Server) int { return a.Address.Compare(b.Address) })
	}
	entry.servers = kept
}

func compareAddress(v Server, a netip.AddrPort) int { return v.Address.Compare(a) }

func (d *draft) addToPool(a netip.AddrPort, pool string) {
	d.changedServers[a] = struct{}{}
	pools, _ := d.serverPools.get(a)
	d.serverPools.set(a, append(slices.Clip(pools), pool))
}

func (d *draft) removeFromPool(a netip.AddrPort, pool string) {
	pools, ok := d.serverPools.get(a)
	if !ok || !slices.Contains(pools, pool) {
		return
	}
	d.changedServers[a] = struct{}{}
	rest := slices.DeleteFunc(slices.Clone(pools), func(p string) bool { return p == pool })
	if len(rest) == 0 {
		d.serverPools.remove(a)
		return
	}
	d.serverPools.set(a, rest)
}

func (d *draft) changeRoutes(e Edit) error {
	for _, r := range e.Put.Routes {
		if err := r.check(); err != nil {
			return err
		}
		entry := d.poolEntry(r.Pool)
		if entry == nil {
			return errors.Errorf("routes: kind %q: no pool %q", r.Kind, r.Pool)
		}
		d.detachKind(r.Kind)
		entry.kinds = append(slices.Clip(entry.kinds), r.Kind)
		d.routes.set(r.Kind, r)
	}
	for _, kind := range e.Drop.Routes {
		if slices.ContainsFunc(e.Put.Routes, func(r Route) bool { return r.Kind == kind }) {
			continue
		}
		d.detachKind(kind)
		d.routes.remove(kind)
	}
	return nil
}

// detachKind removes a kind from the entry of the pool that it is routed to.
func (d *draft) detachKind(kind string) {
	r, ok := d.routes.get(kind)
	if !ok {
		return
	}
	entry := d.poolEntry(r.Pool)
	entry.kinds = slices.DeleteFunc(slices.Clone(entry.kinds), func(k string) bool { return k == kind })
}

func (d *draft) dropPools(e Edit) error {
	for _, name := range e.Drop.Pools {
		if slices.ContainsFunc(e.Put.Pools, func(p Pool) bool { return p.Name == name }) {
			continue
		}
		entry := d.poolEntry(name)
		switch {
		case entry == nil:
			continue
		case len(entry.servers) > 0:
			return errors.Errorf("servers: %s: no pool %q", entry.servers[0].Address, name)
		case len(entry.kinds) > 0:
			return errors.Errorf("routes: kind %q: no pool %q", entry.kinds[0], name)
		}
		d.poolEntries.remove(name)
		delete(d.ownEntries, name)
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

// checkRoutes checks the consistency of the two tables: a route has the same half as its
// pool.
func (d *draft) checkRoutes(e Edit) error {
	for _, r := range e.Put.Routes {
		if err := d.checkRoute(r.Kind); err != nil {
			return err
		}
	}
	for _, p := range e.Put.Pools {
		entry, _ := d.poolEntries.get(p.Name)
		for _, kind := range entry.kinds {
			if err := d.checkRoute(kind); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *draft) checkRoute(kind string) error {
	r, _ := d.routes.get(kind)
	entry, _ := d.poolEntries.get(r.Pool)
	if r.Half != entry.pool.Half {
		return errors.Errorf("routes: kind %q: half %q, but pool %q is of half %q", kind, r.Half, r.Pool, entry.pool.Half)
	}
	return nil
}

// checkHalves checks that each changed backend server is in pools of one half only, and
// records the servers whose half changed.
func (d *draft) checkHalves(v Version, loggedAt time.Time) error {
	for a := range d.changedServers {
		half, err := d.half(a)
		if err != nil {
			return err
		}
		d.recordMove(a, half, v, loggedAt)
	}
	if d.moves.x.len() > maxMoves {
		d.dropOldMoves()
	}
	return nil
}

func (d *draft) half(a netip.AddrPort) (string, error) {
	pools, _ := d.serverPools.get(a)
	half := ""
	for _, name := range pools {
		entry, _ := d.poolEntries.get(name)
		if half != "" && half != entry.pool.Half {
			return "", errors.Errorf("servers: %s: in pools of two halves", a)
		}
		half = entry.pool.Half
	}
	return half, nil
}

// recordMove records a change of half. A server that is removed from all pools and added
// to the other half by a later edit has moved as well, so its last half is remembered. A
// server that returns to the same half is recorded too: it may have come from the other
// half shortly before it was removed.
func (d *draft) recordMove(a netip.AddrPort, half string, v Version, loggedAt time.Time) {
	oldHalf := d.old.Half(a)
	m, known := d.moves.get(a)
	switch {
	case oldHalf == half:
		return
	case oldHalf == "" && !known:
		return
	case oldHalf == "":
		oldHalf = m.From
	}
	d.moves.set(a, Move{Address: a, From: oldHalf, To: half, Version: v, At: loggedAt})
	d.lastMove = v
}

// dropOldMoves removes the oldest 50% of the moves.
func (d *draft) dropOldMoves() {
	all := make([]Move, 0, d.moves.x.len())
	for _, m := range d.moves.x.all {
		all = append(all, m)
	}
	slices.SortFunc(all, compareMoves)
	for _, m := range all[:len(all)/2] {
		d.moves.remove(m.Address)
	}
}

// sortKeys sorts the keys, so that the same edit always has the same bytes.
func sortKeys(k *Keys) {
	slices.SortFunc(k.Routes, strings.Compare)
	slices.SortFunc(k.Teams, strings.Compare)
	slices.SortFunc(k.Pools, strings.Compare)
	slices.SortFunc(k.Servers, compareKeys)
}
