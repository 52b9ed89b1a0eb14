package share

import (
	"fmt"
	"net/netip"
	"testing"

	"snipehub.example/dispatch/pool"
)

func server(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
}

// Each member computes its own share. Shares that add up to more than the slots cause
// refusals at the server; shares that add up to less leave slots idle.
func TestPartsAddUp(t *testing.T) {
	tests := []struct{ slots, members, large int }{
		{64, 1, 1}, {64, 48, 1}, {64, 47, 3}, {8, 48, 1}, {1, 5, 2}, {100, 7, 10},
	}
	for _, tt := range tests {
		m := pool.Members{Sizes: make(map[string]int)}
		for i := range tt.members {
			m.Sizes[fmt.Sprint("m", i)] = 64
		}
		m.Sizes["m0"] = 64 * tt.large
		parts := make(map[string]int)
		for i := range 200 {
			sum := 0
			for name := range m.Sizes {
				m.Self = name
				n := Policy{}.Limit(server(i), tt.slots, m)
				sum += n
				parts[name] += n
			}
			if sum != tt.slots {
				t.Fatalf("%+v: parts of server %d add up to %d", tt, i, sum)
			}
		}
		fair := 200 * tt.slots * tt.large / (tt.members - 1 + tt.large)
		if n := parts["m0"]; n < fair*7/10 || n > fair*13/10 {
			t.Errorf("%+v: the large member has %d slots, its share is %d", tt, n, fair)
		}
	}
}

// A member leaves. The others' shares grow, and none of them loses slots to another: a
// slot that moves between two remaining members is used by both until both know of the
// change.
func TestMembersGoing(t *testing.T) {
	members := pool.Members{Self: "m0", Sizes: map[string]int{}}
	for i := range 9 {
		members.Sizes[fmt.Sprint("m", i)] = 64
	}
	before := make([]int, 500)
	for i := range before {
		before[i] = Policy{}.Limit(server(i), 8, members)
	}
	delete(members.Sizes, "m5")
	for i, n := range before {
		if after := (Policy{}).Limit(server(i), 8, members); after < n {
			t.Errorf("server %d: %d slots before, %d after a member has gone", i, n, after)
		}
	}
}
