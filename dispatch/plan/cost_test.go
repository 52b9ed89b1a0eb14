package plan

import (
	"fmt"
	"testing"
	"time"

	"snipehub.example/delivery"
)

// BenchmarkTask measures the planner's work for one task, from the queue to the end: one
// start and one end, with everything that they cause.
func BenchmarkTask(b *testing.B) {
	tests := []struct{ workers, callers, queued int }{
		{48, 1, 1000},
		{400, 1, 1000},
		{3000, 1, 1000},
		{13000, 1, 1000},
		{48, 10, 1000},
		{48, 190, 1000},
		{48, 1, 10_000},
		{48, 1, 100_000},
		{48, 1, 1_000_000},
		{13000, 190, 1_000_000},
	}
	for _, tt := range tests {
		b.Run(fmt.Sprintf("workers%d/callers%d/queued%d", tt.workers, tt.callers, tt.queued), func(b *testing.B) {
			p, now := loaded(b, tt.workers, tt.callers, tt.queued)
			var a Actions
			p.Decide(now, &a)
			active := make([]uint64, 0, 64)
			for _, s := range a.Starts {
				active = append(active, s.AttemptID)
			}
			n := 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Millisecond)
				k := n % len(active)
				n++
				p.AttemptEnded(now, active[k], delivery.Outcome{Kind: delivery.Done, Status: 200})
				p.Decide(now, &a)
				active[k] = a.Starts[0].AttemptID
				if p.waiting < tt.queued {
					_ = p.Submit(now, Job{ID: fmt.Sprint("n", n), Kind: "price", Caller: fmt.Sprint("c", n%tt.callers), Tasks: 10, Expires: now.Add(24 * time.Hour)})
				}
			}
		})
	}
}

// loaded returns a planner with queued tasks in jobs of ten.
func loaded(b *testing.B, workers, callers, queued int) (*Planner, time.Time) {
	cfg := config("share")
	cfg.QueuedTasks = 2 * queued
	cfg.MaxWait = 1000 * time.Hour
	p := planner(cfg, state(b, workers, 64))
	for i := range queued / 10 {
		j := Job{ID: fmt.Sprint("j", i), Kind: "price", Caller: fmt.Sprint("c", i%callers), Tasks: 10, Expires: epoch.Add(24 * time.Hour)}
		if err := p.Submit(epoch, j); err != nil {
			b.Fatal(err)
		}
	}
	return p, epoch
}

// BenchmarkCancel measures the cancellation of a waiting job of one task, as part of a
// wave over the whole queue.
func BenchmarkCancel(b *testing.B) {
	for _, queued := range []int{1000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint("queued", queued), func(b *testing.B) {
			var a Actions
			b.ReportAllocs()
			for done := 0; done < b.N; {
				b.StopTimer()
				p, now := loaded(b, 48, 190, 10*queued)
				p.Decide(now, &a)
				b.StartTimer()
				for i := 0; i < queued && done < b.N; i++ {
					p.Cancel(fmt.Sprint("j", i))
					done++
				}
			}
		})
	}
}

// BenchmarkTick measures Tick at 20 calls a second.
func BenchmarkTick(b *testing.B) {
	for _, workers := range []int{48, 400, 3000, 13000} {
		b.Run(fmt.Sprint("workers", workers), func(b *testing.B) {
			p, now := loaded(b, workers, 190, 100_000)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(50 * time.Millisecond)
				p.Tick(now)
			}
		})
	}
}

// BenchmarkWorld measures SetCluster with changed members.
func BenchmarkWorld(b *testing.B) {
	for _, workers := range []int{48, 400, 3000, 13000} {
		for _, members := range []int{1, 16, 100} {
			b.Run(fmt.Sprintf("workers%d/members%d", workers, members), func(b *testing.B) {
				p, now := loaded(b, workers, 1, 100)
				w := p.cluster
				for i := range b.N {
					w.Members.Sizes = map[string]int{"a": 1 + i%2}
					for k := range members - 1 {
						w.Members.Sizes[fmt.Sprint("m", k)] = 1
					}
					p.SetCluster(now, w)
				}
			})
		}
	}
}
