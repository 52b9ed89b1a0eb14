package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestPeriods counts the ticks of subscriptions with periods at and above the resolution.
func TestPeriods(t *testing.T) {
	tests := []struct {
		period time.Duration
		want   int
	}{
		{Resolution, 200},
		{2 * Resolution, 100},
		{time.Second, 10},
	}
	for _, tt := range tests {
		t.Run(tt.period.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New()
				sub := s.Subscribe(tt.period)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second+Resolution/2)
				defer cancel()
				go func() { _ = s.Serve(ctx) }()
				n := 0
				for done := false; !done; {
					select {
					case <-sub.C:
						n++
					case <-ctx.Done():
						done = true
					}
				}
				if n < tt.want-1 || n > tt.want+1 {
					t.Errorf("%d ticks in 10 s, want %d", n, tt.want)
				}
			})
		})
	}
}
