package entry

import (
	"time"

	"snipehub.example/cell"
	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// Start asks a holder to start tasks of one step of a job.
type Start struct {
	Spec     string        `json:"spec"`
	Room     lease.Room    `json:"room"`
	Estimate time.Duration `json:"estimate"`
	Runs     []Placed      `json:"runs"`
}

// Placed is a run and its worker.
type Placed struct {
	lease.Run
	Worker string `json:"worker"`
	// Estimate is set if it is not that of the step.
	Estimate time.Duration `json:"estimate,omitempty"`
}

// Stop asks a holder to stop runs.
type Stop struct {
	Runs []Placed `json:"runs"`
}

// Claim tells the holder of a worker which runs there belong to the sender.
type Claim struct {
	Worker string    `json:"worker"`
	Runs   []Claimed `json:"runs"`
}

// Claimed is a run with what its new holder must know of it.
type Claimed struct {
	lease.Run
	Room     lease.Room    `json:"room"`
	Estimate time.Duration `json:"estimate"`
	// Fence is that of the holder under which the run was placed.
	Fence lease.Fence `json:"fence"`
}

// Ended tells the owner of runs how they ended.
type Ended struct {
	Worker string    `json:"worker"`
	End    lease.End `json:"end"`
}

// Held tells that a process holds a worker from now on.
type Held struct {
	Worker string      `json:"worker"`
	Fence  lease.Fence `json:"fence"`
}

// Unheld tells that a process does not hold a worker at which the receiver has
// runs.
type Unheld struct {
	Worker string `json:"worker"`
}

// Action is what a book asks its shell to do. One of the pointers is set.
type Action struct {
	// To is who a message goes to; the planner in force for Ask and Withdraw.
	To       mesh.ID
	Ask      *cell.Ask
	Withdraw *cell.Withdrawal
	Start    *Start
	Stop     *Stop
	Claim    *Claim
	Answer   *Answered
}

// Answered is the final answer for one caller that waits.
type Answered struct {
	Waiter Waiter
	Answer Answer
}

// Waiter numbers the callers that wait.
type Waiter uint64
