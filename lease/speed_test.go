package lease

import (
	"testing"
	"time"
)

// What a worker's speed is taken for after some ends. A task so short that messages
// are most of its time must not make a worker look slow: jobs that it could serve
// would be refused.
func TestSpeed(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name        string
		took, est   time.Duration
		ends        int
		least, most float64
	}{
		{"nothing yet", 0, 0, 0, 0, 0},
		{"one short task", 7 * ms, 1 * ms, 1, 0, 0},
		{"one that took three times as long", 302 * ms, 100 * ms, 1, 1.5, 1.8},
		{"many that took three times as long", 302 * ms, 100 * ms, 30, 2.8, 3.0},
		{"many that took half as long", 52 * ms, 100 * ms, 30, 0.5, 0.55},
	}
	for _, tt := range tests {
		var s Speed
		for range tt.ends {
			s.learn(&run{Order: Order{Estimate: tt.est}}, End{How: Done, Took: tt.took})
		}
		if s.Factor < tt.least || s.Factor > tt.most {
			t.Errorf("%s: factor %.2f, want %.2f to %.2f", tt.name, s.Factor, tt.least, tt.most)
		}
	}
}

func TestBadEnds(t *testing.T) {
	var s Speed
	s.learn(&run{}, End{How: Failed})
	s.shed()
	if s.Bad != 2 {
		t.Errorf("%d bad ends", s.Bad)
	}
	s.learn(&run{}, End{How: Done})
	if s.Bad != 0 {
		t.Errorf("%d bad ends after a good one", s.Bad)
	}
}
