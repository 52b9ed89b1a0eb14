package mesh

import (
	"net/netip"
	"time"
)

// Peer is a process with which a session is kept.
type Peer struct {
	Address netip.AddrPort
	// DialDelay is how long this side leaves it to the other one to dial if that one has the
	// lower address. It is 0 if the other one does not keep the session of its own accord.
	DialDelay time.Duration
}

// SetPeers sets the processes with which this one keeps sessions. Sessions that it has opened
// to others end once they are not used any more; those that others have opened are theirs
// to end.
func (m *Mesh[M]) SetPeers(peers []Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.peers = make(map[netip.AddrPort]time.Duration, len(peers))
	for _, p := range peers {
		m.peers[p.Address] = p.DialDelay
	}
	for a, known := range m.addresses {
		if _, ok := m.peers[a]; !ok && !known.dialing {
			delete(m.addresses, a)
		}
	}
	for _, p := range peers {
		m.addAddress(now, p.Address)
	}
	m.wakeDialer()
}

// KeepAll makes this process keep sessions with all processes that become known, as a new
// Mesh does.
func (m *Mesh[M]) KeepAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers = nil
	now := time.Now()
	for a := range m.sessions {
		m.addAddress(now, a)
	}
}

// Disconnect ends a session with a member for the given reason.
func (m *Mesh[M]) Disconnect(id ID, session uint64, reason string) {
	m.mu.Lock()
	s := m.sessions[id.Address]
	m.mu.Unlock()
	if s != nil && s.id == id && s.number == session {
		s.end(reason)
	}
}

// endUnneeded ends the sessions that this side has opened to processes which are no peers and
// with which it has nothing to do any more.
func (m *Mesh[M]) endUnneeded(now time.Time) {
	m.mu.Lock()
	var unneeded []*session[M]
	for a, s := range m.sessions {
		if _, ok := m.peers[a]; m.peers != nil && !ok && s.dialed {
			unneeded = append(unneeded, s)
		}
	}
	m.mu.Unlock()
	for _, s := range unneeded {
		if s.unused(now) {
			s.end("not needed any more")
		}
	}
}
