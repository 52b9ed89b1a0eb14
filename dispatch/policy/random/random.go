// Package random is the baseline: any server that has a free slot by this dispatcher's
// own count. Other dispatchers' tasks show only as refusals.
package random

import (
	"math/rand/v2"
	"net/netip"

	"snipehub.example/dispatch/pool"
)

// Policy implements policy.Policy.
type Policy struct{}

// Limit returns all slots.
func (Policy) Limit(_ netip.AddrPort, slots int, _ pool.Members) int { return slots }

// Choose returns a random server with free slots.
func (Policy) Choose(free *pool.FreeServers, r *rand.Rand) *pool.Membership {
	return free.At(r.IntN(free.Len()))
}

// HandsOver returns false.
func (Policy) HandsOver() bool { return false }
