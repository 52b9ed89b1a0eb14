package lease

import "time"

// HoldCall renews the lease of a worker, or only queries it if Until is 0.
type HoldCall struct {
	// Number identifies the call among those of a WorkerLease.
	Number int
	Fence  Fence
	// Until is the requested end of the lease on the worker's clock, in milliseconds; 0
	// renews nothing.
	Until int64
	// LastEndSeen is the number of the last end that needn't be listed again.
	LastEndSeen int64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
	// Timeout is how long after Sent the call counts as unanswered.
	Timeout time.Duration
	// Sent is when the call was issued.
	Sent time.Time
}

// StartCall starts a run.
type StartCall struct {
	Order
	// Until is when the order expires, and the end of the lease that it requests, on the
	// worker's clock in milliseconds.
	Until int64
	Fence Fence
	// Attempt distinguishes the calls for one run.
	Attempt int
	// Clock is the worker's clock in its newest answer before the call.
	Clock int64
	// Timeout is how long after Sent the call counts as unanswered.
	Timeout time.Duration
	Sent    time.Time
}

// StopCall stops a run.
type StopCall struct {
	Run
	Fence Fence
	// Unclaimed is set if the run is stopped because no owner has claimed it.
	Unclaimed bool
}

// Verdict is the outcome of a call.
type Verdict int

// The verdicts.
const (
	// OK: the worker did what it was asked to.
	OK Verdict = iota + 1
	// Refused: it did nothing, for the reason given.
	Refused
	// OtherIncarnation: a worker with another ID answers at the address.
	OtherIncarnation
	// NoAnswer: it may have done what it was asked to, or may do it later.
	NoAnswer
)

// Result is the answer to a call.
type Result struct {
	Verdict Verdict
	Reason  Reason
	// Clock is the worker's clock in milliseconds, 0 if the answer has none.
	Clock int64
	// Incarnation identifies the worker's incarnation, in the answer to a hold call.
	Incarnation int64
	Running     []ListedRun
	Ended       []ListedEnd
}

// ListedRun is a run in the worker's list of what it runs.
type ListedRun struct {
	Run
	// Percent is how much of the work is done.
	Percent int
}

// ListedEnd is an end in the worker's list.
type ListedEnd struct {
	Number int64
	Run
	Outcome Outcome
}

// Action is what a WorkerLease asks its driver to do. One field is set.
type Action struct {
	Hold  *HoldCall
	Start *StartCall
	Stop  *StopCall
	// Report reports an end to the owner of the run.
	Report *OwnerReport
	// AnnounceHeld announces to all processes that this one holds the worker now; those
	// that have runs there claim them.
	AnnounceHeld bool
}

// OwnerReport is an end and the owner that must know it.
type OwnerReport struct {
	Owner Owner
	End   End
}
