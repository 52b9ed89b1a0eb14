package node

import (
	"testing"
)

// When many processes lose the store, or have it back, each of them tells all others at once,
// and each of these changes is handled by every process.
func BenchmarkMemberChanged(b *testing.B) {
	const members = 147
	c := newCore(1)
	for n := 2; n <= members; n++ {
		c.MemberUp(ms(1), member(n), uint64(n))
	}
	c.Take(ms(1))
	blind := false
	for b.Loop() {
		blind = !blind
		for n := 2; n <= members; n++ {
			m := member(n)
			m.StoreUnreachable = blind
			c.MemberChanged(ms(2), m)
		}
		c.Take(ms(2))
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/(members-1), "ns/change")
}
