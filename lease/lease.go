// Package lease holds workers: for each one, the state of the one process that
// may start and stop tasks there.
//
// A worker kills everything that it runs when the lease that its holder renews
// runs out, and refuses orders with a lower fencing token than it has seen. From
// these two follows that a holder which froze, died or was cut off can't keep a
// task running, and can't start one after another holder has taken over.
//
// A Book is the state for one worker, as a pure value: events and times go in,
// actions come out. It has no goroutine, socket or clock. What it guarantees:
//
//   - a run that it reports as not started, ended or lost does not run and will
//     not run, whatever happens to orders that are still on the way;
//   - it never has more tasks on a worker, counting those that are being stopped
//     and those whose start was not answered, than the worker has room for.
//
// Limits: times of the worker are read off its answers; its clock may be slow by
// Drift. A holder that can't reach the worker knows the end of its runs only
// when the lease has run out.
package lease

import (
	"net/netip"
	"time"

	"snipehub.example/mesh"
)

// Worker is one life of a backend server that runs tasks under leases.
type Worker struct {
	// ID names this life; a worker that starts again at its address usually has
	// a new one.
	ID         string         `json:"id"`
	Address    netip.AddrPort `json:"address"`
	DataCenter string         `json:"dc"`
	Pool       string         `json:"pool"`
	// Kind and Rack are its labels.
	Kind string `json:"kind,omitempty"`
	Rack string `json:"rack,omitempty"`
	Room Room   `json:"room"`
}

// Room is what tasks take of a worker: thousandths of a core, megabytes,
// accelerators.
type Room struct {
	CPU    int `json:"cpu,omitempty"`
	Memory int `json:"mem,omitempty"`
	GPU    int `json:"gpu,omitempty"`
}

// Plus returns the sum.
func (r Room) Plus(o Room) Room { return Room{r.CPU + o.CPU, r.Memory + o.Memory, r.GPU + o.GPU} }

// Minus returns the difference.
func (r Room) Minus(o Room) Room { return Room{r.CPU - o.CPU, r.Memory - o.Memory, r.GPU - o.GPU} }

// Fits tells whether r fits into o.
func (r Room) Fits(o Room) bool { return r.CPU <= o.CPU && r.Memory <= o.Memory && r.GPU <= o.GPU }

// Fence is a fencing token: higher for each holder of a worker than for the one
// before, and never the same for two.
type Fence uint64

// fenceBits is how many low bits of a fence tell holders apart; the bits above
// count. Two processes have the same low bits if 2^20 others have started in
// between.
const fenceBits = 20

// NewFence makes the first fence of a holder whose number is n.
func NewFence(n uint64) Fence { return Fence(n<<fenceBits | n&(1<<fenceBits-1)) }

// Next returns a higher fence of the same holder, higher by steps counts.
func (f Fence) Next(steps uint64) Fence { return f + Fence(steps<<fenceBits) }

// Above returns the lowest fence of this holder that is higher than o.
func (f Fence) Above(o Fence) Fence {
	if f > o {
		return f
	}
	return f.Next(uint64(o-f)>>fenceBits + 1)
}

// Run is one run of a task.
type Run struct {
	Task string `json:"task"`
	// Number counts the runs of the task from 1.
	Number int `json:"n"`
}

// Order asks for one run.
type Order struct {
	Run
	Spec string
	Room Room
	// Estimate is the expected time at ordinary speed.
	Estimate time.Duration
}

// How tells how a run ended.
type How int

// The ways in which a run ends.
const (
	// Done: it has done its work.
	Done How = iota + 1
	// Failed: by its own fault or the worker's.
	Failed
	// Stopped: by order.
	Stopped
	// Lapsed: the lease ran out.
	Lapsed
	// Never: it was not started and will not be.
	Never
	// Lost: it does not run any more, and it is not known how it ended.
	Lost
)

var howNames = map[How]string{Done: "done", Failed: "failed", Stopped: "stopped", Lapsed: "lapsed", Never: "never", Lost: "lost"}

// String names the way.
func (h How) String() string { return howNames[h] }

// Reason tells why a run was not started.
type Reason string

// The reasons.
const (
	NoRoom     Reason = "room"
	NotHeld    Reason = "not_held"
	Unsound    Reason = "unsound"
	Unhealthy  Reason = "unhealthy"
	Late       Reason = "late"
	Old        Reason = "old"
	Fenced     Reason = "fenced"
	Unanswered Reason = "unanswered"
	Invalid    Reason = "invalid"
)

// End is the end of a run.
type End struct {
	Run
	How How `json:"how"`
	// Why is set with Never.
	Why Reason `json:"why,omitempty"`
	// Took is how long it ran, as the holder saw it; 0 if it isn't known.
	Took time.Duration `json:"took,omitempty"`
}

// Owner is the process that serves the caller whose task runs.
type Owner = mesh.ID

// Drift is by how much a worker's clock may be slow.
const Drift = 0.02
