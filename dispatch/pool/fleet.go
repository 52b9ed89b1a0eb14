package pool

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"snipehub.example/tables"
)

// Limiter decides how many of a server's slots this dispatcher may use.
type Limiter interface {
	Limit(server netip.AddrPort, slots int, among Members) int
}

// Fleet is the set of backend servers of this data centre.
type Fleet struct {
	dataCenter      string
	limiter         Limiter
	maxEjectedShare float64

	members Members
	servers map[key]*Server
	pools   map[string]*Pool
	// byAddress holds the servers sorted by address.
	byAddress      []*Server
	busyServers    []*Server
	backingOff     []*Server
	ejectedServers []*Server
	healthChanges  []HealthChange
	freeSlots      int
	lastUnusedScan time.Time
}

// HealthChange is a change of a server's health, for the log.
type HealthChange struct {
	Server  netip.AddrPort
	Ejected bool
	// LimitReached is set if the server was not ejected because the largest allowed share
	// of its pool already is. It is reported only while the server has exactly
	// ejectAfterFailures failures in a row, not for each later one.
	LimitReached bool
	Reason       Reason
}

// New returns an empty fleet. At most maxEjectedShare, from 0 to 1, of each pool is
// ejected at a time.
func New(dataCenter string, limiter Limiter, maxEjectedShare float64) *Fleet {
	return &Fleet{
		dataCenter:      dataCenter,
		limiter:         limiter,
		maxEjectedShare: maxEjectedShare,
		servers:         make(map[key]*Server),
		pools:           make(map[string]*Pool),
	}
}

// Pool returns the pool with the given name, or nil if it has no servers here.
func (f *Fleet) Pool(name string) *Pool { return f.pools[name] }

// HealthChanges returns the changes since the last call.
func (f *Fleet) HealthChanges() []HealthChange {
	changes := f.healthChanges
	f.healthChanges = nil
	return changes
}

// Apply brings new tables and members into force.
func (f *Fleet) Apply(now time.Time, st *tables.State, m Members) {
	membersChanged := m.Self != f.members.Self || !maps.Equal(m.Sizes, f.members.Sizes)
	f.members = m
	wanted := localServers(st, f.dataCenter)
	for a, s := range f.servers {
		if wanted[a] == nil {
			f.removeFromPools(s)
			s.leaving = true
			f.updateFree(now, s)
			f.forgetIfGone(s)
		}
	}
	// The order is fixed, so that two runs with the same seed are identical.
	for _, a := range slices.SortedFunc(maps.Keys(wanted), netip.AddrPort.Compare) {
		r := wanted[a]
		s := f.servers[a]
		if s == nil {
			s = &Server{Address: a, busyIndex: -1}
			f.servers[a] = s
		}
		if membersChanged || s.slots != r.slots {
			s.slots = r.slots
			s.limit = f.limiter.Limit(a, r.slots, m)
		}
		s.leaving = r.leaving
		f.setPools(s, r.pools)
	}
	f.countServers()
	f.byAddress = f.byAddress[:0]
	for _, a := range slices.SortedFunc(maps.Keys(f.servers), netip.AddrPort.Compare) {
		f.byAddress = append(f.byAddress, f.servers[a])
		f.updateFree(now, f.servers[a])
	}
}

func (f *Fleet) setPools(s *Server, pools []string) {
	if len(s.memberships) == len(pools) {
		same := true
		for i, name := range pools {
			same = same && s.memberships[i].pool.Name == name
		}
		if same {
			return
		}
	}
	f.removeFromPools(s)
	for _, name := range pools {
		p := f.pools[name]
		if p == nil {
			p = &Pool{Name: name}
			f.pools[name] = p
		}
		s.memberships = append(s.memberships, &Membership{Server: s, pool: p, index: -1})
	}
}

func (f *Fleet) removeFromPools(s *Server) {
	for _, ms := range s.memberships {
		if ms.index >= 0 {
			ms.pool.free.remove(ms)
		}
	}
	s.memberships = nil
}

// countServers recomputes the totals of the pools and drops pools without servers.
func (f *Fleet) countServers() {
	best := make(map[*Pool]*Server)
	for _, p := range f.pools {
		p.servers = 0
		p.ejectedCount = 0
		p.limit = 0
	}
	for _, s := range f.servers {
		for _, ms := range s.memberships {
			p := ms.pool
			p.servers++
			p.limit += s.limit
			if s.Ejected() {
				p.ejectedCount++
			}
			if b := best[p]; b == nil || f.preferred(s, b) {
				best[p] = s
			}
		}
	}
	for name, p := range f.pools {
		if p.servers == 0 {
			delete(f.pools, name)
		}
	}
	// If a pool has fewer slots than there are dispatchers, a dispatcher may get none, and
	// its callers' tasks would wait for ever. It then uses one slot of the server that its
	// own hash prefers; a collision there costs a refusal.
	for p, s := range best {
		if s.limit == 0 {
			s.limit = 1
			p.limit = 1
		}
	}
}

func (f *Fleet) preferred(s, o *Server) bool {
	if (s.limit > 0) != (o.limit > 0) {
		return s.limit > 0
	}
	return Score(s.Address, f.members.Self) > Score(o.Address, f.members.Self)
}

// forgetIfGone drops a server that is no longer in the tables once its tasks have ended.
func (f *Fleet) forgetIfGone(s *Server) {
	if len(s.memberships) == 0 && s.busy == 0 {
		delete(f.servers, s.Address)
	}
}

// updateFree recomputes the server's free slots, and adds it to or removes it from the
// free lists of its pools.
func (f *Fleet) updateFree(now time.Time, s *Server) {
	free := 0
	if !s.leaving && s.healthState == stateInUse {
		free = max(s.maxTasks()-s.busy, 0)
	}
	f.freeSlots += free - s.freeSlots
	s.freeSlots = free
	available := free > 0 && !now.Before(s.backoffUntil)
	class := s.class()
	for _, ms := range s.memberships {
		if ms.index >= 0 && (!available || ms.class != class) {
			ms.pool.free.remove(ms)
		}
		if ms.index < 0 && available {
			ms.pool.free.add(ms, class)
		}
	}
}

// Probe returns a server of the pool that is due for a probe with one task, or nil. It is
// either ejected, or was slow and has been unused for a long time.
func (p *Pool) Probe() *Server {
	for len(p.probes) > 0 {
		s := p.probes[0]
		if s.probeDue && s.busy < max(s.slots, 1) && !s.leaving {
			return s
		}
		p.probes = p.probes[1:]
	}
	return nil
}

// BackOff keeps new tasks off a server until the given time.
func (f *Fleet) BackOff(now time.Time, s *Server, until time.Time) {
	s.backoffUntil = until
	f.trackBackoff(s)
	f.updateFree(now, s)
}

func (f *Fleet) trackBackoff(s *Server) {
	if !s.backingOff {
		s.backingOff = true
		f.backingOff = append(f.backingOff, s)
	}
}

// Start records that a task starts on the server.
func (f *Fleet) Start(now time.Time, s *Server) {
	s.probeDue = false
	if s.healthState == stateEjected {
		s.healthState = stateProbing
	}
	if s.needsRetest(now) {
		s.slowness.discount()
	}
	s.busy++
	if s.busy == 1 {
		s.lastProgress = now
		s.busyIndex = len(f.busyServers)
		f.busyServers = append(f.busyServers, s)
	}
	f.updateFree(now, s)
}

// End records that a task has ended on the server after the given time.
func (f *Fleet) End(now time.Time, s *Server, v Verdict, took time.Duration, t *ServiceTime) {
	s.busy--
	s.lastProgress = now
	if s.busy == 0 {
		f.removeBusy(s)
	}
	usual := t.Mean()
	if v == Good {
		t.learn(took, s)
	}
	switch s.healthState {
	case stateProbing:
		f.probeEnded(now, s, v == Good && (s.ejectReason != Slow || took < ejectSlowness*usual))
	case stateInUse:
		if ejectReason, out := s.judge(now, v); out {
			f.eject(now, s, ejectReason)
		}
		if v == Rejected {
			f.trackBackoff(s)
		}
	}
	f.updateFree(now, s)
	f.forgetIfGone(s)
}

func (f *Fleet) removeBusy(s *Server) {
	last := f.busyServers[len(f.busyServers)-1]
	f.busyServers[s.busyIndex] = last
	last.busyIndex = s.busyIndex
	f.busyServers = f.busyServers[:len(f.busyServers)-1]
	s.busyIndex = -1
}

func (f *Fleet) probeEnded(now time.Time, s *Server, healthy bool) {
	if !healthy {
		s.markEjected(now)
		return
	}
	s.restore()
	for _, ms := range s.memberships {
		ms.pool.ejectedCount--
	}
	f.healthChanges = append(f.healthChanges, HealthChange{Server: s.Address})
}

// eject ejects a server, unless the largest allowed share of one of its pools is ejected
// already. Without that bound a fault that all servers share, such as a kind of task that
// fails everywhere, would empty the pool.
func (f *Fleet) eject(now time.Time, s *Server, ejectReason Reason) {
	for _, ms := range s.memberships {
		if float64(ms.pool.ejectedCount+1) > f.maxEjectedShare*float64(ms.pool.servers) {
			if s.failuresInRow == ejectAfterFailures {
				f.healthChanges = append(f.healthChanges, HealthChange{Server: s.Address, LimitReached: true, Reason: ejectReason})
			}
			return
		}
	}
	s.ejectReason = ejectReason
	s.markEjected(now)
	for _, ms := range s.memberships {
		ms.pool.ejectedCount++
	}
	f.ejectedServers = append(f.ejectedServers, s)
	f.healthChanges = append(f.healthChanges, HealthChange{Server: s.Address, Ejected: true, Reason: ejectReason})
}

// Tick detects stalled servers, ends backoffs and schedules probes; longest is the longest
// mean service time of the kinds in use.
func (f *Fleet) Tick(now time.Time, longest time.Duration) {
	for _, s := range f.busyServers {
		if s.healthState == stateInUse && s.stalled(now, longest) {
			f.eject(now, s, Stalled)
			f.updateFree(now, s)
		}
	}
	backingOff := f.backingOff[:0]
	for _, s := range f.backingOff {
		if now.Before(s.backoffUntil) {
			backingOff = append(backingOff, s)
			continue
		}
		s.backingOff = false
		f.updateFree(now, s)
	}
	clear(f.backingOff[len(backingOff):])
	f.backingOff = backingOff
	f.probeEjected(now)
	f.probeUnused(now)
}

// probeUnused schedules probes for servers that were slow and have been unused for a long
// time.
func (f *Fleet) probeUnused(now time.Time) {
	if now.Sub(f.lastUnusedScan) < unusedScanInterval {
		return
	}
	f.lastUnusedScan = now
	for _, s := range f.byAddress {
		if !s.needsRetest(now) || s.limit == 0 || s.leaving {
			continue
		}
		s.probeDue = true
		for _, ms := range s.memberships {
			ms.pool.probes = append(ms.pool.probes, s)
		}
	}
}

// probeEjected rebuilds the pools' probe lists with the ejected servers whose probe is
// due.
func (f *Fleet) probeEjected(now time.Time) {
	for _, p := range f.pools {
		p.probes = p.probes[:0]
	}
	kept := f.ejectedServers[:0]
	for _, s := range f.ejectedServers {
		// A server that is in no pool stays in the list while it has tasks: its row may
		// come back before they end, and without a probe it would stay ejected for good.
		if !s.Ejected() || f.servers[s.Address] != s {
			continue
		}
		kept = append(kept, s)
		s.probeDue = s.healthState == stateEjected && !now.Before(s.probeAt)
		if !s.probeDue {
			continue
		}
		for _, ms := range s.memberships {
			ms.pool.probes = append(ms.pool.probes, s)
		}
	}
	clear(f.ejectedServers[len(kept):])
	f.ejectedServers = kept
}

// FreeSlots returns how many more tasks this dispatcher may start by the limits of its
// servers.
func (f *Fleet) FreeSlots() int { return f.freeSlots }
