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

// Heartbeat returns the next heartbeat of this process. The caller fills in self, except
// for owner, address and count.
func (t *MemberTable) Heartbeat(self Member) Heartbeat {
	join := t.joining || t.behind
	t.behind = false
	return Heartbeat{From: t.nextSelf(self), Join: join, Size: len(t.active), News: t.news(t.cfg.MaxNews)}
}

// Answer returns the answer to a heartbeat, which must have been passed to Received
// before.
func (t *MemberTable) Answer(self Member, to Heartbeat) Heartbeat {
	out := Heartbeat{From: t.nextSelf(self), Size: len(t.active), News: t.news(t.cfg.MaxNews)}
	if to.Join {
		out.News = t.addRandom(out.News, joinAnswerMembers)
	}
	// A running process that is held to be gone must learn of it: others answer its jobs
	// as failed.
	if e, ok := t.byOwner[to.From.Owner]; ok && e.State == Gone {
		out.News = append(out.News, News{e.Member, Gone})
	}
	return out
}

// nextSelf returns the state that this process advertises next, and stores it.
func (t *MemberTable) nextSelf(self Member) Member {
	self.Owner, self.Address, self.Count = t.self.Owner, t.self.Address, t.self.Count+1
	t.self = self
	return self
}

// Self returns this process as it was last advertised.
func (t *MemberTable) Self() Member { return t.self }

// news returns up to n members: first those in the news queue, for up to three quarters
// of n, then random ones, so that free slots and versions stay up to date everywhere.
func (t *MemberTable) news(n int) []News {
	out := make([]News, 0, n+1)
	remaining := len(t.newsQueue)
	for len(out) < n-n/4 && remaining > 0 {
		remaining--
		e := t.newsQueue[0]
		t.newsQueue = t.newsQueue[1:]
		if e.newsLeft == 0 {
			e.inNewsQueue = false
			continue
		}
		e.newsLeft--
		t.newsQueue = append(t.newsQueue, e)
		out = append(out, News{e.Member, e.State})
	}
	return t.addRandom(out, n)
}

// addRandom adds random members until there are n.
func (t *MemberTable) addRandom(out []News, n int) []News {
	included := make(map[ticket.Owner]struct{}, n)
	for _, o := range out {
		included[o.Owner] = struct{}{}
	}
	start := 0
	if len(t.active) > 0 {
		start = t.rnd.IntN(len(t.active))
	}
	for i := 0; i < len(t.active) && len(out) < n; i++ {
		e := t.active[(start+i)%len(t.active)]
		if _, ok := included[e.Owner]; !ok {
			out = append(out, News{e.Member, e.State})
		}
	}
	return out
}

// Targets returns up to n addresses for the next heartbeat. others are addresses at which
// there may be members: seeds and those from the VM list.
func (t *MemberTable) Targets(n int, others []netip.AddrPort) []netip.AddrPort {
	t.heartbeatCount++
	if len(t.active) == 0 {
		return t.search(others)
	}
	var out []netip.AddrPort
	if a, ok := t.urgentTarget(); ok {
		out = append(out, a)
	}
	if t.joining || t.heartbeatCount%exploreInterval == 0 {
		if a, ok := t.explore(others); ok {
			out = append(out, a)
		}
	}
	for tries := 0; len(out) < n && tries < maxPickTries; tries++ {
		if a, ok := t.randomTarget(len(out) == 0); ok && !contains(out, a) {
			out = append(out, a)
		}
	}
	return out[:min(n, len(out))]
}

// search returns addresses to try for a process that knows no other member.
func (t *MemberTable) search(others []netip.AddrPort) []netip.AddrPort {
	var out []netip.AddrPort
	for _, i := range t.rnd.Perm(len(others)) {
		if len(out) == searchTargets {
			break
		}
		if others[i] != t.self.Address {
			out = append(out, others[i])
		}
	}
	return out
}

// urgentTarget returns an address where two incarnations are known or the member did not
// answer. There is at most one for each heartbeat, so that the failure of a rack does not
// take the heartbeats from all other members.
func (t *MemberTable) urgentTarget() (netip.AddrPort, bool) {
	if len(t.contested) > 0 {
		a := t.contested[0]
		t.contested = append(t.contested[1:], a)
		return a, true
	}
	if len(t.unanswered) > 0 {
		e := t.unanswered[0]
		t.unanswered = append(t.unanswered[1:], e)
		return e.Address, true
	}
	return netip.AddrPort{}, false
}

func (t *MemberTable) explore(others []netip.AddrPort) (netip.AddrPort, bool) {
	for range min(maxPickTries, len(others)) {
		a := others[t.rnd.IntN(len(others))]
		if a != t.self.Address && len(t.byAddress[a]) == 0 {
			return a, true
		}
	}
	return netip.AddrPort{}, false
}

// randomTarget returns the address of a random member. With preferLocal it tries to find
// one of the own data centre: one heartbeat per period stays inside it, because a data
// centre that is cut off depends on what its members tell each other.
func (t *MemberTable) randomTarget(preferLocal bool) (netip.AddrPort, bool) {
	if len(t.active) == 0 {
		return netip.AddrPort{}, false
	}
	e := t.active[t.rnd.IntN(len(t.active))]
	for tries := 0; preferLocal && tries < maxPickTries && e.Owner.DataCenter != t.self.Owner.DataCenter; tries++ {
		e = t.active[t.rnd.IntN(len(t.active))]
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

// Neighbour is a member of the own data centre, as a process needs it to decide whether
// its own tables are outdated.
type Neighbour struct {
	State State
	// LastAnswered is when the latest call that the member answered was sent, or zero.
	// Advertised is what its latest answer said of it.
	LastAnswered time.Time
	Advertised   Member
}

// Neighbours returns the other members of the data centre that are not gone.
func (t *MemberTable) Neighbours() []Neighbour {
	var out []Neighbour
	for _, e := range t.active {
		if e.Owner.DataCenter == t.self.Owner.DataCenter {
			out = append(out, Neighbour{e.view().State, e.lastAnswered, e.advertised})
		}
	}
	return out
}
