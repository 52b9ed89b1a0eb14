// Package roster keeps track of the dispatchers of the system.
//
// Members exchange heartbeats with a few random peers. Each heartbeat carries a bounded
// number of other members' states, so the cost for a process does not grow with the
// number of members. A member that does not answer becomes suspect, nothing more. Only
// two things make an incarnation gone for good: another process answers at its address,
// or its VM is missing from the platform's VM list and nothing is heard of it. The jobs
// of a suspect owner are "unknown", and their callers may retry with the same id; those
// of a gone owner are failed.
//
// Limits: a few thousand members; each keeps all others in memory. There is no consensus:
// the views of the members differ for some seconds, and their users must tolerate that.
package roster

import (
	"net/netip"
	"time"

	"snipehub.example/tables"
	"snipehub.example/ticket"
)

// State is what is known of a member's condition.
type State string

// The states of a member.
const (
	Live    State = "live"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// Member is one dispatcher incarnation as its peers know it.
type Member struct {
	Owner   ticket.Owner   `json:"owner"`
	Address netip.AddrPort `json:"address"`
	Leaving bool           `json:"leaving,omitempty"`
	// Count increases with each heartbeat and each answer that the member sends.
	Count uint64 `json:"count"`
	// Tables is the version of the tables in force at the member.
	Tables tables.Version `json:"tables"`
	// Confirmed is set if the member knows from a confirmation that the version was the
	// newest on the log; Age is the age of that confirmation when the heartbeat was sent.
	// Both are known only of members that were heard directly.
	Confirmed bool          `json:"confirmed,omitempty"`
	Age       time.Duration `json:"age,omitempty"`
	// FreeSlots is how many more tasks the member could start now.
	FreeSlots int `json:"free_slots"`
	// Connections is the member's size: how many tasks it runs at once.
	Connections int `json:"connections,omitempty"`
}

// Known is a member and its state as this process knows them.
type Known struct {
	Member
	State State `json:"state"`
	// LastHeard is when a heartbeat last reported the member as live with a higher Count, or,
	// for a gone member, when it became gone.
	LastHeard time.Time `json:"heard"`
}

// News is the state of another member as the sender of a heartbeat knows it: live,
// suspect or gone.
type News struct {
	Member
	State State
}

// Heartbeat is the message that members exchange: a heartbeat, or the answer to one.
type Heartbeat struct {
	From Member
	// Join asks for many members at once, because the sender is new.
	Join bool
	// Size is how many other members that are not gone the sender knows.
	Size int
	News []News
}

// Change is a change of a member's state, for the log and for code that waits for it.
type Change struct {
	Known
	// Full is set if the member could not be added because the roster is full.
	Full bool
	// Disowned is set if other members hold this process to be gone.
	Disowned bool
}
