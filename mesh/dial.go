package mesh

import (
	"context"
	"math"
	"net/netip"
	"time"
)

// addressState is the dialling state of an address at which there may be a member.
type addressState struct {
	// lastLearned is when the address was last learned or its session ended, nextDial when
	// it may be dialled again.
	lastLearned, nextDial time.Time
	backoff               time.Duration
	dialing               bool
	// deferred is set while the first dial waits for the end of sizeUnknownPeriod.
	deferred bool
}

// AddAddresses adds addresses at which there may be members.
func (m *Mesh[M]) AddAddresses(addrs ...netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, a := range addrs {
		m.addAddress(now, a)
		if known := m.addresses[a]; known != nil && known.deferred {
			known.deferred, known.nextDial = false, now.Add(m.dialDelay(a))
			m.wakeDialer()
		}
	}
}

func (m *Mesh[M]) addAddress(now time.Time, a netip.AddrPort) {
	if a == m.self.ID.Address || !a.IsValid() {
		return
	}
	if known, ok := m.addresses[a]; ok {
		known.lastLearned = now
		return
	}
	if _, isPeer := m.peers[a]; m.peers != nil && !isPeer {
		return
	}
	m.addresses[a] = &addressState{lastLearned: now, nextDial: now.Add(m.dialDelay(a)), backoff: minRedialBackoff}
	m.wakeDialer()
}

// addKnown adds the addresses that a greeting names.
func (m *Mesh[M]) addKnown(now time.Time, h hello) {
	notBefore := now
	if h.From.DataCenter != m.self.DataCenter {
		notBefore = m.createdAt.Add(sizeUnknownPeriod)
	}
	for _, a := range h.Known {
		_, had := m.addresses[a]
		m.addAddress(now, a)
		if known := m.addresses[a]; known != nil && !had && known.nextDial.Before(notBefore) {
			known.deferred, known.nextDial = true, notBefore
		}
	}
}

// dialDelay returns how long an address waits before this side dials it: the process with the
// higher address leaves it to the other one first.
func (m *Mesh[M]) dialDelay(a netip.AddrPort) time.Duration {
	if m.self.ID.Address.Compare(a) < 0 {
		return 0
	}
	if delay, isPeer := m.peers[a]; isPeer {
		return delay
	}
	return higherAddressDialDelay
}

// maxDialCheckInterval is the longest time between two checks for addresses that are due.
const maxDialCheckInterval = time.Second

// dialLoop dials the addresses without a session. The process with the lower address
// dials at once, the other one only if no connection has come in by then.
func (m *Mesh[M]) dialLoop(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.dialWake:
		case <-t.C:
		}
		now := time.Now()
		m.endUnneeded(now)
		out, next := m.dueAddresses(now)
		for _, a := range out {
			m.wg.Go(func() { m.dial(ctx, a) })
		}
		t.Reset(next)
	}
}

// dueAddresses returns the addresses to dial now, and how long until the next one is due.
// It drops addresses past their retention.
func (m *Mesh[M]) dueAddresses(now time.Time) (out []netip.AddrPort, next time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next = maxDialCheckInterval
	dials := 0
	for _, known := range m.addresses {
		if known.dialing {
			dials++
		}
	}
	for a, known := range m.addresses {
		delay, isPeer := m.peers[a]
		switch {
		case known.dialing || m.sessions[a] != nil:
		case m.peers != nil && !isPeer:
			delete(m.addresses, a)
		case now.Before(known.nextDial):
			next = min(next, known.nextDial.Sub(now))
		case !isPeer && now.Sub(known.lastLearned) > addressRetention:
			delete(m.addresses, a)
		case dials+len(out) >= m.maxDials(now, isPeer, delay):
			// The end of each dial wakes dialLoop.
		default:
			known.dialing = true
			out = append(out, a)
		}
	}
	return out, next
}

// maxDials returns how many connections may be opened at a time. Peers that do not dial
// themselves are few, and messages wait for their sessions. Without peers it is unlimited, but
// for the time in which the size of the deployment is not known yet.
func (m *Mesh[M]) maxDials(now time.Time, isPeer bool, delay time.Duration) int {
	switch {
	case isPeer && delay > 0:
		return maxPeerDials
	case isPeer:
		return math.MaxInt
	case now.Sub(m.createdAt) < sizeUnknownPeriod:
		return maxEarlyDials
	}
	return math.MaxInt
}

// wakeDialer makes dialLoop check for addresses that are due.
func (m *Mesh[M]) wakeDialer() {
	select {
	case m.dialWake <- struct{}{}:
	default:
	}
}

// dial dials an address and waits until a session has begun there or has failed. Another
// dial before that would replace the connection whose greeting is under way.
func (m *Mesh[M]) dial(ctx context.Context, a netip.AddrPort) {
	bounded, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := m.dialPeer(bounded, "tcp", a.String())
	if err == nil {
		s := m.startSession(ctx, c, true)
		select {
		case <-s.greeted:
		case <-s.done:
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if known := m.addresses[a]; known != nil {
		known.dialing = false
		known.nextDial = time.Now().Add(known.backoff/2 + m.jitter(known.backoff))
		known.backoff = min(2*known.backoff, maxRedialBackoff)
	}
	m.wakeDialer()
}
