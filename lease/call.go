package lease

import "time"

// HoldCall renews the lease of a worker, or only looks when it asks for no time.
type HoldCall struct {
	// Number tells the calls of a book apart.
	Number int
	Fence  Fence
	// Until is the end of the lease on the worker's clock, in milliseconds; 0
	// renews nothing.
	Until int64
	// Seen is the number of the last end that needn't be told again.
	Seen int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
	// Timeout is when the call counts as not answered.
	Timeout time.Duration
	// Sent is when the call was given out.
	Sent time.Time
}

// StartCall starts a run.
type StartCall struct {
	Order
	// Until is when the order loses its force, and the end of the lease that it
	// brings, on the worker's clock in milliseconds.
	Until int64
	Fence Fence
	// Attempt tells the calls for one run apart.
	Attempt int
	// Clock is the worker's clock as last heard before the call.
	Clock int64
	// Timeout is when the call counts as not answered.
	Timeout time.Duration
	Sent    time.Time
}

// StopCall stops a run.
type StopCall struct {
	Run
	Fence Fence
}

// Verdict is what became of a call.
type Verdict int

// The verdicts.
const (
	// OK: the worker did what was asked.
	OK Verdict = iota + 1
	// Refused: it did nothing, for the reason given.
	Refused
	// OtherBoot: another life of a worker answers at the address.
	OtherBoot
	// NoAnswer: it may have done it, or may do it later.
	NoAnswer
)

// Result is the answer to a call.
type Result struct {
	Verdict Verdict
	Reason  Reason
	// Clock is the worker's clock in milliseconds, 0 if it wasn't told.
	Clock int64
	// Born numbers the worker's life, with a hold call.
	Born    int64
	Running []Listed
	Ended   []ListedEnd
}

// Listed is a run that a worker says it runs.
type Listed struct {
	Run
	// Percent is how much of the work is done.
	Percent int
}

// ListedEnd is an end that a worker lists.
type ListedEnd struct {
	Number int64
	Run
	How How
}

// Action is what a book asks its shell to do. One field is set.
type Action struct {
	Hold  *HoldCall
	Start *StartCall
	Stop  *StopCall
	// Tell is an end to be told to the owner of the run.
	Tell *Told
	// Held tells all processes that this one holds the worker now; those who
	// have runs there claim them.
	Held bool
}

// Told is an end and who must know it.
type Told struct {
	Owner Owner
	End   End
}
