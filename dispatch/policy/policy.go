// Package policy lists the ways to choose a backend server for a task.
//
// A policy decides two things: how many tasks this dispatcher may have on a
// server at once, and which of the servers with room gets the next task. Each
// policy has a folder of its own; the table here gives its stable number and
// the name by which the settings choose it.
package policy

import (
	"math/rand/v2"
	"net/netip"

	"snipehub.example/dispatch/policy/hand"
	"snipehub.example/dispatch/policy/random"
	"snipehub.example/dispatch/policy/share"
	"snipehub.example/dispatch/policy/two"
	"snipehub.example/dispatch/pool"
)

// Policy chooses backend servers. It keeps no state of its own.
type Policy interface {
	// Limit returns how many of a server's slots this dispatcher may use.
	Limit(server netip.AddrPort, slots int, among pool.Members) int
	// Choose returns one of the servers with room; there is at least one.
	Choose(free *pool.FreeServers, r *rand.Rand) *pool.Membership
	// HandsOver tells whether waiting tasks may be handed to peers.
	HandsOver() bool
}

// Entry describes one policy to operators.
type Entry struct {
	Number int
	Name   string
	Title  string
	Since  string
	Policy Policy
}

var table = []Entry{
	{1, "random", "any server that has a slot by this dispatcher's own count", "0.1", random.Policy{}},
	{2, "two", "the better of two random servers, by own counts", "0.1", two.Policy{}},
	{3, "share", "slots divided over the data centre's dispatchers, fastest first", "0.1", share.Policy{}},
	{4, "hand", "as share, and waiting tasks are handed to peers with room", "0.1", hand.Policy{}},
}

// Find returns the entry with the given name.
func Find(name string) (Entry, bool) {
	for _, e := range table {
		if e.Name == name {
			return e, true
		}
	}
	return Entry{}, false
}

// Names returns the names of all policies.
func Names() []string {
	out := make([]string, len(table))
	for i, e := range table {
		out[i] = e.Name
	}
	return out
}

// All returns the whole table, in the order of the numbers.
func All() []Entry { return append([]Entry(nil), table...) }
