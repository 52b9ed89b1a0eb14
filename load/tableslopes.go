package load

import (
	"context"
	"encoding/json"
	"net/netip"
	"runtime"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/ledger"
	"snipehub.example/tables"
)

// rowCounts are numbers of backend server rows, up to the expected size.
var rowCounts = []int{1000, 2000, 4000, 8000, 13000}

// tableSlopes measures the tables in this process: their memory by rows, the time that a
// reader needs to apply an edit of one row, and the size of the edit.
func tableSlopes(context.Context) ([]Slope, error) {
	var memory, apply, size []Point
	for _, n := range rowCounts {
		before := heapBytes()
		st, err := tables.Build(ledger.None, largeTables(n))
		if err != nil {
			return nil, errors.Wrap(err, "slopes")
		}
		memory = append(memory, Point{float64(n), float64(heapBytes() - before)})
		d, bytes, err := measureEdit(st, n)
		if err != nil {
			return nil, err
		}
		apply = append(apply, Point{float64(n), float64(d) / float64(time.Microsecond)})
		size = append(size, Point{float64(n), float64(bytes)})
		runtime.KeepAlive(st)
	}
	return []Slope{
		newSlope(slopeRows, "rows", "bytes of heap", memory, absoluteErrors),
		newSlope(slopeApply, "rows", "µs", apply, absoluteErrors),
		newSlope(slopeEditBytes, "rows", "bytes", size, absoluteErrors),
	}, nil
}

// measureEdit applies an edit of one row several times and returns the mean time,
// including decoding, and the size of the edit on the log.
func measureEdit(st *tables.State, n int) (time.Duration, int, error) {
	row := serverRow(n / 2)
	row.Leaving = true
	e := tables.Edit{ID: "00000000-0000-0000-0000-000000000000", Base: st.Version, Author: "operator", At: time.Unix(0, 0)}
	e.Put.Servers = []tables.Server{row}
	b, err := json.Marshal(e)
	if err != nil {
		return 0, 0, errors.Wrap(err, "slopes")
	}
	const rounds = 20
	began := time.Now()
	for range rounds {
		var e tables.Edit
		if err := json.Unmarshal(b, &e); err != nil {
			return 0, 0, errors.Wrap(err, "slopes")
		}
		if _, err := st.Apply(st.Version+1, e); err != nil {
			return 0, 0, errors.Wrap(err, "slopes")
		}
	}
	return time.Since(began) / rounds, len(b), nil
}

// largeTables returns tables with n backend servers, 190 teams, and 40 routes and pools.
func largeTables(n int) tables.Rows {
	var r tables.Rows
	for i := range tablePools {
		name := "pool-" + itoa(i)
		r.Pools = append(r.Pools, tables.Pool{Name: name, Half: "north"})
		r.Routes = append(r.Routes, tables.Route{Kind: "kind-" + itoa(i), Half: "north", Pool: name})
	}
	for i := range 190 {
		r.Teams = append(r.Teams, tables.Team{Name: "team-" + itoa(i), Weight: 1})
	}
	for i := range n {
		r.Servers = append(r.Servers, serverRow(i))
	}
	return r
}

const tablePools = 40

func serverRow(i int) tables.Server {
	a := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
	return tables.Server{
		Pool: "pool-" + itoa(i%tablePools), Address: netip.AddrPortFrom(a, 9000),
		DataCenter: "dc" + itoa(i%7), Slots: 64,
	}
}

// heapBytes returns the size of the live heap objects.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
