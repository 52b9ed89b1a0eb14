package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// The process is suspended and resumes. Subscribers must receive the gap even if they were
// busy at that time. A delayed tick, as on a loaded machine, is not a gap.
func TestGaps(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		pause time.Duration
		want  int
	}{
		{Resolution, 0},
		{GapThreshold - 1, 0},
		{GapThreshold, 1},
		{time.Hour, 1},
	}
	for _, tt := range tests {
		s := New()
		gaps := s.Gaps()
		s.tick(now, now.Add(tt.pause))
		s.tick(now.Add(tt.pause), now.Add(tt.pause+Resolution))
		if len(gaps) != tt.want {
			t.Errorf("%d gaps after a pause of %v, want %d", len(gaps), tt.pause, tt.want)
		}
		if tt.want == len(gaps) && tt.want > 0 && <-gaps != (Gap{From: now, To: now.Add(tt.pause)}) {
			t.Errorf("the gap of %v has wrong bounds", tt.pause)
		}
	}
}

// A subscriber that is slow to receive its ticks must not delay those of others, nor receive
// all missed ticks at once.
func TestSlowSubscriber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_ = s.Serve(ctx)
		}()
		slow, quick := s.Subscribe(time.Second), s.Subscribe(time.Second)
		gaps := s.Gaps()
		for range 10 {
			<-quick.C
		}
		if len(slow.C) != 1 || len(gaps) != 0 {
			t.Errorf("%d ticks wait and %d gaps, want 1 and none", len(slow.C), len(gaps))
		}
		slow.Stop()
		<-slow.C
		<-quick.C
		if len(slow.C) != 0 {
			t.Error("received a tick after Stop")
		}
		cancel()
		<-ended
	})
}
