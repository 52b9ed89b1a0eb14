package pool

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"snipehub.example/tables"
)

// allSlots is a Limiter that gives this dispatcher every slot.
type allSlots struct{}

func (allSlots) Limit(_ netip.AddrPort, slots int, _ Members) int { return slots }

func address(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:9000", i))
}

// tablesWith returns tables with one pool of the given servers.
func tablesWith(t *testing.T, servers ...int) *tables.State {
	t.Helper()
	rows := tables.Rows{Pools: []tables.Pool{{Name: "quick", Half: "north"}}}
	for _, i := range servers {
		rows.Servers = append(rows.Servers, tables.Server{Pool: "quick", Address: address(i), DataCenter: "dc1", Slots: 2})
	}
	st, err := tables.Build(0, rows)
	if err != nil {
		t.Fatal(err)
	}
	return st
}

// A backend server freezes and is ejected. Its operator removes it from the tables,
// restarts it and adds it again, all within the lease of a task that was on it. The
// server must still be probed; otherwise it stays ejected here for the lifetime of this
// process, although the tables list it.
func TestServerThatComesBackIsTried(t *testing.T) {
	now := time.Unix(1000, 0)
	advance := func(d time.Duration) time.Time { now = now.Add(d); return now }
	members := Members{Self: "a", Sizes: map[string]int{"a": 1}}
	f := New("dc1", allSlots{}, 0.5)
	f.Apply(now, tablesWith(t, 1, 2, 3), members)
	s := f.servers[address(1)]
	f.Start(now, s)
	f.Tick(advance(2*minStallTime), time.Millisecond)
	if !s.Ejected() {
		t.Fatal("not ejected")
	}
	f.Apply(advance(time.Second), tablesWith(t, 2, 3), members)
	f.Tick(advance(time.Second), time.Millisecond)
	f.Apply(advance(time.Second), tablesWith(t, 1, 2, 3), members)
	f.End(advance(time.Second), s, Bad, 5*time.Second, &ServiceTime{})
	f.Tick(advance(maxProbeInterval), time.Millisecond)
	if got := f.Pool("quick").Probe(); got != s {
		t.Errorf("probe %v, want the ejected server", got)
	}
}

// An ejected server is removed from the tables for good. Nothing of it is kept once its
// tasks have ended, so that memory does not grow with the servers that come and go.
func TestServerThatWentIsForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	members := Members{Self: "a", Sizes: map[string]int{"a": 1}}
	f := New("dc1", allSlots{}, 0.5)
	f.Apply(now, tablesWith(t, 1, 2, 3), members)
	s := f.servers[address(1)]
	f.Start(now, s)
	now = now.Add(2 * minStallTime)
	f.Tick(now, time.Millisecond)
	f.Apply(now, tablesWith(t, 2, 3), members)
	f.End(now, s, Bad, time.Second, &ServiceTime{})
	f.Tick(now, time.Millisecond)
	if len(f.ejectedServers) > 0 || len(f.servers) != 2 {
		t.Errorf("%d ejected, %d servers", len(f.ejectedServers), len(f.servers))
	}
}
