// Package roster knows which dispatchers there are.
//
// Members tell each other by heartbeats with a few random peers, each of which
// carries a bounded number of news about others; so the cost of a node does not
// grow with their number. A member that does not answer becomes suspect,
// nothing more. Only two things make an incarnation gone for good: another
// process answers at its address, or the platform's VM list no longer has its
// VM and nobody hears it. A suspect owner's jobs are "unknown, come back with
// the same id"; a gone owner's are failed.
//
// Limits: a few thousand members; each keeps all others in memory. Nothing here
// is agreed upon: views differ for some seconds, and whoever uses them must
// bear that.
package roster

import (
	"net/netip"
	"time"

	"snipehub.example/tables"
	"snipehub.example/ticket"
)

// State is how sure we are of a member.
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
	// Count grows with each heartbeat and answer of the member's own.
	Count uint64 `json:"count"`
	// Tables is the tables version in force there.
	Tables tables.Version `json:"tables"`
	// Confirmed tells that the version was confirmed to be the newest on the
	// log, and Age how long ago, as of the sending of the heartbeat. Both are
	// known only of members that were heard directly.
	Confirmed bool          `json:"confirmed,omitempty"`
	Age       time.Duration `json:"age,omitempty"`
	// FreeSlots is how many more tasks it could start now.
	FreeSlots int `json:"free_slots"`
	// Connections is its size: how many tasks it runs at once.
	Connections int `json:"connections,omitempty"`
}

// Known is a member with what we think of it.
type Known struct {
	Member
	State State     `json:"state"`
	Heard time.Time `json:"heard"`
}

// News is what a member thinks of another one: live, suspect or gone.
type News struct {
	Member
	State State
}

// Beat is a heartbeat, and the answer to one.
type Beat struct {
	From Member
	// Join asks for many members at once, because the sender is new.
	Join bool
	// Size is how many other members the sender knows that are not gone.
	Size int
	News []News
}

// Change tells what became of a member, for the log and for those who wait on
// it.
type Change struct {
	Known
	// Full tells that the member could not be remembered.
	Full bool
	// Self tells that others hold this process itself to be gone.
	Self bool
}
