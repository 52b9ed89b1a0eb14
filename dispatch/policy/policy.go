// Package policy lists the policies for choosing a backend server for a task.
//
// A policy decides how many tasks this dispatcher may have on a server at once, and which
// of the servers with free slots gets the next task. Each policy has a package of its
// own; the table here assigns its stable number and the name that selects it in the
// settings.
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

// Policy chooses backend servers. It is stateless.
type Policy interface {
	// Limit returns how many of a server's slots this dispatcher may use.
	Limit(server netip.AddrPort, slots int, among pool.Members) int
	// Choose returns one of the servers with free slots; there is at least one.
	Choose(free *pool.FreeServers, r *rand.Rand) *pool.Membership
	// HandsOver reports whether waiting tasks may be handed over to peers.
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

// All returns all entries in the order of their numbers.
func All() []Entry { return append([]Entry(nil), table...) }
