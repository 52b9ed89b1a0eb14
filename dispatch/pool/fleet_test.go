package pool

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"snipehub.example/tables"
)

// allSlots gives this dispatcher every slot.
type allSlots struct{}

func (allSlots) Limit(_ netip.AddrPort, slots int, _ Members) int { return slots }

func address(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:9000", i))
}

// tablesWith returns tables tablesWith a pool of the servers given.
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

// A backend server freezes and is set aside. Its operator takes it out of the tables, starts
// it again and puts it back, all within the lease of the task that it froze with. It must be
// tried again: it would else stay aside here for as long as this process runs, a part of the
// pool that operators see in the tables and nobody uses.
func TestServerThatComesBackIsTried(t *testing.T) {
	now := time.Unix(1000, 0)
	advance := func(d time.Duration) time.Time { now = now.Add(d); return now }
	m := Members{Self: "a", Sizes: map[string]int{"a": 1}}
	f := New("dc1", allSlots{}, 0.5)
	f.Apply(now, tablesWith(t, 1, 2, 3), m)
	s := f.servers[address(1)]
	f.Start(now, s)
	f.Tick(advance(2*minStallTime), time.Millisecond)
	if !s.Ejected() {
		t.Fatal("not set aside")
	}
	f.Apply(advance(time.Second), tablesWith(t, 2, 3), m)
	f.Tick(advance(time.Second), time.Millisecond)
	f.Apply(advance(time.Second), tablesWith(t, 1, 2, 3), m)
	f.End(advance(time.Second), s, Bad, 5*time.Second, &ServiceTime{})
	f.Tick(advance(maxProbeInterval), time.Millisecond)
	if got := f.Pool("quick").Probe(); got != s {
		t.Errorf("probe %v, want the server that is set aside", got)
	}
}

// A server that was set aside is taken out of the tables for good. Nothing of it is kept
// once its tasks have ended, however many come and go.
func TestServerThatWentIsForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	m := Members{Self: "a", Sizes: map[string]int{"a": 1}}
	f := New("dc1", allSlots{}, 0.5)
	f.Apply(now, tablesWith(t, 1, 2, 3), m)
	s := f.servers[address(1)]
	f.Start(now, s)
	now = now.Add(2 * minStallTime)
	f.Tick(now, time.Millisecond)
	f.Apply(now, tablesWith(t, 2, 3), m)
	f.End(now, s, Bad, time.Second, &ServiceTime{})
	f.Tick(now, time.Millisecond)
	if len(f.ejectedServers) > 0 || len(f.servers) != 2 {
		t.Errorf("%d away, %d servers", len(f.ejectedServers), len(f.servers))
	}
}
