package entry

import (
	"time"

	"snipehub.example/cell"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// Start asks a holder to start tasks of one step of a job.
type Start struct {
	Spec      WireText        `cbor:"1,keyasint,omitzero"`
	Resources lease.Resources `cbor:"2,keyasint,omitzero"`
	Estimate  time.Duration   `cbor:"3,keyasint,omitzero"`
	Runs      []PlacedRun     `cbor:"4,keyasint,omitzero"`
	// Sum is the checksum of the job's text.
	Sum lease.Sum `cbor:"5,keyasint,omitzero"`
	// MaxPerWorker is the maximum number of tasks of the step on one worker; 0 means no
	// maximum. Processes of earlier releases don't set it.
	MaxPerWorker int `cbor:"6,keyasint,omitzero"`
}

// PlacedRun is a run and its worker.
type PlacedRun struct {
	lease.Run
	Worker string `cbor:"3,keyasint,omitzero"`
	// Estimate is set if it differs from the step's.
	Estimate time.Duration `cbor:"4,keyasint,omitzero"`
	// Fence is, in a Start, the fence of the holding for which the run was granted.
	Fence lease.Fence `cbor:"5,keyasint,omitzero"`
	// Incarnation is, in a Start, the only incarnation of the worker that may run it; 0 if
	// any may.
	Incarnation int64 `cbor:"6,keyasint,omitzero"`
}

// Stop asks a holder to stop runs.
type Stop struct {
	Runs []PlacedRun `cbor:"1,keyasint,omitzero"`
}

// Claim tells the holder of a worker which runs there belong to the sender.
type Claim struct {
	Worker string       `cbor:"1,keyasint,omitzero"`
	Runs   []ClaimedRun `cbor:"2,keyasint,omitzero"`
}

// ClaimedRun is a run with what its new holder must know of it.
type ClaimedRun struct {
	lease.Run
	Resources lease.Resources `cbor:"3,keyasint,omitzero"`
	Estimate  time.Duration   `cbor:"4,keyasint,omitzero"`
	// Fence is that of the holder under which the run was placed.
	Fence lease.Fence `cbor:"5,keyasint,omitzero"`
}

// Ended reports the end of a run to its owner.
type Ended struct {
	Worker string    `cbor:"1,keyasint,omitzero"`
	End    lease.End `cbor:"2,keyasint,omitzero"`
}

// Held announces that a process holds a worker from now on.
type Held struct {
	Worker string      `cbor:"1,keyasint,omitzero"`
	Fence  lease.Fence `cbor:"2,keyasint,omitzero"`
}

// Unheld reports that a process does not hold a worker on which the receiver has runs.
type Unheld struct {
	Worker string `cbor:"1,keyasint,omitzero"`
}

// Action is what Jobs asks its driver to do. One of the pointers is set.
type Action struct {
	// To is the destination of a message; zero means this cell's planner, for Request and
	// Withdraw.
	To       mesh.ID
	Request  *cell.Request
	Withdraw *cell.Withdrawal
	Start    *Start
	Stop     *Stop
	Claim    *Claim
	Answer   *CallerAnswer
}

// CallerAnswer is the final answer to one waiting caller.
type CallerAnswer struct {
	Waiter Waiter
	Answer Answer
}

// Waiter identifies a waiting caller.
type Waiter uint64
