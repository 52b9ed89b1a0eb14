package lease

import (
	"math"
	"time"

	"snipehub.example/internal/quantile"
)

// Speed is what a holder learns of a worker from the ends of its runs.
type Speed struct {
	// Factor is the time that tasks take over their estimate, averaged; 0
	// before the first end.
	Factor float64 `json:"factor,omitempty" cbor:"1,keyasint,omitzero"`
	// Ends counts the ends that Factor comes from.
	Ends int `json:"ends,omitempty" cbor:"2,keyasint,omitzero"`
	// Bad counts the jobs in a row whose runs failed, were refused or stood still,
	// since the last run that was done. A job whose tasks fail everywhere counts
	// once.
	Bad int `json:"bad,omitempty" cbor:"3,keyasint,omitzero"`

	lastBad string
}

const (
	// weight is the least weight of a new end in the average: about the last
	// ten ends count, so that a worker that turns slow is known after a few
	// tasks, although single estimates are off by a third.
	weight = 0.1
	// prior is how many ends as estimated are taken for granted, so that the
	// first end alone does not decide.
	prior = 2
	// shortest is the estimate below which an end teaches nothing: what the
	// messages take is then a good part of it. A task of 1 ms that took 7 had
	// jobs of seconds refused.
	shortest = 20 * time.Millisecond
	// sampleAt is the percentage of its work at which the time of a run is
	// foreseen; before, a percent more or less says too little.
	sampleAt = 20
	// stuckAfter is how long a run may show no progress, and stuckShare the part
	// of its estimate, before it counts as standing still. Progress is told in
	// percent, at least every 300 ms: of a task that takes 30 seconds one percent
	// is 300 ms.
	stuckAfter = 700 * time.Millisecond
	stuckShare = 0.1
	// overhead is the part of a run, as its holder sees it, that messages take.
	overhead = 2 * time.Millisecond
)

// near tells that a planner that knows o needs no news of s: the same bad ends, and a
// factor that differs by less than estimates are wrong.
func (s Speed) near(o Speed) bool {
	known := s.Ends > 0 == (o.Ends > 0)
	return s.Bad == o.Bad && known && math.Abs(s.Factor-o.Factor) <= nearFactor*o.Factor
}

// nearFactor is the part of a factor by which it may differ from what the planner knows.
// Single estimates are off by a third.
const nearFactor = 0.02

func (s *Speed) learn(e *run, end End) {
	switch end.How {
	case Done:
		s.Bad, s.lastBad = 0, ""
		if !e.sampled && !e.adopted {
			s.add(end.Took, e.Estimate)
		}
	case Failed:
		s.bad(e.Run)
	}
}

// bad counts a bad end.
func (s *Speed) bad(r Run) {
	if job := r.Job(); job != s.lastBad {
		s.lastBad = job
		s.Bad++
	}
}

func (s *Speed) add(took, estimate time.Duration) {
	if estimate < shortest || took <= 0 {
		return
	}
	if s.Ends == 0 {
		s.Factor = 1
	}
	s.Ends++
	w := max(weight, 1/float64(s.Ends+prior))
	s.Factor += w * (float64(max(took-overhead, 0))/float64(estimate) - s.Factor)
}

// Habits is what is known of a pool's workers as a whole. Books of one process share
// it.
type Habits struct {
	// Progress tells that workers tell how far their runs are. Where none does,
	// a run that shows no progress says nothing.
	Progress bool
	// trip is how long they take to answer this process.
	trip quantile.Tracker
}

// progress learns from how far a run is. A worker whose tasks stand still looks
// healthy and keeps its room in use; the run is stopped, so that its task can go on
// elsewhere.
func (b *Book) progress(now time.Time, e *run, percent int) {
	if percent != e.percent {
		e.percent, e.progressed = percent, now
		b.habits.Progress = b.habits.Progress || percent > 0 && percent < 100
	}
	if e.adopted || e.state != running {
		return
	}
	if !e.sampled && percent >= sampleAt {
		// The next tick tells the planner: this is not urgent, and each hold call may
		// bring one.
		e.sampled, e.reported = true, false
		b.speed.add(now.Sub(e.began)*100/time.Duration(percent), e.Estimate)
	}
	still := max(stuckAfter, time.Duration(stuckShare*float64(e.Estimate)))
	if b.habits.Progress && now.Sub(e.progressed) > still && now.Sub(e.began) > still {
		b.speed.bad(e.Run)
		b.speed.Bad = max(b.speed.Bad, stuckCounts)
		b.stop(now, e)
	}
}

// stuckCounts is how many bad ends a run that stands still counts for: tasks don't
// stand still by themselves.
const stuckCounts = 2
