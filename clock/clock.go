// Package clock is the timer service of the process, to which other packages subscribe.
//
// One goroutine ticks for the whole process, so that a suspension of the process (a paused
// VM, SIGSTOP) is detected in one place, as a gap between two ticks. Code whose guarantees
// depend on time subscribes to gaps as well.
package clock

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Resolution is the interval between two ticks, and the shortest period of a
	// subscription. The ticks take half of the CPU time of an idle process: with a
	// resolution of 10 ms, the idle process used 1.4% of a core, above the 1.2% that
	// control work may use.
	Resolution = 50 * time.Millisecond
	// GapThreshold is the minimum time between two ticks that counts as a suspension.
	GapThreshold = 500 * time.Millisecond
)

// Gap is a period in which the process did not run.
type Gap struct {
	From, To time.Time
}

// Service delivers ticks to subscriptions. It is a suture service.
type Service struct {
	mu             sync.Mutex
	subscriptions  map[*Subscription]struct{}
	gapSubscribers map[chan Gap]struct{}
}

// Subscription is one subscriber's stream of ticks.
type Subscription struct {
	// C receives the time of each tick. A tick is dropped if the previous one has not been
	// received.
	C        <-chan time.Time
	ticks    chan time.Time // the same channel as C
	period   time.Duration
	nextTick time.Time
	service  *Service
}

// New returns a timer service, which ticks while Serve runs.
func New() *Service {
	return &Service{
		subscriptions:  make(map[*Subscription]struct{}),
		gapSubscribers: make(map[chan Gap]struct{}),
	}
}

// Now returns the current time.
func (s *Service) Now() time.Time { return time.Now() }

// Subscribe returns a subscription with one tick per period, but at most one per Resolution.
func (s *Service) Subscribe(period time.Duration) *Subscription {
	c := make(chan time.Time, 1)
	sub := &Subscription{C: c, ticks: c, period: max(period, Resolution), nextTick: time.Now().Add(period), service: s}
	s.mu.Lock()
	s.subscriptions[sub] = struct{}{}
	s.mu.Unlock()
	return sub
}

// Stop ends the subscription.
func (s *Subscription) Stop() {
	s.service.mu.Lock()
	delete(s.service.subscriptions, s)
	s.service.mu.Unlock()
}

// Gaps returns a new channel that receives each gap. A gap is dropped if the channel's buffer
// of 4 is full.
func (s *Service) Gaps() <-chan Gap {
	c := make(chan Gap, 4)
	s.mu.Lock()
	s.gapSubscribers[c] = struct{}{}
	s.mu.Unlock()
	return c
}

// Serve delivers ticks and gaps until ctx ends.
func (s *Service) Serve(ctx context.Context) error {
	t := time.NewTicker(Resolution)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		now := time.Now()
		s.tick(last, now)
		last = now
	}
}

func (s *Service) tick(last, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sinceTick(last, now) >= GapThreshold {
		for c := range s.gapSubscribers {
			trySend(c, Gap{From: last, To: now})
		}
	}
	for sub := range s.subscriptions {
		// Half a resolution of tolerance: a subscription whose period is a multiple of the
		// resolution must not skip a tick that is slightly early.
		if now.Before(sub.nextTick.Add(-Resolution / 2)) {
			continue
		}
		sub.nextTick = now.Add(sub.period)
		trySend(sub.ticks, now)
	}
}

// SinceBoot returns the time since the machine started, including time in which it was
// suspended. The monotonic clock of package time stops while a VM is suspended, and the wall
// clock can be set. If the boot clock can't be read, the time since the start of the process is
// returned.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()

// sinceTick returns the time between two ticks by the monotonic or the wall clock, whichever
// is longer. The monotonic clock stops while a VM is suspended, so only the wall clock shows
// the suspension. A wall clock that is set forward looks like a suspension too, which costs
// one more confirmation of the tables.
func sinceTick(last, now time.Time) time.Duration {
	return max(now.Sub(last), now.Round(0).Sub(last.Round(0)))
}

func trySend[T any](c chan T, v T) {
	select {
	case c <- v:
	default:
	}
}

// Sleep waits for d or until ctx ends. It reports whether it waited for all of d.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
