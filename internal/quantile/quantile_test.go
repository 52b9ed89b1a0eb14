package quantile

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestFollows(t *testing.T) {
	r := Config{Share: 0.75, Step: 0.1, Min: time.Millisecond, Max: time.Second}
	for _, c := range []struct {
		name             string
		lostShare        float64
		minMean, maxMean time.Duration
	}{
		{"none lost", 0, 60 * time.Millisecond, 90 * time.Millisecond},
		{"a tenth lost", 0.1, 65 * time.Millisecond, 100 * time.Millisecond},
		{"half lost", 0.5, time.Second, time.Second},
	} {
		rnd := rand.New(rand.NewPCG(1, 2))
		var v Tracker
		var sum time.Duration
		for i := range 2000 {
			if rnd.Float64() < c.lostShare {
				v.AddLost(r)
			} else {
				v.Add(r, time.Duration(rnd.IntN(100))*time.Millisecond)
			}
			if i >= 1000 {
				sum += v.Value(r) / 1000
			}
		}
		if sum < c.minMean*95/100 || sum > c.maxMean {
			t.Errorf("%s: %v on average, want %v to %v", c.name, sum, c.minMean, c.maxMean)
		}
	}
}

func TestBounds(t *testing.T) {
	r := Config{Share: 0.5, Step: 0.5, Min: 2 * time.Millisecond, Max: 9 * time.Millisecond}
	var v Tracker
	if v.Value(r) != r.Min {
		t.Errorf("starts at %v", v.Value(r))
	}
	for range 50 {
		v.AddLost(r)
	}
	if v.Value(r) != r.Max {
		t.Errorf("%v, want %v", v.Value(r), r.Max)
	}
	for range 50 {
		v.Add(r, 0)
	}
	if v.Value(r) != r.Min {
		t.Errorf("%v, want %v", v.Value(r), r.Min)
	}
}
