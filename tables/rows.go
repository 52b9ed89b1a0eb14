package tables

import (
	"cmp"
	"net/netip"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Route assigns a kind of request to a pool. Its half must be that of the pool.
//
// Halves divide the requests and the backend servers into parts, which the operator
// names: a backend server must get requests of only one half at a time.
type Route struct {
	Kind string `toml:"kind" json:"kind"`
	Half string `toml:"half" json:"half"`
	Pool string `toml:"pool" json:"pool"`
	// Repeatable allows a single request to be retried if it is not known whether it ran.
	Repeatable bool `toml:"repeatable,omitempty" json:"repeatable,omitempty"`
	// Timeout bounds one attempt; 0 means the dispatcher's default.
	Timeout time.Duration `toml:"timeout,omitempty" json:"timeout,omitempty"`
}

// Pool is a group of backend servers of one half. A backend server may be in several
// pools, but only of the same half.
type Pool struct {
	Name string `toml:"name" json:"name"`
	Half string `toml:"half" json:"half"`
}

// Server is a backend server's membership of a pool.
type Server struct {
	Pool       string         `toml:"pool" json:"pool"`
	Address    netip.AddrPort `toml:"address" json:"address"`
	DataCenter string         `toml:"data_center" json:"data_center"`
	// Slots is how many tasks the server runs at once.
	Slots   int  `toml:"slots" json:"slots"`
	Leaving bool `toml:"leaving,omitempty" json:"leaving,omitempty"`
}

// Key returns the key of the row.
func (v Server) Key() ServerKey { return ServerKey{v.Pool, v.Address} }

// Team is a group of callers that shares a quota.
type Team struct {
	Name string `toml:"name" json:"name"`
	// Weight is the team's share when callers compete; 0 counts as 1.
	Weight float64 `toml:"weight,omitempty" json:"weight,omitempty"`
	// Quota is how many of the team's tasks may run at once in the whole system; 0 means
	// no limit.
	Quota int `toml:"quota,omitempty" json:"quota,omitempty"`
}

// Rows is the content of both tables. The zero value is empty.
type Rows struct {
	Routes  []Route  `toml:"routes" json:"routes,omitempty"`
	Teams   []Team   `toml:"teams" json:"teams,omitempty"`
	Pools   []Pool   `toml:"pools" json:"pools,omitempty"`
	Servers []Server `toml:"servers" json:"servers,omitempty"`
}

// Keys names the rows to remove.
type Keys struct {
	Routes  []string    `json:"routes,omitempty"`
	Teams   []string    `json:"teams,omitempty"`
	Pools   []string    `json:"pools,omitempty"`
	Servers []ServerKey `json:"servers,omitempty"`
}

// ServerKey is the key of a server's row.
type ServerKey struct {
	Pool    string         `json:"pool"`
	Address netip.AddrPort `json:"address"`
}

func compareKeys(a, b ServerKey) int {
	return cmp.Or(strings.Compare(a.Pool, b.Pool), a.Address.Compare(b.Address))
}

func (p Pool) check() error {
	if p.Name == "" || p.Half == "" {
		return errors.Errorf("pools: pool %q: name and half must be set", p.Name)
	}
	return nil
}

// check rejects an address that has more than one spelling. Otherwise one machine could
// be in the tables as two servers, 10.0.0.1 and ::ffff:10.0.0.1, one in each half.
func (v Server) check() error {
	a := v.Address.Addr()
	switch {
	case !v.Address.IsValid() || v.Address.Port() == 0:
		return errors.Errorf("servers: pool %q: a server has no address", v.Pool)
	case a.Is4In6() || a.Zone() != "":
		return errors.Errorf("servers: %s: write the plain address, without a zone", v.Address)
	case v.Slots <= 0:
		return errors.Errorf("servers: %s: slots must be above 0", v.Address)
	}
	return nil
}

func (r Route) check() error {
	switch {
	case r.Kind == "":
		return errors.New("routes: a route has no kind")
	case r.Timeout < 0:
		return errors.Errorf("routes: kind %q: timeout must not be below 0", r.Kind)
	}
	return nil
}

func (t Team) check() error {
	switch {
	case t.Name == "":
		return errors.New("teams: a team has no name")
	case t.Weight < 0 || t.Quota < 0:
		return errors.Errorf("teams: %q: weight and quota must not be below 0", t.Name)
	}
	return nil
}
