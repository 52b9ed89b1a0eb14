// Package roster knows which dispatchers there are.
//
// Members tell each other by heartbeats with a few random peers. Silence makes
// a member suspect, nothing more: only a newer incarnation at the same address,
// or the platform's VM list, makes an incarnation gone for good. A suspect
// owner's jobs are "unknown, come back with the same id"; a gone owner's are
// failed.
package roster

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
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
	// Count grows with each heartbeat of the member's own.
	Count uint64 `json:"count"`
	// Tables is the tables version in force there.
	Tables tables.Version `json:"tables"`
	// FreeSlots is how many more tasks it could start now.
	FreeSlots int `json:"free_slots"`
	// Connections is its size: how many tasks it runs at once.
	Connections int `json:"connections,omitempty"`
}

// Beat is a heartbeat, and the answer to one.
type Beat struct {
	From Member   `json:"from"`
	News []Member `json:"news,omitempty"`
}

// Known is a member with what we think of it.
type Known struct {
	Member
	State State     `json:"state"`
	Heard time.Time `json:"heard"`
}

// Roster is the members that this process knows. Its methods may be called
// from any goroutine.
type Roster struct {
	suspectAfter time.Duration

	mu   sync.Mutex
	self Member
	m    map[ticket.Owner]*Known
}

// New makes a roster that knows only this process.
func New(self Member, suspectAfter time.Duration) *Roster {
	return &Roster{suspectAfter: suspectAfter, self: self, m: make(map[ticket.Owner]*Known)}
}

// Beat returns the next heartbeat of this process.
func (r *Roster) Beat(update func(*Member)) Beat {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Count++
	update(&r.self)
	return Beat{From: r.self, News: r.news()}
}

// Answer takes a peer's heartbeat and returns the answer to it.
func (r *Roster) Answer(now time.Time, b Beat) Beat {
	r.Take(now, b)
	r.mu.Lock()
	defer r.mu.Unlock()
	return Beat{From: r.self, News: r.news()}
}

// Take learns from a heartbeat or its answer.
func (r *Roster) Take(now time.Time, b Beat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.learn(now, b.From)
	for _, m := range b.News {
		r.learn(now, m)
	}
}

func (r *Roster) learn(now time.Time, m Member) {
	if m.Owner == r.self.Owner {
		return
	}
	k, ok := r.m[m.Owner]
	if ok && m.Count <= k.Count {
		return
	}
	r.m[m.Owner] = &Known{Member: m, State: Live, Heard: now}
	for o, k := range r.m {
		if k.Address == m.Address && o.Incarnation < m.Owner.Incarnation {
			k.State = Gone
		}
	}
}

// Find returns what is known of an incarnation.
func (r *Roster) Find(now time.Time, o ticket.Owner) (Known, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, ok := r.m[o]
	if !ok {
		return Known{}, false
	}
	return r.judge(now, *k), true
}

// All returns the other members, sorted by name.
func (r *Roster) All(now time.Time) []Known {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Known, 0, len(r.m))
	for _, k := range r.m {
		out = append(out, r.judge(now, *k))
	}
	slices.SortFunc(out, func(a, b Known) int { return a.Address.Compare(b.Address) })
	return out
}

// Self returns this process.
func (r *Roster) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Peers picks up to n random members that are not gone.
func (r *Roster) Peers(n int) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []netip.AddrPort
	for _, k := range r.m {
		if k.State != Gone {
			out = append(out, k.Address)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

func (r *Roster) judge(now time.Time, k Known) Known {
	switch {
	case k.State == Gone:
	case now.Sub(k.Heard) > r.suspectAfter:
		k.State = Suspect
	case k.Leaving:
		k.State = Leaving
	}
	return k
}

func (r *Roster) news() []Member {
	out := make([]Member, 0, len(r.m))
	for _, o := range slices.Collect(maps.Keys(r.m)) {
		if k := r.m[o]; k.State != Gone {
			out = append(out, k.Member)
		}
	}
	return out
}
