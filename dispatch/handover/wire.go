// Package handover transfers waiting tasks from the dispatcher that owns them to a peer
// with free slots, and their outcomes back.
//
// A request carries a batch of tasks, and its answer is delayed until there are results
// worth a message. The owner repeats the request, with the number of results that it has,
// until it has all. If a request or its answer is lost, the owner repeats it to the same
// incarnation. The receiver starts each batch once: it keeps the open batches, and every
// number below the owner's lowest open batch is over, so a late copy of a request starts
// nothing. A task is "not run" only if the receiver says so, or if no request can have
// reached it. If the receiver's incarnation is gone or the tasks' time is over, tasks
// without a result are unknown.
package handover

import (
	"time"

	"snipehub.example/delivery"
	"snipehub.example/ticket"
)

// Request is a call from an owner to a peer.
type Request struct {
	From ticket.Owner `json:"from"`
	// To is the incarnation for which the request is meant. Another one at the same address
	// does not know the batch and must not start it.
	To    ticket.Owner `json:"to"`
	Batch uint64       `json:"batch"`
	// LowestOpen is the number of the owner's lowest open batch for this peer.
	LowestOpen uint64 `json:"low"`
	// Received is the number of results that the owner has.
	Received int `json:"got"`
	// Tasks is the batch. It is left out once the owner has received a result.
	Tasks []Task `json:"tasks,omitempty"`
}

// Task is one attempt that a peer is to make.
type Task struct {
	// ID identifies the attempt to the backend server.
	ID     string `json:"id"`
	Job    string `json:"job"`
	Kind   string `json:"kind"`
	Caller string `json:"caller"`
	Team   string `json:"team,omitempty"`
	Type   string `json:"type,omitempty"`
	Body   []byte `json:"body"`
	// TimeLeft is the time until the job's deadline. It is a duration rather than a point
	// in time because the clocks of two VMs differ.
	TimeLeft time.Duration `json:"left"`
}

// State is the state of a request's batch at the peer.
type State string

// The states.
const (
	// Open means that Results belong to the batch.
	Open State = "open"
	// OtherIncarnation means that the request was meant for another incarnation.
	OtherIncarnation State = "other"
	// Forgotten means that the peer no longer keeps the batch.
	Forgotten State = "over"
)

// Response is the answer to a Request.
type Response struct {
	State State `json:"state"`
	// Results are the results after those that the owner has.
	Results []Result `json:"results,omitempty"`
	// Free is how many more tasks could start on the peer now.
	Free int `json:"free"`
}

// Result is the outcome of one task.
type Result struct {
	// Task is the task's index in the batch.
	Task   int            `json:"task"`
	Kind   delivery.Kind  `json:"kind"`
	Cause  delivery.Cause `json:"cause,omitempty"`
	Status int            `json:"status,omitempty"`
	Type   string         `json:"type,omitempty"`
	Body   []byte         `json:"body,omitempty"`
	Reason string         `json:"reason,omitempty"`
}

func (r Result) outcome() delivery.Outcome {
	return delivery.Outcome{Kind: r.Kind, Cause: r.Cause, Status: r.Status, Type: r.Type, Body: r.Body, Reason: r.Reason}
}
