package roster

import (
	"net/netip"
	"time"

	"snipehub.example/ticket"
)

const (
	// joinAnswerMembers is how many members are in the answer to a new process.
	joinAnswerMembers = 1024
	// A new process asks for such answers until one of them names fewer than joinMinNew
	// members that it did not know: if hundreds start at once, the first ones asked know
	// few members themselves. It asks at least minJoinRequests and at most
	// maxJoinRequests times.
	joinMinNew      = 4
	minJoinRequests = 3
	maxJoinRequests = 32
	// catchUpInterval is the shortest time between two requests for many members by a
	// process that knows fewer than a peer. With the few members of ordinary heartbeats
	// alone, it would be left to chance when the last members of a large burst are
	// learned.
	catchUpInterval = 10 * time.Second
	// exploreInterval is the number of heartbeats after which one goes to an address of
	// no known member, so that two groups that forgot each other during a long partition
	// find each other again.
	exploreInterval = 16
	// searchTargets is how many addresses a process tries at once while it knows no other
	// member.
	searchTargets = 4
	// maxPickTries bounds the attempts to find a suitable random member.
	maxPickTries = 16
)

// Beat returns the next heartbeat of this process. The caller fills in self, except for
// owner, address and count.
func (b *MemberTable) Beat(self Member) Beat {
	join := b.joining || b.behind
	b.behind = false
	return Beat{From: b.nextSelf(self), Join: join, Size: len(b.active), News: b.news(b.cfg.News)}
}

// Answer returns the answer to a heartbeat, which must have been passed to Received
// before.
func (b *MemberTable) Answer(self Member, to Beat) Beat {
	out := Beat{From: b.nextSelf(self), Size: len(b.active), News: b.news(b.cfg.News)}
	if to.Join {
		out.News = b.addRandom(out.News, joinAnswerMembers)
	}
	// A running process that is held to be gone must learn of it: others answer its jobs
	// as failed.
	if e, ok := b.byOwner[to.From.Owner]; ok && e.State == Gone {
		out.News = append(out.News, News{e.Member, Gone})
	}
	return out
}

// nextSelf returns the state that this process advertises next, and stores it.
func (b *MemberTable) nextSelf(self Member) Member {
	self.Owner, self.Address, self.Count = b.self.Owner, b.self.Address, b.self.Count+1
	b.self = self
	return self
}

// Self returns this process as it was last advertised.
func (b *MemberTable) Self() Member { return b.self }

// news returns up to n members: first those in the news queue, for up to three quarters
// of n, then random ones, so that free slots and versions stay up to date everywhere.
func (b *MemberTable) news(n int) []News {
	out := make([]News, 0, n+1)
	remaining := len(b.newsQueue)
	for len(out) < n-n/4 && remaining > 0 {
		remaining--
		e := b.newsQueue[0]
		b.newsQueue = b.newsQueue[1:]
		if e.newsLeft == 0 {
			e.inNewsQueue = false
			continue
		}
		e.newsLeft--
		b.newsQueue = append(b.newsQueue, e)
		out = append(out, News{e.Member, e.State})
	}
	return b.addRandom(out, n)
}

// addRandom adds random members until there are n.
func (b *MemberTable) addRandom(out []News, n int) []News {
	included := make(map[ticket.Owner]struct{}, n)
	for _, o := range out {
		included[o.Owner] = struct{}{}
	}
	start := 0
	if len(b.active) > 0 {
		start = b.rnd.IntN(len(b.active))
	}
	for i := 0; i < len(b.active) && len(out) < n; i++ {
		e := b.active[(start+i)%len(b.active)]
		if _, ok := included[e.Owner]; !ok {
			out = append(out, News{e.Member, e.State})
		}
	}
	return out
}

// Targets returns up to n addresses for the next heartbeat. others are addresses at which
// there may be members: seeds and those from the VM list.
func (b *MemberTable) Targets(n int, others []netip.AddrPort) []netip.AddrPort {
	b.heartbeatCount++
	if len(b.active) == 0 {
		return b.search(others)
	}
	var out []netip.AddrPort
	if a, ok := b.urgentTarget(); ok {
		out = append(out, a)
	}
	if b.joining || b.heartbeatCount%exploreInterval == 0 {
		if a, ok := b.explore(others); ok {
			out = append(out, a)
		}
	}
	for tries := 0; len(out) < n && tries < maxPickTries; tries++ {
		if a, ok := b.randomTarget(len(out) == 0); ok && !contains(out, a) {
			out = append(out, a)
		}
	}
	return out[:min(n, len(out))]
}

// search returns addresses to try for a process that knows no other member.
func (b *MemberTable) search(others []netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for _, i := range b.rnd.Perm(len(others)) {
		if len(out) == searchTargets {
			break
		}
		if others[i] != b.self.Address {
			out = append(out, others[i])
		}
	}
	return out
}

// urgentTarget returns an address where two incarnations are known or the member did not
// answer. There is at most one for each heartbeat, so that the failure of a rack does not
// take the heartbeats from all other members.
func (b *MemberTable) urgentTarget() (netip.AddrPort, bool) {
	if len(b.contested) > 0 {
		a := b.contested[0]
		b.contested = append(b.contested[1:], a)
		return a, true
	}
	if len(b.unanswered) > 0 {
		e := b.unanswered[0]
		b.unanswered = append(b.unanswered[1:], e)
		return e.Address, true
	}
	return netip.AddrPort{}, false
}

func (b *MemberTable) explore(others []netip.AddrPort) (netip.AddrPort, bool) {
	for range min(maxPickTries, len(others)) {
		a := others[b.rnd.IntN(len(others))]
		if a != b.self.Address && len(b.byAddress[a]) == 0 {
			return a, true
		}
	}
	return netip.AddrPort{}, false
}

// randomTarget returns the address of a random member. With preferLocal it tries to find
// one of the own data centre: one heartbeat per period stays inside it, because a data
// centre that is cut off depends on what its members tell each other.
func (b *MemberTable) randomTarget(preferLocal bool) (netip.AddrPort, bool) {
	if len(b.active) == 0 {
		return netip.AddrPort{}, false
	}
	e := b.active[b.rnd.IntN(len(b.active))]
	for tries := 0; preferLocal && tries < maxPickTries && e.Owner.DataCenter != b.self.Owner.DataCenter; tries++ {
		e = b.active[b.rnd.IntN(len(b.active))]
	}
	return e.Address, true
}

func contains(all []netip.AddrPort, a netip.AddrPort) bool {
	for _, o := range all {
		if o == a {
			return true
		}
	}
	return false
}

// Neighbour is what the rule for outdated tables needs to know of a member of the own
// data centre.
type Neighbour struct {
	State State
	// Answered is when the latest call that the member answered was sent, or zero; Told
	// is the state that its latest answer gave.
	Answered time.Time
	Told     Member
}

// Neighbours returns the other members of the data centre that are not gone.
func (b *MemberTable) Neighbours() []Neighbour {
	var out []Neighbour
	for _, e := range b.active {
		if e.Owner.DataCenter == b.self.Owner.DataCenter {
			out = append(out, Neighbour{e.view().State, e.lastAnswered, e.advertised})
		}
	}
	return out
}
