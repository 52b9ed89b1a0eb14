// Package share divides the slots of each server among the dispatchers of the data
// centre, so that normally no two of them use the same slot and none has to probe for a
// free one.
//
// Each dispatcher computes the division from the members that it knows. Slots that do not
// divide evenly go to the members with the highest rendezvous scores for the server, so a
// change of one member moves only that member's share. Where the views of two dispatchers
// differ, the backend server refuses what exceeds its slots.
package share

import (
	"math"
	"math/rand/v2"
	"net/netip"

	"snipehub.example/dispatch/pool"
)

// Policy implements policy.Policy.
type Policy struct{}

// Limit returns this dispatcher's share of the slots. The shares of all members add up to
// the slots if they know the same members: each gets its proportion rounded down, and the
// remaining slots go to the highest scores.
func (Policy) Limit(server netip.AddrPort, slots int, among pool.Members) int {
	total := 0
	for _, n := range among.Sizes {
		total += n
	}
	left := slots
	for _, n := range among.Sizes {
		left -= slots * n / total
	}
	own := slots * among.Sizes[among.Self] / total
	ownRank := rankOf(server, among.Self, among.Sizes[among.Self])
	above := 0
	for name, n := range among.Sizes {
		if above >= left {
			return own
		}
		if name != among.Self && rankOf(server, name, n).above(ownRank) {
			above++
		}
	}
	if above < left {
		own++
	}
	return own
}

// rank is a member's weighted rendezvous score for a server. The probability of being
// among the highest is proportional to the member's size.
type rank struct {
	score float64
	name  string
}

func rankOf(server netip.AddrPort, name string, size int) rank {
	u := (float64(pool.Score(server, name)>>11) + 0.5) / (1 << 53)
	return rank{-float64(size) / math.Log(u), name}
}

func (r rank) above(o rank) bool {
	if r.score != o.score {
		return r.score > o.score
	}
	return r.name < o.name
}

// Choose returns the less loaded of two random servers of the fastest class that has free
// slots.
func (Policy) Choose(free *pool.FreeServers, r *rand.Rand) *pool.Membership {
	fast := free.Fastest()
	a := fast[r.IntN(len(fast))]
	b := fast[r.IntN(len(fast))]
	if b.Server.Load() < a.Server.Load() {
		return b
	}
	return a
}

// HandsOver returns false.
func (Policy) HandsOver() bool { return false }
