// Package two implements the power of two choices on own counts: of two random servers,
// it takes the one on which the task should end first, judged by the load that this
// dispatcher put there and the server's learned speed.
package two

import (
	"math/rand/v2"
	"net/netip"

	"snipehub.example/dispatch/pool"
)

// Policy implements policy.Policy.
type Policy struct{}

// Limit returns all slots.
func (Policy) Limit(_ netip.AddrPort, slots int, _ pool.Members) int { return slots }

// Choose returns the less loaded of two random servers with free slots.
func (Policy) Choose(free *pool.FreeServers, r *rand.Rand) *pool.Membership {
	a := free.At(r.IntN(free.Len()))
	b := free.At(r.IntN(free.Len()))
	if b.Server.Load() < a.Server.Load() {
		return b
	}
	return a
}

// HandsOver returns false.
func (Policy) HandsOver() bool { return false }
