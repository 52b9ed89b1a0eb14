package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// A process is stopped for a while and goes on. Whoever holds a promise that
// depends on time must learn of it, also a part that was busy just then; a slow
// tick, as on a loaded machine, is no freeze.
func TestGaps(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		silence time.Duration
		want    int
	}{
		{Resolution, 0},
		{GapAfter - 1, 0},
		{GapAfter, 1},
		{time.Hour, 1},
	}
	for _, tt := range tests {
		s := New()
		gaps := s.Gaps()
		s.tick(now, now.Add(tt.silence))
		s.tick(now.Add(tt.silence), now.Add(tt.silence+Resolution))
		if len(gaps) != tt.want {
			t.Errorf("%d gaps after a silence of %v, want %d", len(gaps), tt.silence, tt.want)
		}
		if tt.want == len(gaps) && tt.want > 0 && <-gaps != (Gap{From: now, To: now.Add(tt.silence)}) {
			t.Errorf("the gap of %v has other bounds", tt.silence)
		}
	}
}

// A part that is slow to take its ticks must not hold up those of the others,
// nor get all that it missed at once.
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
			t.Error("a tick after the subscription ended")
		}
		cancel()
		<-ended
	})
}
