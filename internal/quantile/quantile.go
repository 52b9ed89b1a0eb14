// Package quantile follows a quantile of times as they come in, in a few bytes and
// without a window: each time moves the value by a part of itself, up if it is longer,
// down if it is shorter, in the ratio that holds still at the quantile.
//
// It forgets fast and takes no notice of how long the longest times are, so that a few
// calls that get lost don't count for much. It isn't exact: the value goes on moving by
// a step around the quantile.
package quantile

import "time"

// Range is what a tracker follows, and how.
type Range struct {
	// Share is the part of the times that are at most as long as the value.
	Share float64
	// Step is the part of the value by which a time moves it, at most.
	Step float64
	// Least and Most bound the value; it starts with Least.
	Least, Most time.Duration
}

// Tracker is a value that follows a quantile. The zero value has seen nothing.
type Tracker time.Duration

// Value returns the quantile.
func (t Tracker) Value(r Range) time.Duration { return max(time.Duration(t), r.Least) }

const (
	// far is how many times the value a time is that tells of a change, and farSteps how
	// many steps it moves the value: from one millisecond to a hundred takes some twenty
	// times then, in place of fifty.
	far      = 4
	farSteps = 4
)

// Add takes a time into account.
func (t *Tracker) Add(r Range, d time.Duration) {
	v := t.Value(r)
	switch {
	case d > far*v:
		t.move(r, farSteps*r.Share)
	case d > v:
		t.move(r, r.Share)
	default:
		t.move(r, r.Share-1)
	}
}

// Longer takes a time into account of which nothing is known but that it is long.
func (t *Tracker) Longer(r Range) { t.move(r, r.Share) }

func (t *Tracker) move(r Range, by float64) {
	v := t.Value(r)
	v += time.Duration(by * r.Step * float64(v))
	*t = Tracker(min(max(v, r.Least), r.Most))
}
