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
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"

	"snipehub.example/dispatch/pool"
)

// Policy is the policy.
type Policy struct{}

type part struct {
	self  bool
	score float64
	hash  uint64
}

// Limit returns this dispatcher's part of the slots. The parts of all members
// add up to the slots when they know the same members.
func (Policy) Limit(server netip.AddrPort, slots int, among pool.Members) int {
	if len(among.Sizes) <= 1 {
		return slots
	}
	var total float64
	for _, n := range among.Sizes {
		total += float64(n)
	}
	left := slots
	own := 0
	parts := make([]part, 0, len(among.Sizes))
	for name, n := range among.Sizes {
		whole := int(float64(slots) * float64(n) / total)
		left -= whole
		if name == among.Self {
			own = whole
		}
		h := pool.Score(server, name)
		// The weighted rendezvous score: the chance to be among the
		// highest is in proportion to the size.
		u := (float64(h>>11) + 0.5) / (1 << 53)
		parts = append(parts, part{name == among.Self, -float64(n) / math.Log(u), h})
	}
	slices.SortFunc(parts, func(a, b part) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.hash, b.hash))
	})
	for _, p := range parts[:min(left, len(parts))] {
		if p.self {
			own++
		}
	}
	return own
}

// Choose returns the less loaded of two servers of the fastest class that has
// room.
func (Policy) Choose(free *pool.Free, r *rand.Rand) *pool.Seat {
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
