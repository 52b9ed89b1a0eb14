package roster

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkRosterSteady measures the cost of membership for one node and second, with all
// heartbeats encoded and decoded. The time per operation is the processor time of one
// node.
func BenchmarkRosterSteady(b *testing.B) {
	for _, n := range []int{16, 64, 256, 1024, 2048} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			s := newJoinedSim(b, n)
			heap := heapBytes()
			s.bytes, s.calls = 0, 0
			seconds := 0
			b.ResetTimer()
			for done := 0; done < b.N; done += n {
				s.second()
				seconds++
			}
			b.StopTimer()
			each := float64(seconds * n)
			// Each heartbeat is written by one node and read by another.
			b.ReportMetric(2*float64(s.bytes)/each, "wire-B/node/s")
			b.ReportMetric(2*float64(s.calls)/each, "messages/node/s")
			b.ReportMetric(float64(heap)/float64(n), "heap-B/node")
			runtime.KeepAlive(s)
		})
	}
}

// BenchmarkRosterChurn measures the seconds until all agree after a quarter of the nodes
// have ended and as many have started, half of them at the addresses of those that ended.
func BenchmarkRosterChurn(b *testing.B) {
	for _, n := range []int{16, 64, 256, 1024} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			seconds := 0
			for b.Loop() {
				s := newJoinedSim(b, n)
				for i := range n / 4 {
					delete(s.nodes, simAddress(n-1-i))
				}
				for i := range n / 4 {
					s.start(n-1-n/8+i, 2)
				}
				seconds += converge(b, s)
			}
			b.ReportMetric(float64(seconds)/float64(b.N), "s/agreement")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func newJoinedSim(b *testing.B, n int) *sim {
	s := newSim(n, 1)
	s.encode = true
	for i := range n {
		s.start(i, 1)
	}
	b.Logf("%d nodes started at once agree after %d s", n, converge(b, s))
	for range 30 {
		s.second()
	}
	return s
}

func converge(b *testing.B, s *sim) int {
	for i := 1; i <= 300; i++ {
		s.second()
		if s.agree() {
			return i
		}
	}
	b.Fatal("no agreement after 300 s")
	return 0
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
