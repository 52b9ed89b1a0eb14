// Package share divides the slots of each server over the dispatchers of the
// data centre, so that in the common case no two of them meet on a slot and no
// probe is needed.
//
// Each dispatcher computes the division for itself from the members that it
// knows. Slots that do not divide evenly go to the members with the highest
// rendezvous scores for that server, so a change of one member moves only that
// member's part. Where two views differ, the worker's own refusal settles it.
package share

import (
	"math"
	"math/rand/v2"
	"net/netip"

	"snipehub.example/dispatch/pool"
)

// Policy is the policy.
type Policy struct{}

// Limit returns this dispatcher's part of the slots. The parts of all members
// add up to the slots when they know the same members: each has its whole part,
// and those slots that are left over go to the highest scores.
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
	ownRank := score(server, among.Self, among.Sizes[among.Self])
	above := 0
	for name, n := range among.Sizes {
		if above >= left {
			return own
		}
		if name != among.Self && score(server, name, n).above(ownRank) {
			above++
		}
	}
	if above < left {
		own++
	}
	return own
}

// rank is a member's weighted rendezvous score for a server. The chance to be
// among the highest is in proportion to the size.
type rank struct {
	score float64
	name  string
}

func score(server netip.AddrPort, name string, size int) rank {
	u := (float64(pool.Score(server, name)>>11) + 0.5) / (1 << 53)
	return rank{-float64(size) / math.Log(u), name}
}

func (r rank) above(o rank) bool {
	if r.score != o.score {
		return r.score > o.score
	}
	return r.name < o.name
}

// Choose returns the less loaded of two servers of the fastest class that has
// room.
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
