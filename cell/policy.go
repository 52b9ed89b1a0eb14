package cell

import "time"

// Policy configures the planner's decisions.
type Policy struct {
	// EjectAfter is the number of consecutive failures, of different jobs, after which a
	// worker is ejected; 0 takes the default, a negative number disables ejection.
	EjectAfter int
	// MaxEjectedShare is the largest share of the workers that may be ejected at a time.
	MaxEjectedShare float64
	// ProbeInterval is the interval until the first probe task of an ejected worker; it
	// doubles with each failed probe, up to MaxProbeInterval.
	ProbeInterval, MaxProbeInterval time.Duration
	// WaitForFaster keeps a task pending that would be late on the free workers but could
	// meet its objective on a faster one.
	WaitForFaster Choice
	// LookAhead refuses jobs immediately that would be late because of the requests ahead
	// of them in the queue. Margin scales the time to the objective that this compares
	// with.
	LookAhead Choice
	Margin    float64
	// Admission limits the jobs that are admitted while more work is offered than can be
	// done.
	Admission Choice
	// FewHolders places the tasks of a job on few holders when there is a choice among
	// equally fast workers.
	FewHolders Choice
	// Order is the order of the queue.
	Order Order
	// OtherRackFactor is the factor by which tasks take longer on a rack other than that of
	// their data; 0 takes the default.
	OtherRackFactor float64
}

// defaultOtherRackFactor is the factor in the platform's deployments today.
const defaultOtherRackFactor = 2

// Order is an order of the pending requests. In each order, jobs that have begun go
// first.
type Order int

// The orders.
const (
	// ByRank orders by the rank that the operator gave the queue, then by objective.
	ByRank Order = iota
	// ByObjective orders by objective only.
	ByObjective
	// ByWork orders by pending work, least first.
	ByWork
	// ByRankWork orders by rank, then by pending work, least first.
	ByRankWork
)

// Choice switches a part of the policy on or off, or leaves it to the default, which is
// on.
type Choice int

// The choices.
const (
	Default Choice = iota
	On
	Off
)

func (c Choice) on() bool { return c != Off }

func (p Policy) withDefaults() Policy {
	if p.EjectAfter == 0 {
		p.EjectAfter = 2
	}
	if p.MaxEjectedShare == 0 {
		p.MaxEjectedShare = 0.3
	}
	if p.ProbeInterval == 0 {
		p.ProbeInterval = 500 * time.Millisecond
	}
	if p.MaxProbeInterval == 0 {
		p.MaxProbeInterval = 2 * time.Second
	}
	if p.Margin == 0 {
		p.Margin = 1
	}
	if p.OtherRackFactor == 0 {
		p.OtherRackFactor = defaultOtherRackFactor
	}
	return p
}
