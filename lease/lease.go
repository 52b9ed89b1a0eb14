// Package lease manages workers under leases: for each worker, the state of the one
// process (its holder) that may start and stop tasks there.
//
// A worker kills everything that it runs when the lease that its holder renews expires,
// and refuses orders with a lower fencing token than it has seen. Therefore a holder that
// is suspended, dead or cut off can't keep a task running, and can't start a task once
// another holder has taken over.
//
// A WorkerLease is the state of one worker as a deterministic state machine without I/O:
// events and times go in, actions come out. It has no goroutine, socket or clock. It
// guarantees:
//
//   - a run that it reports as not started, ended or lost does not run and will not run,
//     whatever happens to orders that are still in flight;
//   - the tasks on a worker, including those that are being stopped and those whose start
//     is unanswered, never take more resources than the worker has, and are never more of a
//     step than the order allows.
//
// Limits: the worker's clock is known from its answers alone, and it may run slow by
// MaxClockDrift. A holder that can't reach the worker learns that its runs have ended
// only when the lease has expired.
package lease

import (
	"log/slog"
	"net/netip"
	"time"

	"snipehub.example/mesh"
)

// Worker is the description of a backend server that runs tasks under leases, as one of its
// incarnations has written it.
type Worker struct {
	// ID names the worker. A worker that restarts may keep its ID and be of another kind.
	ID         string         `json:"id" cbor:"1,keyasint,omitzero"`
	Address    netip.AddrPort `json:"address" cbor:"2,keyasint,omitzero"`
	DataCenter string         `json:"dc" cbor:"3,keyasint,omitzero"`
	Pool       string         `json:"pool" cbor:"4,keyasint,omitzero"`
	// Kind and Rack are its labels.
	Kind      string    `json:"kind,omitempty" cbor:"5,keyasint,omitzero"`
	Rack      string    `json:"rack,omitempty" cbor:"6,keyasint,omitzero"`
	Resources Resources `json:"room" cbor:"7,keyasint,omitzero"`
	// Incarnation is the start of the incarnation in Unix milliseconds, 0 if it is unknown.
	Incarnation int64 `json:"incarnation,omitempty" cbor:"9,keyasint,omitzero"`
}

// Resources is an amount of a worker's resources: CPU in thousandths of a core, memory in
// megabytes, and GPUs.
type Resources struct {
	CPU    int `json:"cpu,omitempty" cbor:"1,keyasint,omitzero"`
	Memory int `json:"mem,omitempty" cbor:"2,keyasint,omitzero"`
	GPU    int `json:"gpu,omitempty" cbor:"3,keyasint,omitzero"`
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU}
}

// Minus returns the difference.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.GPU - o.GPU}
}

// Fits reports whether r fits into o.
func (r Resources) Fits(o Resources) bool {
	return r.CPU <= o.CPU && r.Memory <= o.Memory && r.GPU <= o.GPU
}

// Fence is a fencing token: higher for each holder of a worker than for the one before,
// and never the same for two.
//
// From the highest bit down it has a term, which each holder sets above that of the one
// before; bits that distinguish holders that choose the same term; and a round, which a
// holder raises to void its own unanswered orders. A round never overflows into the next
// term. If it did, a holder that has been replaced and voids an old order would take the
// worker back unknowingly: the new holder would report to the owners of runs that these
// don't run, while the old one starts them.
type Fence uint64

const (
	roundBits = 8
	// holderBits distinguish holders. Two processes have the same bits if 2^20 others
	// have started in between.
	holderBits = 20
	termShift  = roundBits + holderBits
	maxRound   = 1<<roundBits - 1
)

// NewFence returns the first fence of the holder with the given number, which must be
// unique.
func NewFence(number uint64) Fence {
	return Fence(number<<termShift | number&(1<<holderBits-1)<<roundBits)
}

// Term returns the term.
func (f Fence) Term() uint64 { return uint64(f >> termShift) }

// Base returns the fence without its round. It identifies one holding: the period in
// which one process holds a worker.
func (f Fence) Base() Fence { return f &^ maxRound }

// AddTerms returns the first fence of the same holder in a term that is higher by terms.
func (f Fence) AddTerms(terms uint64) Fence {
	return f.Base() + Fence(terms<<termShift)
}

// Above returns the fence of this holder in the first term after o's, or its own
// if that is higher already.
func (f Fence) Above(o Fence) Fence {
	if f.Term() > o.Term() {
		return f
	}
	return f.AddTerms(o.Term() - f.Term() + 1)
}

// NextRound returns the fence in the next round, or false if the term has no rounds left.
func (f Fence) NextRound() (Fence, bool) {
	if f&maxRound == maxRound {
		return f, false
	}
	return f + 1, true
}

// Run is one attempt of a task.
type Run struct {
	Task Task `json:"task" cbor:"1,keyasint,omitzero"`
	// Number counts the runs of the task from 1.
	Number int `json:"n" cbor:"2,keyasint,omitzero"`
}

// Job returns the id of the run's job.
func (r Run) Job() string { return r.Task.Job() }

// Order asks for one run to be started.
type Order struct {
	Claim
	Text
	// Incarnation is the only incarnation of the worker that may run it, 0 if any may.
	Incarnation int64
	// MaxPerWorker is the maximum number of tasks of the run's step on the worker, 0 if there
	// is none.
	MaxPerWorker int
}

// Outcome is the outcome of a run.
type Outcome int

// The ways in which a run ends.
const (
	// Done: it completed its work.
	Done Outcome = iota + 1
	// Failed: it failed by its own fault or the worker's.
	Failed
	// Stopped: it was stopped by order.
	Stopped
	// LeaseExpired: the worker killed it because the lease had expired.
	LeaseExpired
	// NeverStarted: it was not started and will not be.
	NeverStarted
	// Lost: it does not run any more, and its outcome is unknown.
	Lost
)

var outcomeNames = map[Outcome]string{Done: "done", Failed: "failed", Stopped: "stopped", LeaseExpired: "lapsed", NeverStarted: "never", Lost: "lost"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// LogValue logs the outcome by its name.
func (o Outcome) LogValue() slog.Value { return slog.StringValue(o.String()) }

// Reason is why a run was not started.
type Reason string

// The reasons.
const (
	InsufficientResources Reason = "room"
	NotHeld               Reason = "not_held"
	// Unusable: the worker does not answer, or does not accept hold calls.
	Unusable Reason = "unsound"
	Draining Reason = "draining"
	// Evacuated: no tasks may be started in the worker's data centre.
	Evacuated Reason = "evacuated"
	// StepLimit: as many tasks of the step as allowed are on the worker.
	StepLimit Reason = "step_limit"
	// UnknownNeeds: the worker, which does not guard its capacity, runs a task of which nobody
	// has said what it needs.
	UnknownNeeds Reason = "unknown_needs"
	Unhealthy    Reason = "unhealthy"
	// Restarted: the order is for an incarnation of the worker that is not known to run,
	// or whose description the holder does not have.
	Restarted Reason = "restarted"
	// Late: the order had expired when it reached the worker.
	Late Reason = "late"
	// AlreadyStopped: the worker was told before to stop this run of the task, or a later
	// one.
	AlreadyStopped Reason = "old"
	// Fenced: the worker has seen a higher fence than the order's.
	Fenced Reason = "fenced"
	// Unanswered: the start got no answer, and the worker does not run it.
	Unanswered Reason = "unanswered"
	// Invalid: the worker can't read the order.
	Invalid Reason = "invalid"
	// TextDiffers: the order's text is not the one that its caller sent.
	TextDiffers Reason = "text_differs"
)

// End is the end of a run.
type End struct {
	Run
	Outcome Outcome `cbor:"3,keyasint,omitzero"`
	// Why is set if Outcome is NeverStarted.
	Why Reason `cbor:"4,keyasint,omitzero"`
	// Took is how long it ran as seen by the holder, or 0 if that is unknown.
	Took time.Duration `cbor:"5,keyasint,omitzero"`
}

// IsOrderWrong reports whether the order itself was wrong, so that no other worker will
// start the run either.
func (e End) IsOrderWrong() bool {
	return e.Outcome == NeverStarted && (e.Why == TextDiffers || e.Why == Invalid)
}

// Owner is the process that serves the caller whose task runs.
type Owner = mesh.ID

// MaxClockDrift is the fraction by which a worker's clock may run slow.
const MaxClockDrift = 0.02
