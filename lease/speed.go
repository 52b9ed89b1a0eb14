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
	// overhead is the part of a run, as its holder sees it, that messages take.
	overhead = 2 * time.Millisecond
)

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
