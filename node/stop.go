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
	// lameDuckPeriod is how long a stopping process still accepts new jobs. The load
	// balancer polls readiness once a second and redirects callers after two answers.
	lameDuckPeriod = 3000 * time.Millisecond
	// acceptQuietPeriod is how long nobody must have connected before the listener is
	// closed: many times what it takes to read a request.
	acceptQuietPeriod = 60 * time.Millisecond
	// openConnGrace is how long callers may still write requests on open connections after
	// that. A request that is being written when its connection is closed gets no answer,
	// and a busy caller takes long from an answer to its next request.
	openConnGrace = 250 * time.Millisecond
	// requiredQuietAccepts is how many consecutive quiet periods are required: on a busy
	// machine, one may pass before the accept queue is first looked at.
	requiredQuietAccepts = 2
	// listenerCloseTimeout bounds the wait for the quiet periods.
	listenerCloseTimeout = time.Second
	// stopReserve is the part of the time to stop that is reserved for what can't be
	// finished: answers, and the end of the process.
	stopReserve = time.Second
	// answerTimeout bounds the wait for the answers to jobs that are given up.
	answerTimeout = 250 * time.Millisecond
	// shutdownTimeout bounds the writing of the last answers.
	shutdownTimeout  = 500 * time.Millisecond
	stopPollInterval = 25 * time.Millisecond
)

// stop ends the process without interrupting requests. The workers are transferred to other
// holders, which finish the jobs that callers still wait for here, and new callers are
// served until the load balancer has redirected them. Each answer closes its connection;
// idle connections stay open until the end, because a caller may be writing a request on
// one. Requests that still arrive at the end are refused: one accepted between the last
// check and the end would be cut off.
func (n *Node) stop(ctx context.Context) {
	event.ProcessStopping.Log(n.log)
	n.stopping.Store(true)
	begun := time.Now()
	n.advertise(ctx, func(m *mesh.Member) { m.Leaving = true })
	clock.Sleep(ctx, lameDuckPeriod)
	n.closeCallersListener(ctx)
	recordDeleted := make(chan struct{})
	go func() {
		defer close(recordDeleted)
		if err := n.deleteOwnRecord(ctx); err != nil {
			event.MemberNotRecorded.Log(n.log, "error", err)
		}
	}()
	for time.Since(begun) < n.cfg.GracePeriod-stopReserve {
		idle, _ := query(ctx, n, func(_ time.Time, c *Core) bool { return c.Idle() })
		if idle && n.openRequests.Load() == 0 {
			break
		}
		clock.Sleep(ctx, stopPollInterval)
	}
	<-recordDeleted
	n.answerOpenRequests(ctx)
	n.shutdown(ctx)
}

// answerOpenRequests answers the jobs and lookups that are not finished, and waits until the answers have
// been written. Were they only given up when the process's context ends, which also closes the
// connections, some callers would get no answer.
func (n *Node) answerOpenRequests(ctx context.Context) {
	n.enqueue(ctx, func(now time.Time, c *Core) { c.GiveUp(now) })
	for waited := time.Duration(0); n.openRequests.Load() > 0 && waited < answerTimeout; waited += stopPollInterval {
		clock.Sleep(ctx, stopPollInterval)
	}
}

// closeCallersListener closes the callers' listener. From then on, requests that arrive
// over open connections are refused.
//
// Closing a listener resets the connections in its accept queue, whose callers have
// already written requests. While each answer closes its connection, busy callers keep
// connecting. So answers leave connections open for a moment, and the listener is closed
// once every caller has a connection and nobody has connected for a while.
func (n *Node) closeCallersListener(ctx context.Context) {
	n.closingListener.Store(true)
	listener, hasDeadline := n.ln.callers.(deadlineListener)
	if hasDeadline {
		_ = listener.SetDeadline(time.Now().Add(acceptQuietPeriod))
	}
	t := time.NewTimer(listenerCloseTimeout)
	defer t.Stop()
	select {
	case <-n.listenerClosed:
	case <-t.C:
		_ = n.ln.callers.Close()
		<-n.listenerClosed
	case <-ctx.Done():
	}
	n.refusing.Store(true)
	n.closingListener.Store(false)
	clock.Sleep(ctx, openConnGrace)
}

// deadlineListener is a listener whose Accept can be given a deadline.
type deadlineListener interface{ SetDeadline(t time.Time) error }

// drainBacklog accepts the connections in the accept queue, then closes the listener.
func (n *Node) drainBacklog(accept func() error) {
	ln, ok := n.ln.callers.(deadlineListener)
	for quiet := 0; ok && quiet < requiredQuietAccepts; quiet++ {
		if err := ln.SetDeadline(time.Now().Add(acceptQuietPeriod)); err != nil {
			break
		}
		if accept() == nil {
			quiet = -1
		}
	}
	_ = n.ln.callers.Close()
	close(n.listenerClosed)
}

// shutdown closes the callers' connections, each after the answer that is being written
// on it.
func (n *Node) shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	for _, s := range n.callerServers() {
		_ = s.Shutdown(ctx)
	}
}

// callerServers returns the HTTP servers of callers.
func (n *Node) callerServers() []*http.Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.servers)
}
