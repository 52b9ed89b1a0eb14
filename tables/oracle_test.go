package tables

import (
	"flag"
	"net/netip"
	"os"
	"slices"
	"testing"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid, so that each run has the same result. For long runs:
//
//	go test ./tables -run Rapid -rapid.seed=0 -rapid.checks=20000
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "400")
	_ = flag.Set("rapid.steps", "50")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// referenceApply is a simple reference implementation of Apply: it merges all rows, then
// checks all of them.
func referenceApply(old Rows, e Edit) (Rows, error) {
	rows := Rows{
		Routes:  referenceMerge(old.Routes, e.Put.Routes, e.Drop.Routes, func(r Route) string { return r.Kind }),
		Teams:   referenceMerge(old.Teams, e.Put.Teams, e.Drop.Teams, func(t Team) string { return t.Name }),
		Pools:   referenceMerge(old.Pools, e.Put.Pools, e.Drop.Pools, func(p Pool) string { return p.Name }),
		Servers: referenceMerge(old.Servers, e.Put.Servers, e.Drop.Servers, Server.Key),
	}
	half := make(map[string]string)
	for _, p := range rows.Pools {
		half[p.Name] = p.Half
	}
	home := make(map[netip.AddrPort]string)
	for _, v := range rows.Servers {
		if half[v.Pool] == "" || home[v.Address] != "" && home[v.Address] != half[v.Pool] {
			return old, errors.New("server")
		}
		home[v.Address] = half[v.Pool]
	}
	for _, r := range rows.Routes {
		if half[r.Pool] != r.Half {
			return old, errors.New("route")
		}
	}
	return rows, nil
}

func referenceMerge[K comparable, R any](old, put []R, drop []K, key func(R) K) []R {
	out := slices.DeleteFunc(slices.Clone(old), func(r R) bool {
		same := func(p R) bool { return key(p) == key(r) }
		return slices.Contains(drop, key(r)) || slices.ContainsFunc(put, same)
	})
	return append(out, put...)
}

var (
	pools   = rapid.SampledFrom([]string{"a", "b", "c"})
	halves  = rapid.SampledFrom([]string{"north", "south"})
	kinds   = rapid.SampledFrom([]string{"x", "y"})
	servers = rapid.Custom(func(t *rapid.T) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, rapid.ByteRange(1, 3).Draw(t, "host")}), 9000)
	})
)

// drawEdit draws an edit of a few rows with distinct keys.
func drawEdit(t *rapid.T, base Version) Edit {
	e := Edit{ID: "e", Base: base}
	some := func(name string) int { return rapid.IntRange(0, 2).Draw(t, name) }
	for range some("put pools") {
		e.Put.Pools = append(e.Put.Pools, Pool{Name: pools.Draw(t, "pool"), Half: halves.Draw(t, "half")})
	}
	for range some("put servers") {
		e.Put.Servers = append(e.Put.Servers, Server{Pool: pools.Draw(t, "pool"), Address: servers.Draw(t, "server"), Slots: 1})
	}
	for range some("put routes") {
		e.Put.Routes = append(e.Put.Routes, Route{Kind: kinds.Draw(t, "kind"), Pool: pools.Draw(t, "pool"), Half: halves.Draw(t, "half")})
	}
	for range some("drop servers") {
		e.Drop.Servers = append(e.Drop.Servers, ServerKey{pools.Draw(t, "pool"), servers.Draw(t, "server")})
	}
	if rapid.Bool().Draw(t, "drop more") {
		e.Drop.Pools = append(e.Drop.Pools, pools.Draw(t, "pool"))
		e.Drop.Routes = append(e.Drop.Routes, kinds.Draw(t, "kind"))
	}
	e.Put.Pools = unique(e.Put.Pools, func(p Pool) string { return p.Name })
	e.Put.Servers = unique(e.Put.Servers, Server.Key)
	e.Put.Routes = unique(e.Put.Routes, func(r Route) string { return r.Kind })
	return e
}

func unique[K comparable, R any](rows []R, key func(R) K) []R {
	var out []R
	for _, r := range rows {
		if !slices.ContainsFunc(out, func(o R) bool { return key(o) == key(r) }) {
			out = append(out, r)
		}
	}
	return out
}

// sortRows returns the rows in the order of State.Rows.
func sortRows(t interface{ Fatal(...any) }, r Rows) Rows {
	s, err := Build(0, r)
	if err != nil {
		t.Fatal(err)
	}
	return s.Rows()
}
