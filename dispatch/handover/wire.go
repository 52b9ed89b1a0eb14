// Package handover carries waiting tasks from the dispatcher that owns them to
// a peer with room, and their outcomes back.
//
// One ask carries a batch of tasks; its answer waits until there is something
// worth a message. The owner asks again, with the number of results that it
// has, until it has all. An ask that is lost, or whose answer is lost, is
// repeated to the same incarnation, and the receiver starts each batch once: it
// remembers the open ones, and every number below the owner's lowest open batch
// is over, so that a late copy of an ask starts nothing. Only the receiver's own
// word makes a task "not run"; when its incarnation is gone, or the tasks' time
// is over, what has no result is unknown.
package handover

import (
	"time"

	"snipehub.example/delivery"
	"snipehub.example/ticket"
)

// Ask is a call from an owner to a peer.
type Ask struct {
	From ticket.Owner `json:"from"`
	// To is the incarnation that is meant. Another one at the same address
	// knows nothing of the batch, and must not start it.
	To    ticket.Owner `json:"to"`
	Batch uint64       `json:"batch"`
	// LowestOpen is the lowest number of a batch for this peer that is still open.
	LowestOpen uint64 `json:"low"`
	// Received is how many results the owner has.
	Received int `json:"got"`
	// Tasks is the batch. It is left out once an answer has come.
	Tasks []Task `json:"tasks,omitempty"`
}

// Task is one attempt that a peer is to make.
type Task struct {
	// ID names the attempt towards the backend server.
	ID     string `json:"id"`
	Job    string `json:"job"`
	Kind   string `json:"kind"`
	Caller string `json:"caller"`
	Team   string `json:"team,omitempty"`
	Type   string `json:"type,omitempty"`
	Body   []byte `json:"body"`
	// TimeLeft is the time until the job's deadline. A length of time and not a
	// moment, because the clocks of two VMs differ.
	TimeLeft time.Duration `json:"left"`
}

// State says how a peer takes an ask.
type State string

// The states.
const (
	// Open means that the results are those of the batch.
	Open State = "open"
	// OtherIncarnation means that another incarnation was meant.
	OtherIncarnation State = "other"
	// Forgotten means that the batch is not remembered any more.
	Forgotten State = "over"
)

// Answer is the answer to an Ask.
type Answer struct {
	State State `json:"state"`
	// Results are those after the ones that the owner has.
	Results []Result `json:"results,omitempty"`
	// Free is how many more tasks could start now.
	Free int `json:"free"`
}

// Result is the outcome of one task.
type Result struct {
	// Task is its place in the batch.
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
