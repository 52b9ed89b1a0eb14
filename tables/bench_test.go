package tables

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	"snipehub.example/ledger"
)

func benchRows(servers, pools int) Rows {
	var r Rows
	for i := range pools {
		name := fmt.Sprintf("pool%d", i)
		r.Pools = append(r.Pools, Pool{Name: name, Half: "north"})
		r.Routes = append(r.Routes, Route{Kind: fmt.Sprintf("kind%d", i), Half: "north", Pool: name})
	}
	for i := range servers {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 9000)
		r.Servers = append(r.Servers, Server{Pool: fmt.Sprintf("pool%d", i%pools), Address: a, DataCenter: "dc1", Slots: 64})
	}
	return r
}

func BenchmarkApply(b *testing.B) {
	for _, pools := range []int{1, 13, 130} {
		b.Run(fmt.Sprintf("servers=13000/pools=%d", pools), func(b *testing.B) {
			rows := benchRows(13000, pools)
			s, err := Build(0, rows)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				v := rows.Servers[i%len(rows.Servers)]
				v.Leaving = i/len(rows.Servers)%2 == 0
				e := Edit{Base: s.Version, Put: Rows{Servers: []Server{v}}}
				if s, err = s.Apply(s.Version+1, e); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSnapshot encodes the whole tables and reports the size of the snapshot.
func BenchmarkSnapshot(b *testing.B) {
	s, err := Build(0, benchRows(13000, 130))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		p, err := NewSnapshot(s, 1).Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(p)), "bytes")
	}
}

// BenchmarkEdit decodes and applies an edit of one server's row and reports the size of
// the record.
func BenchmarkEdit(b *testing.B) {
	rows := benchRows(13000, 130)
	s, err := Build(0, rows)
	if err != nil {
		b.Fatal(err)
	}
	e := Edit{ID: "01234567-89ab-cdef-0123-456789abcdef", Base: 0, Author: "operator", Put: Rows{Servers: rows.Servers[:1]}}
	data, err := json.Marshal(e)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.ReportMetric(float64(len(data)), "bytes")
	for b.Loop() {
		e, err := DecodeEdit(ledger.Record{Offset: 1, Data: data})
		if err != nil {
			b.Fatal(err)
		}
		if _, err = s.Apply(1, e); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "bytes")
}
