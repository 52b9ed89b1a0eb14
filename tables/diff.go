package tables

// Diff returns the rows to put and to drop that turn old into want.
func Diff(old, want Rows) (Rows, Keys) {
	var put Rows
	var drop Keys
	put.Routes, drop.Routes = diff(old.Routes, want.Routes, func(r Route) string { return r.Kind })
	put.Teams, drop.Teams = diff(old.Teams, want.Teams, func(t Team) string { return t.Name })
	put.Pools, drop.Pools = diff(old.Pools, want.Pools, func(p Pool) string { return p.Name })
	put.Servers, drop.Servers = diff(old.Servers, want.Servers, Server.Key)
	sortKeys(&drop)
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
