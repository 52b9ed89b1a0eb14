package cell

import (
	"time"

	"snipehub.example/lease"
	"snipehub.example/mesh"
)

// Request is a request of an entry process for workers, for the tasks of one step of a job
// that can run now. Its times are relative to when it was sent.
type Request struct {
	Job   string `cbor:"1,keyasint,omitzero"`
	Step  int    `cbor:"2,keyasint,omitzero"`
	Queue string `cbor:"3,keyasint,omitzero"`
	Pool  string `cbor:"4,keyasint,omitzero"`
	// Rank is the rank of the queue; 0 goes first.
	Rank      int             `cbor:"5,keyasint,omitzero"`
	Tasks     []lease.Run     `cbor:"6,keyasint,omitzero"`
	Resources lease.Resources `cbor:"7,keyasint,omitzero"`
	// Estimate is the expected time of one task on a worker of average speed.
	Estimate time.Duration `cbor:"8,keyasint,omitzero"`
	// Age is the time since the job arrived, Objective the time left to its
	// objective, Timeout the time left to its deadline, when its caller gives up.
	Age       time.Duration `cbor:"9,keyasint,omitzero"`
	Objective time.Duration `cbor:"10,keyasint,omitzero"`
	Timeout   time.Duration `cbor:"11,keyasint,omitzero"`
	// Begun is set if tasks of the job have been started, so that it can't be refused any
	// more.
	Begun bool `cbor:"12,keyasint,omitzero"`
	// Label is the kind or the rack that the worker must have, Rack the rack that holds
	// the data, MaxPerWorker the maximum number of tasks of the step on one worker.
	// Empty and 0 mean no requirement.
	Label        string `cbor:"13,keyasint,omitzero"`
	Rack         string `cbor:"14,keyasint,omitzero"`
	MaxPerWorker int    `cbor:"15,keyasint,omitzero"`
	// Avoid lists workers that have just refused the tasks.
	Avoid []string `cbor:"16,keyasint,omitzero"`
	// Share is the share of its queue's jobs of which the job was one when it was admitted;
	// 0 means all.
	Share float64 `cbor:"17,keyasint,omitzero"`
}

// Grant assigns workers to tasks of a job.
type Grant struct {
	Job   string       `cbor:"1,keyasint,omitzero"`
	Items []GrantedRun `cbor:"2,keyasint,omitzero"`
	// Waited is the time since the planner last received the request.
	Waited time.Duration `cbor:"3,keyasint,omitzero"`
}

// GrantedRun is the worker for one run, and the process that holds it.
type GrantedRun struct {
	lease.Run
	Worker string  `cbor:"3,keyasint,omitzero"`
	Holder mesh.ID `cbor:"4,keyasint,omitzero"`
	// Fence is the holder's fence.
	Fence lease.Fence `cbor:"5,keyasint,omitzero"`
	// Estimate is the expected time on a worker of average speed, if it differs from that
	// of the Request because the worker is not on the rack that holds the data.
	Estimate time.Duration `cbor:"6,keyasint,omitzero"`
	// Incarnation is the only incarnation of the worker that may run it, because the worker
	// was chosen by its description; 0 if any may.
	Incarnation int64 `cbor:"7,keyasint,omitzero"`
}

// Refusal refuses workers to a job.
type Refusal struct {
	Job string `cbor:"1,keyasint,omitzero"`
	// Reason is one of a few fixed words for the logs.
	Reason string `cbor:"2,keyasint,omitzero"`
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration `cbor:"3,keyasint,omitzero"`
	// Waited is the time since the planner last received the request.
	Waited time.Duration `cbor:"4,keyasint,omitzero"`
	// Planner is the planner of the cell that was asked, with ReasonNotPlanner.
	Planner mesh.ID `cbor:"5,keyasint,omitzero"`
}

// ReasonNotPlanner is the reason of a refusal by a process that does not plan, to a request
// from another cell. The planner of that cell has not seen the request.
const ReasonNotPlanner = "not_planner"

// ReasonCancelled is the reason of a refusal because a caller has cancelled the job.
const ReasonCancelled = "cancelled"

// Withdrawal withdraws the pending requests of a job or, if it names runs, the grants of
// these.
type Withdrawal struct {
	Job  string      `cbor:"1,keyasint,omitzero"`
	Runs []lease.Run `cbor:"2,keyasint,omitzero"`
	// Workers are the workers granted to the runs, in the same order: a run may have been
	// granted another worker as well, which is used. Processes of earlier releases don't set
	// it.
	Workers []string `cbor:"3,keyasint,omitzero"`
}

// Assignment assigns a worker to a member, which is to hold it.
type Assignment struct {
	Worker lease.Worker `cbor:"1,keyasint,omitzero"`
	// MinFence is the highest known fence of the worker, Speed what its former holder had
	// learned. Without Speed, a slow worker would count as average after each change of
	// the holder, until some tasks have been late there.
	MinFence lease.Fence `cbor:"2,keyasint,omitzero"`
	Speed    lease.Speed `cbor:"3,keyasint,omitzero"`
	// Draining is set if the worker accepts no new tasks; its runs need a holder.
	Draining bool `cbor:"4,keyasint,omitzero"`
}

// Release asks a member to release a worker.
type Release struct {
	Worker string `cbor:"1,keyasint,omitzero"`
}

// Drain tells a holder that an incarnation of a worker accepts no new tasks; 0 stands for the
// one that runs.
type Drain struct {
	Worker      string `cbor:"1,keyasint,omitzero"`
	Incarnation int64  `cbor:"2,keyasint,omitzero"`
}

// Description tells a holder what the newest known incarnation of a worker is like.
type Description struct {
	Worker lease.Worker `cbor:"1,keyasint,omitzero"`
}

// WorkerList is the platform's worker list, or changes of it, forwarded by the member that
// reads it.
type WorkerList struct {
	// Full is set if Workers is all workers; otherwise Workers and Removed are the workers
	// that were added or changed, and removed.
	Full    bool           `cbor:"1,keyasint,omitzero"`
	Workers []ListedWorker `cbor:"2,keyasint,omitzero"`
	Removed []string       `cbor:"3,keyasint,omitzero"`
	// FromPlanner is set for a planner's copy of the list, which is sent to a deputy or to
	// the next planner; otherwise the list was read from the platform.
	FromPlanner bool `cbor:"4,keyasint,omitzero"`
	// Age is the time since the read began: the list reflects the platform's as of then or
	// later.
	Age time.Duration `cbor:"5,keyasint,omitzero"`
	// Serial is the number of the planner's request for reads that this update answers.
	Serial uint64 `cbor:"6,keyasint,omitzero"`
}

// Report is the state of a process's workers and, from time to time, of its jobs.
type Report struct {
	// Full is set if States covers all workers that the sender holds.
	Full   bool          `cbor:"1,keyasint,omitzero"`
	States []lease.State `cbor:"2,keyasint,omitzero"`
	// AllJobs is set if Jobs is all jobs of the sender that have no answer yet. Processes of
	// earlier releases don't set it.
	AllJobs bool       `cbor:"3,keyasint,omitzero"`
	Jobs    []OwnedJob `cbor:"4,keyasint,omitzero"`
}

// OwnedJob is a job of the sender, and the time left to its deadline.
type OwnedJob struct {
	Job     string        `cbor:"1,keyasint,omitzero"`
	Timeout time.Duration `cbor:"2,keyasint,omitzero"`
}
