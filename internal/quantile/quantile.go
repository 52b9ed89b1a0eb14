// Package quantile estimates a quantile of a stream of durations in a few bytes and
// without a window. Each duration moves the estimate by a fraction of the estimate, up if
// the duration is longer and down if it is shorter, in the ratio that balances at the
// quantile.
//
// The estimate forgets quickly and does not depend on how long the longest durations are,
// so that a few lost calls count for little. It is not exact: it keeps moving by a step
// around the quantile.
package quantile

import "time"

// Config configures which quantile a Tracker estimates, and how.
type Config struct {
	// Share is the quantile: the fraction of the durations that are at most the estimate.
	Share float64
	// Step is the fraction of the estimate by which one duration moves it, at most; see
	// outlierSteps for the exception.
	Step float64
	// Min and Max bound the estimate; it starts at Min.
	Min, Max time.Duration
}

// Tracker is the estimate of a quantile. The zero value has seen no durations.
type Tracker time.Duration

// Value returns the estimate.
func (t Tracker) Value(r Config) time.Duration { return max(time.Duration(t), r.Min) }

const (
	// A duration of more than outlierFactor times the estimate indicates a change and
	// moves it by outlierSteps steps: the estimate then gets from one millisecond to a
	// hundred in some twenty durations instead of fifty.
	outlierFactor = 4
	outlierSteps  = 4
)

// Add takes a duration into account.
func (t *Tracker) Add(r Config, d time.Duration) {
	v := t.Value(r)
	switch {
	case d > outlierFactor*v:
		t.move(r, outlierSteps*r.Share)
	case d > v:
		t.move(r, r.Share)
	default:
		t.move(r, r.Share-1)
	}
}

// AddLost takes into account a duration of which nothing is known except that it is long,
// such as that of a lost call.
func (t *Tracker) AddLost(r Config) { t.move(r, r.Share) }

func (t *Tracker) move(r Config, steps float64) {
	v := t.Value(r)
	v += time.Duration(steps * r.Step * float64(v))
	*t = Tracker(min(max(v, r.Min), r.Max))
}
