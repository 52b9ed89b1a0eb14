package admission

import (
	"fmt"
	"math"
	"testing"
	"time"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// stream is the jobs of one queue, evenly spaced: each takes one unit of work, and waits for
// workers for at most patience milliseconds.
type stream struct {
	name               string
	rank               int
	perSecond          float64
	patience           int
	arrived            float64
	pending            []int
	served, turnedAway int
}

// play has jobs arrive for some time and grants workers by rank, capacity units a second. It
// returns the levels after each update.
func play(c *Controller, from, to int, capacity float64, streams ...*stream) []Levels {
	var levels Levels
	var out []Levels
	free := 0.0
	for t := from; t < to; t++ {
		free += capacity / 1000
		for _, s := range streams {
			for s.arrived += s.perSecond / 1000; s.arrived >= 1; s.arrived-- {
				share := levels.Share(s.name)
				if !Admits(fmt.Sprint(s.name, t, s.arrived), share) {
					s.turnedAway++
					continue
				}
				c.Offer(at(t), Job{Queue: s.name, Pool: "p", Rank: s.rank}, 1, share)
				s.pending = append(s.pending, t)
			}
			for ; free >= 1 && len(s.pending) > 0; free-- {
				c.Grant(at(t), s.name, 1)
				s.pending = s.pending[1:]
				s.served++
			}
			for len(s.pending) > 0 && t-s.pending[0] > s.patience {
				c.Refuse(s.name)
				s.pending = s.pending[1:]
			}
		}
		free = min(free, 10)
		if t%50 == 0 {
			pending := make(map[string]float64)
			for _, s := range streams {
				pending[s.name] = float64(len(s.pending))
			}
			levels = c.Update(at(t), pending)
			out = append(out, levels)
		}
	}
	return out
}

// Twice and five times the load that the workers can do, for seconds. Callers who cannot be
// served must be refused where they arrive, and the workers stay busy.
func TestSustainedOverload(t *testing.T) {
	for _, factor := range []float64{1.5, 2.5, 5} {
		c := NewController()
		s := &stream{name: "q", perSecond: 1000 * factor, patience: 150}
		play(c, 0, 1000, 1000, s)
		s.served, s.turnedAway = 0, 0
		levels := play(c, 1000, 6000, 1000, s)
		if s.served < 4750 {
			t.Errorf("load %v: %d jobs of 5000 served", factor, s.served)
		}
		if refused := 5 * (s.perSecond - 1000); float64(s.turnedAway) < 0.75*refused {
			t.Errorf("load %v: %d jobs refused on arrival, want most of %v", factor, s.turnedAway, refused)
		}
		for _, l := range levels[20:] {
			if share := l.Share("q"); math.Abs(share*factor-1.1) > 0.25 {
				t.Fatalf("load %v: share %v swings", factor, share)
			}
		}
	}
}

// An overload ends. Workers stood idle while callers were still refused by what was measured
// before.
func TestLoadFalls(t *testing.T) {
	for _, factor := range []float64{1.5, 2.5} {
		c := NewController()
		s := &stream{name: "q", perSecond: 1000 * factor, patience: 150}
		play(c, 0, 3000, 1000, s)
		s.perSecond = 600
		levels := play(c, 3000, 3350, 1000, s)
		if last := levels[len(levels)-1]; len(last.Queues) > 0 {
			t.Errorf("load %v: still %v 0.3 s after its end", factor, last)
		}
	}
}

// Little more is asked for than the workers can do. The planner then chooses by itself which
// jobs fit; levels would turn away others by their IDs.
func TestSlightOverload(t *testing.T) {
	c := NewController()
	s := &stream{name: "q", perSecond: 1100, patience: 150}
	for _, l := range play(c, 0, 3000, 1000, s) {
		if len(l.Queues) > 0 {
			t.Fatalf("levels %v at 1.1 times the capacity", l)
		}
	}
}

// One pool is overloaded. Nobody else may be refused for that.
func TestPoolsAreSeparate(t *testing.T) {
	c := NewController()
	for i := range 100 {
		now := at(10 * i)
		c.Offer(now, Job{Queue: "full", Pool: "a", Rank: 1}, 10, 1)
		c.Offer(now, Job{Queue: "idle", Pool: "b", Rank: 2}, 1, 1)
		c.Grant(now, "full", 1)
		c.Grant(now, "idle", 1)
		c.Refuse("full")
		if l := c.Update(now, nil); l.Share("idle") < 1 || i > 50 && l.Share("full") > 0.5 {
			t.Fatalf("levels %v after %d updates", l, i)
		}
	}
}

// A single job is refused in an idle system, for instance because the only rack that holds its
// data is taken. Nobody else may be refused for that.
func TestSingleRefusal(t *testing.T) {
	c := NewController()
	s := &stream{name: "q", perSecond: 500, patience: 150}
	play(c, 0, 2000, 1000, s)
	c.Refuse("q")
	for _, l := range play(c, 2000, 2500, 1000, s) {
		if len(l.Queues) > 0 {
			t.Fatalf("levels %v in an idle system", l)
		}
	}
}

// Two queues of different rank ask for more than there is. The better one must not be limited
// to a smaller share of its jobs than the other.
func TestRanksInOverload(t *testing.T) {
	c := NewController()
	urgent := &stream{name: "urgent", rank: 0, perSecond: 800, patience: 100}
	other := &stream{name: "other", rank: 1, perSecond: 1600, patience: 600}
	play(c, 0, 1000, 1000, urgent, other)
	urgent.served = 0
	for _, l := range play(c, 1000, 5000, 1000, urgent, other) {
		if l.Share("other") > l.Share("urgent") {
			t.Fatalf("levels %v", l)
		}
	}
	if urgent.served < 3000 {
		t.Errorf("%d of 3200 urgent jobs served", urgent.served)
	}
}

// A job is refused by one process and sent again over another, or reaches a planner whose
// share is larger by now. Its draw must be the same everywhere, and a larger share must only
// add jobs.
func TestAdmits(t *testing.T) {
	for _, share := range []float64{0, 0.02, 0.3, 0.9, 1} {
		n := 0
		for i := range 20000 {
			id := fmt.Sprintf("%016x", i)
			if !Admits(id, share) {
				continue
			}
			n++
			if !Admits(id, share+0.05) {
				t.Fatalf("job %s is admitted at share %v but not above", id, share)
			}
		}
		if got := float64(n) / 20000; math.Abs(got-share) > 0.02 {
			t.Errorf("share %v admits %v", share, got)
		}
	}
}

// Callers that are refused at a small share all came back after a second, as the next burst.
func TestRetryAfter(t *testing.T) {
	for _, tt := range []struct {
		share float64
		want  time.Duration
	}{{1, 500 * time.Millisecond}, {0.5, time.Second}, {0.1, 5 * time.Second}, {0, 8 * time.Second}} {
		if got := RetryAfter(tt.share); got != tt.want {
			t.Errorf("share %v: %v, want %v", tt.share, got, tt.want)
		}
	}
}
