package lease

import "time"

// Speed is what a holder learns of a worker from the ends of its runs.
type Speed struct {
	// Factor is the time that tasks take over their estimate, averaged; 0
	// before the first end.
	Factor float64 `json:"factor,omitempty"`
	// Ends counts the ends that Factor comes from.
	Ends int `json:"ends,omitempty"`
	// Bad counts failures and refusals since the last run that was done.
	Bad int `json:"bad,omitempty"`
}

// weight is the least weight of a new end in the average: about the last ten
// ends count, so that a worker that turns slow is known after a few tasks,
// although single estimates are off by a third.
const weight = 0.1

func (s *Speed) learn(e *run, end End) {
	switch end.How {
	case Done:
		s.Bad = 0
		s.add(end.Took, e.Estimate)
	case Failed:
		s.Bad++
	}
}

func (s *Speed) shed() { s.Bad++ }

func (s *Speed) add(took, estimate time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	s.Ends++
	w := max(weight, 1/float64(s.Ends))
	s.Factor += w * (float64(took)/float64(estimate) - s.Factor)
}
