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
	// settleFor is how long callers may keep their connections before the address is
	// closed, and have for a last answer after that: many times what a request takes
	// to be read.
	settleFor = 60 * time.Millisecond
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
// the address is closed when everybody has one.
func (n *Node) closeAddress(ctx context.Context) {
	n.settling.Store(true)
	clock.Sleep(ctx, settleFor)
	_ = n.ln.callers.Close()
	// Those who were let in last are known to a server after that.
	select {
	case <-n.shut:
	case <-ctx.Done():
	}
	n.closed.Store(true)
	n.settling.Store(false)
	clock.Sleep(ctx, settleFor)
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
