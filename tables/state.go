package tables

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/ledger"
)

// State is the content of the tables at a version. States are immutable, so they may be
// shared between goroutines. Consecutive states share all rows that did not change.
type State struct {
	Version Version

	// loggedAt is the log's time of the edit that made the state.
	loggedAt    time.Time
	routes      *index[string, Route]
	teams       *index[string, Team]
	poolEntries *index[string, *poolEntry]
	// serverPools gives the names of the pools that a backend server is in.
	serverPools *index[netip.AddrPort, []string]
	moves       *index[netip.AddrPort, Move]
	// lastMove is the version of the newest move.
	lastMove Version
}

// poolEntry is a pool with its servers and the routes to it.
type poolEntry struct {
	pool Pool
	// servers are sorted by address.
	servers []Server
	// kinds are the kinds of requests that are routed to the pool.
	kinds []string
}

// Empty returns the state before the first edit.
func Empty() *State {
	return &State{
		Version:     ledger.None,
		routes:      new(index[string, Route]),
		teams:       new(index[string, Team]),
		poolEntries: new(index[string, *poolEntry]),
		serverPools: new(index[netip.AddrPort, []string]),
		moves:       new(index[netip.AddrPort, Move]),
		lastMove:    ledger.None,
	}
}

// Build checks the rows and returns the state that they make.
func Build(v Version, rows Rows) (*State, error) {
	if err := checkDuplicates(rows); err != nil {
		return nil, err
	}
	return Empty().Apply(v, Edit{Base: ledger.None, Put: rows})
}

// checkDuplicates rejects rows with the same key, of which an edit would silently take
// the last.
func checkDuplicates(rows Rows) error {
	if k, ok := findDuplicate(rows.Pools, func(p Pool) string { return p.Name }); ok {
		return errors.Errorf("pools: pool %q stands twice", k)
	}
	if k, ok := findDuplicate(rows.Servers, Server.Key); ok {
		return errors.Errorf("servers: %s stands twice in pool %q", k.Address, k.Pool)
	}
	if k, ok := findDuplicate(rows.Routes, func(r Route) string { return r.Kind }); ok {
		return errors.Errorf("routes: kind %q stands twice", k)
	}
	if k, ok := findDuplicate(rows.Teams, func(t Team) string { return t.Name }); ok {
		return errors.Errorf("teams: team %q stands twice", k)
	}
	return nil
}

func findDuplicate[K comparable, R any](rows []R, key func(R) K) (K, bool) {
	seen := make(map[K]struct{}, len(rows))
	for _, r := range rows {
		k := key(r)
		if _, ok := seen[k]; ok {
			return k, true
		}
		seen[k] = struct{}{}
	}
	var none K
	return none, false
}

// Route returns the route of a kind.
func (s *State) Route(kind string) (Route, bool) { return s.routes.get(kind) }

// Pool returns a pool by name.
func (s *State) Pool(name string) (Pool, bool) {
	entry, ok := s.poolEntries.get(name)
	if !ok {
		return Pool{}, false
	}
	return entry.pool, true
}

// Servers returns the servers of a pool, sorted by address. The caller must not change
// the result.
func (s *State) Servers(pool string) []Server {
	entry, ok := s.poolEntries.get(pool)
	if !ok {
		return nil
	}
	return entry.servers
}

// Team returns a team by name.
func (s *State) Team(name string) (Team, bool) { return s.teams.get(name) }

// Half returns the half that a backend server belongs to, or "".
func (s *State) Half(server netip.AddrPort) string {
	pools, ok := s.serverPools.get(server)
	if !ok {
		return ""
	}
	p, _ := s.Pool(pools[0])
	return p.Half
}

// Halves returns the halves that the pools name, sorted.
func (s *State) Halves() []string {
	var out []string
	for _, entry := range s.poolEntries.all {
		out = append(out, entry.pool.Half)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Rows returns a copy of all rows, sorted by key. It copies the whole tables, so it is
// for operators and snapshots and not for the handling of a task.
func (s *State) Rows() Rows {
	var out Rows
	for _, r := range s.routes.all {
		out.Routes = append(out.Routes, r)
	}
	for _, t := range s.teams.all {
		out.Teams = append(out.Teams, t)
	}
	for _, entry := range s.poolEntries.all {
		out.Pools = append(out.Pools, entry.pool)
		out.Servers = append(out.Servers, entry.servers...)
	}
	slices.SortFunc(out.Routes, func(a, b Route) int { return strings.Compare(a.Kind, b.Kind) })
	slices.SortFunc(out.Teams, func(a, b Team) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(out.Pools, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(out.Servers, func(a, b Server) int { return compareKeys(a.Key(), b.Key()) })
	return out
}

// Move records that a backend server left a half. Moves are part of the state, so that a
// new process knows of moves that happened before it started.
type Move struct {
	Address netip.AddrPort `json:"address"`
	From    string         `json:"from"`
	// To is the half that the server moved to, or "" while it is in no pool.
	To      string    `json:"to,omitempty"`
	Version Version   `json:"version"`
	At      time.Time `json:"at"`
}

// maxMoves bounds the moves that a state remembers. When it is exceeded, the oldest 50%
// of the moves are forgotten: a process that starts later does not hold back those
// servers.
const maxMoves = 16384

// movesSince returns the moves of versions later than v, oldest first.
func (s *State) movesSince(v Version) []Move {
	if s.lastMove <= v {
		return nil
	}
	var out []Move
	for _, m := range s.moves.all {
		if m.Version > v {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, compareMoves)
	return out
}

func compareMoves(a, b Move) int {
	return cmp.Or(cmp.Compare(a.Version, b.Version), a.Address.Compare(b.Address))
}
