package cell

import (
	"time"

	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// Ask asks the planner for workers, for the tasks of one step of a job that can
// run now. Times are relative to the sending.
type Ask struct {
	Job   string `cbor:"1,keyasint,omitzero"`
	Step  int    `cbor:"2,keyasint,omitzero"`
	Queue string `cbor:"3,keyasint,omitzero"`
	Pool  string `cbor:"4,keyasint,omitzero"`
	// Rank orders queues; 0 goes first.
	Rank  int         `cbor:"5,keyasint,omitzero"`
	Tasks []lease.Run `cbor:"6,keyasint,omitzero"`
	Room  lease.Room  `cbor:"7,keyasint,omitzero"`
	// Estimate is the expected time of one task at ordinary speed.
	Estimate time.Duration `cbor:"8,keyasint,omitzero"`
	// Age is the time since the job arrived, Aim the time left to its
	// objective, Limit the time left until its caller gives up.
	Age   time.Duration `cbor:"9,keyasint,omitzero"`
	Aim   time.Duration `cbor:"10,keyasint,omitzero"`
	Limit time.Duration `cbor:"11,keyasint,omitzero"`
	// Begun tells that tasks of the job have been started: it can't be refused
	// any more.
	Begun bool `cbor:"12,keyasint,omitzero"`
	// Label is a label that the worker must have, Rack where the data is, Apart
	// the most tasks of the step on one worker; empty and 0 ask for nothing.
	Label string `cbor:"13,keyasint,omitzero"`
	Rack  string `cbor:"14,keyasint,omitzero"`
	Apart int    `cbor:"15,keyasint,omitzero"`
	// Avoid are workers that have just turned the tasks down.
	Avoid []string `cbor:"16,keyasint,omitzero"`
}

// Grant gives workers to tasks of a job.
type Grant struct {
	Job   string    `cbor:"1,keyasint,omitzero"`
	Items []Granted `cbor:"2,keyasint,omitzero"`
	// Waited is how long the planner had been asked for them.
	Waited time.Duration `cbor:"3,keyasint,omitzero"`
}

// Granted is a worker for one run, and the process that holds it.
type Granted struct {
	lease.Run
	Worker string  `cbor:"3,keyasint,omitzero"`
	Holder mesh.ID `cbor:"4,keyasint,omitzero"`
	// Fence is the holder's.
	Fence lease.Fence `cbor:"5,keyasint,omitzero"`
	// Estimate is the expected time at ordinary speed there, if it is not that of
	// the Ask: the worker may be far from the data.
	Estimate time.Duration `cbor:"6,keyasint,omitzero"`
}

// Refusal tells that a job gets no workers.
type Refusal struct {
	Job string `cbor:"1,keyasint,omitzero"`
	// Why is a word for the logs.
	Why string `cbor:"2,keyasint,omitzero"`
	// After is when it may be worth coming back.
	After time.Duration `cbor:"3,keyasint,omitzero"`
	// Waited is how long the planner had been asked.
	Waited time.Duration `cbor:"4,keyasint,omitzero"`
}

// Withdrawal takes back what was asked for a job, and grants that won't be used.
type Withdrawal struct {
	Job  string      `cbor:"1,keyasint,omitzero"`
	Runs []lease.Run `cbor:"2,keyasint,omitzero"`
}

// Duty tells a member to hold a worker.
type Duty struct {
	Worker lease.Worker `cbor:"1,keyasint,omitzero"`
	// Floor is the highest fence known of the worker, Speed what its former
	// holder had learned. Without it, each takeover would let slow workers pass
	// for ordinary ones until some tasks have been late there.
	Floor lease.Fence `cbor:"2,keyasint,omitzero"`
	Speed lease.Speed `cbor:"3,keyasint,omitzero"`
}

// Relief tells a member to pass a worker on.
type Relief struct {
	Worker string `cbor:"1,keyasint,omitzero"`
}

// Drain tells a holder that a worker takes no new tasks.
type Drain struct {
	Worker string `cbor:"1,keyasint,omitzero"`
}

// Listing is what the platform lists, passed on by the member that reads it.
type Listing struct {
	// Whole tells that these are all workers; else they are changes.
	Whole   bool     `cbor:"1,keyasint,omitzero"`
	Listed  []Listed `cbor:"2,keyasint,omitzero"`
	Dropped []string `cbor:"3,keyasint,omitzero"`
	// Copy tells that it is what a planner has or had, for whoever plans next.
	Copy bool `cbor:"4,keyasint,omitzero"`
}

// Report is what a holder tells of its workers.
type Report struct {
	// Whole tells that these are all that it holds.
	Whole  bool          `cbor:"1,keyasint,omitzero"`
	States []lease.State `cbor:"2,keyasint,omitzero"`
}
