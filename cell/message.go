package cell

import (
	"time"

	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// Ask asks the planner for workers, for the tasks of one step of a job that can
// run now. Times are relative to the sending.
type Ask struct {
	Job   string `json:"job"`
	Step  int    `json:"step,omitempty"`
	Queue string `json:"queue"`
	Pool  string `json:"pool"`
	// Rank orders queues; 0 goes first.
	Rank  int         `json:"rank"`
	Tasks []lease.Run `json:"tasks"`
	Room  lease.Room  `json:"room"`
	// Estimate is the expected time of one task at ordinary speed.
	Estimate time.Duration `json:"estimate"`
	// Age is the time since the job arrived, Aim the time left to its
	// objective, Limit the time left until its caller gives up.
	Age   time.Duration `json:"age"`
	Aim   time.Duration `json:"aim"`
	Limit time.Duration `json:"limit"`
	// Begun tells that tasks of the job have been started: it can't be refused
	// any more.
	Begun bool `json:"begun,omitempty"`
	// Label is a label that the worker must have, Rack where the data is, Apart
	// the most tasks of the step on one worker; empty and 0 ask for nothing.
	Label string `json:"label,omitempty"`
	Rack  string `json:"rack,omitempty"`
	Apart int    `json:"apart,omitempty"`
	// Avoid are workers that have just turned the tasks down.
	Avoid []string `json:"avoid,omitempty"`
}

// Grant gives workers to tasks of a job.
type Grant struct {
	Job   string    `json:"job"`
	Items []Granted `json:"items"`
}

// Granted is a worker for one run, and the process that holds it.
type Granted struct {
	lease.Run
	Worker string  `json:"worker"`
	Holder mesh.ID `json:"holder"`
	// Fence is the holder's.
	Fence lease.Fence `json:"fence"`
	// Estimate is the expected time at ordinary speed there, if it is not that of
	// the Ask: the worker may be far from the data.
	Estimate time.Duration `json:"estimate,omitempty"`
}

// Refusal tells that a job gets no workers.
type Refusal struct {
	Job string `json:"job"`
	// Why is a word for the logs.
	Why string `json:"why"`
	// After is when it may be worth coming back.
	After time.Duration `json:"after"`
}

// Withdrawal takes back what was asked for a job, and grants that won't be used.
type Withdrawal struct {
	Job  string      `json:"job"`
	Runs []lease.Run `json:"runs,omitempty"`
}

// Duty tells a member to hold a worker.
type Duty struct {
	Worker lease.Worker `json:"worker"`
	// Floor is the highest fence known of the worker, Speed what its former
	// holder had learned. Without it, each takeover would let slow workers pass
	// for ordinary ones until some tasks have been late there.
	Floor lease.Fence `json:"floor"`
	Speed lease.Speed `json:"speed"`
}

// Relief tells a member to pass a worker on.
type Relief struct {
	Worker string `json:"worker"`
}

// Drain tells a holder that a worker takes no new tasks.
type Drain struct {
	Worker string `json:"worker"`
}

// Listing is what the platform lists, passed on by the member that reads it.
type Listing struct {
	// Whole tells that these are all workers; else they are changes.
	Whole   bool     `json:"whole,omitempty"`
	Listed  []Listed `json:"listed,omitempty"`
	Dropped []string `json:"dropped,omitempty"`
}

// Report is what a holder tells of its workers.
type Report struct {
	// Whole tells that these are all that it holds.
	Whole  bool          `json:"whole,omitempty"`
	States []lease.State `json:"states"`
}
