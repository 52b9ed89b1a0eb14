package node

import (
	"context"
	"net/http"
	"slices"
	"time"

	"snipehub.example/clock"
	"snipehub.example/event"
	"snipehub.example/mesh"
)

const (
	// lingerFor is how long a process that stops takes in new jobs. The balancer
	// asks once a second and needs two answers to send callers elsewhere.
	lingerFor = 3000 * time.Millisecond
	// settleFor is how long nobody must have connected before the address is closed: many
	// times what a request takes to be read.
	settleFor = 60 * time.Millisecond
	// lastFor is what callers have after that to write on a connection that they have open.
	// One that is closed while they do ends without an answer, and a busy caller takes
	// long from an answer to its next request.
	lastFor = 250 * time.Millisecond
	// quietAccepts is how many times in a row nobody must have connected for so long: on
	// a busy machine one may pass before the first look at who waits.
	quietAccepts = 2
	// settleMost bounds the wait for that.
	settleMost = time.Second
	// lastCall is the part of the time to stop that is left for what can't be
	// finished: answers, and the end of the process.
	lastCall = time.Second
	// lastAnswers bounds the writing of answers at the end.
	lastAnswers = 500 * time.Millisecond
	stopPoll    = 25 * time.Millisecond
)

// stop ends the process without cutting anything: the workers are passed on, what
// callers wait for is finished here by the new holders, and new callers are served
// until the balancer has sent them elsewhere. Each answer closes its connection; idle
// ones stay open until the end, because a caller may just be writing on them. Who still
// comes at the end is refused: a request taken in between the last look and the end
// would be cut in the middle.
func (n *Node) stop(ctx context.Context) {
	event.ProcessStopping.Log(n.log)
	n.stopping.Store(true)
	begun := time.Now()
	n.say(ctx, func(m *mesh.Member) { m.Leaving = true })
	clock.Sleep(ctx, lingerFor)
	n.closeAddress(ctx)
	dropped := make(chan struct{})
	go func() {
		defer close(dropped)
		if _, err := n.put(ctx, nil); err != nil {
			event.MemberNotRecorded.Log(n.log, "error", err)
		}
	}()
	for time.Since(begun) < n.cfg.StopFor-lastCall {
		idle, _ := ask(ctx, n, func(_ time.Time, c *Core) bool { return c.Idle() })
		if idle && n.open.Load() == 0 {
			break
		}
		clock.Sleep(ctx, stopPoll)
	}
	<-dropped
	n.shutdown(ctx)
}

// closeAddress closes the address of the callers, then refuses what comes over open
// connections.
//
// Closing it resets the connections that wait to be accepted, whose callers have written
// their requests by then and see them cut off. While each answer closes its connection,
// busy callers connect all the time; so for a moment answers leave connections open, and
// the address is closed when everybody has one and nobody has connected for a while.
func (n *Node) closeAddress(ctx context.Context) {
	n.settling.Store(true)
	accepts, bounded := n.ln.callers.(deadliner)
	if bounded {
		_ = accepts.SetDeadline(time.Now().Add(settleFor))
	}
	t := time.NewTimer(settleMost)
	defer t.Stop()
	select {
	case <-n.shut:
	case <-t.C:
		_ = n.ln.callers.Close()
		<-n.shut
	case <-ctx.Done():
	}
	n.closed.Store(true)
	n.settling.Store(false)
	clock.Sleep(ctx, lastFor)
}

// deadliner is a listener whose Accept can be bounded.
type deadliner interface{ SetDeadline(t time.Time) error }

// lastAccepts lets in who waits on the callers' address, then closes it.
func (n *Node) lastAccepts(accept func() error) {
	ln, ok := n.ln.callers.(deadliner)
	for quiet := 0; ok && quiet < quietAccepts; quiet++ {
		if err := ln.SetDeadline(time.Now().Add(settleFor)); err != nil {
			break
		}
		if accept() == nil {
			quiet = -1
		}
	}
	_ = n.ln.callers.Close()
	close(n.shut)
}

// shutdown closes the callers' connections, each after the answer that is being
// written on it.
func (n *Node) shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lastAnswers)
	defer cancel()
	for _, s := range n.callers() {
		_ = s.Shutdown(ctx)
	}
}

// callers returns the servers of callers.
func (n *Node) callers() []*http.Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.servers)
}
