package node

import (
	"context"
	"time"

	"snipehub.example/clock"
	"snipehub.example/event"
	"snipehub.example/mesh"
)

const (
	// lingerFor is how long a process that stops takes in new jobs. The balancer
	// asks once a second and needs two answers to send callers elsewhere.
	lingerFor = 2500 * time.Millisecond
	// lastCall is the part of the time to stop that is left for what can't be
	// finished: answers, and the end of the process.
	lastCall = time.Second
	stopPoll = 25 * time.Millisecond
)

// stop ends the process without cutting anything: the workers are passed on, what
// callers wait for is finished here by the new holders, and new callers are served
// until the balancer has sent them elsewhere.
func (n *Node) stop(ctx context.Context) {
	event.ProcessStopping.Log(n.log)
	n.stopping.Store(true)
	begun := time.Now()
	n.say(ctx, func(m *mesh.Member) { m.Leaving = true })
	for time.Since(begun) < n.cfg.StopFor-lastCall {
		idle, _ := ask(ctx, n, func(_ time.Time, c *Core) bool { return c.Idle() })
		if idle && time.Since(begun) > lingerFor {
			break
		}
		clock.Sleep(ctx, stopPoll)
	}
	if _, err := n.put(ctx, nil); err != nil {
		event.MemberNotRecorded.Log(n.log, "error", err)
	}
}
