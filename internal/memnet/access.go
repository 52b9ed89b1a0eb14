package memnet

import (
	"context"
	"net/netip"
	"time"
)

// access is the connection of a host to the network. All that the host sends shares one
// direction of it, all that it receives the other.
type access struct {
	bytesPerSecond int
	// sends and receives are when each direction has passed on what waits for it.
	sends, receives time.Time
}

// SetBandwidth limits what a host sends and receives, in bytes a second each. It must be
// called before the host has connections.
func (n *Net) SetBandwidth(h netip.Addr, bytesPerSecond int) {
	n.update(func() { n.access[h] = &access{bytesPerSecond: bytesPerSecond} })
}

// limited reports whether the bandwidth of one of the hosts is limited.
func (n *Net) limited(a, b netip.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.access[a] != nil || n.access[b] != nil
}

// transmit queues bytes at both ends and returns how long they take.
func (n *Net) transmit(from, to netip.Addr, size int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	done := now
	if a := n.access[from]; a != nil {
		done = a.pass(&a.sends, done, size)
	}
	if a := n.access[to]; a != nil {
		done = a.pass(&a.receives, done, size)
	}
	return done.Sub(now)
}

// pass queues bytes in one direction and returns when they have passed.
func (a *access) pass(direction *time.Time, from time.Time, size int) time.Time {
	if direction.Before(from) {
		*direction = from
	}
	*direction = direction.Add(time.Duration(size) * time.Second / time.Duration(a.bytesPerSecond))
	return *direction
}

// Receive waits until the host has received bytes from a server whose own bandwidth is
// unlimited, or until ctx ends. It calls arrived, if not nil, after each segment.
func (h *Host) Receive(ctx context.Context, size int, arrived func()) error {
	for size > 0 && ctx.Err() == nil {
		segment := min(size, limitedBufferBytes)
		t := time.NewTimer(h.net.transmit(netip.Addr{}, h.ip, segment))
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
		size -= segment
		if arrived != nil {
			arrived()
		}
	}
	return ctx.Err()
}
