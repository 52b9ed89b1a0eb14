package model

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"snipehub.example/node"
)

// The overhead in bytes of calls and messages on a link beside their content, as captured
// between real processes: HTTP, TCP and IP headers, and acknowledgements.
const (
	messageBytes = 60
	holdBytes    = 330
	startBytes   = 380
	answerBytes  = 260
	callerBytes  = 360
)

// wire is one direction of a VM's link. Data waits until what was sent before has passed.
type wire struct{ busyUntil time.Time }

// transmit queues bytes on the wire and returns the time until the last one has passed it.
func (w *World) transmit(l *wire, bytes int) time.Duration {
	if w.cfg.LinkBandwidth == 0 {
		return 0
	}
	if l.busyUntil.Before(w.now) {
		l.busyUntil = w.now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(bytes) * time.Second / time.Duration(w.cfg.LinkBandwidth))
	return l.busyUntil.Sub(w.now)
}

// maxCallDelay is the maximum extra delay of a call to a worker, as if a packet was lost and
// retransmitted.
const maxCallDelay = 120 * time.Millisecond

// callDelay returns the extra delay of a call to a worker.
func (w *World) callDelay() time.Duration {
	if w.cfg.DelayedCallShare == 0 || w.callDelayRand.Float64() >= w.cfg.DelayedCallShare {
		return 0
	}
	return time.Duration(w.callDelayRand.Int64N(int64(maxCallDelay)))
}

// messageSize returns the bytes that a message takes on a link, or 0 if links are unbounded.
func (w *World) messageSize(m node.Message) int {
	if w.cfg.LinkBandwidth == 0 {
		return 0
	}
	b, err := cbor.Marshal(m)
	if err != nil {
		panic("model: a message can't be encoded: " + err.Error())
	}
	return len(b) + messageBytes
}

// makeSpecFiller makes a text of which the jobs' texts are parts: letters that occur equally
// often, so that packing halves it.
func (w *World) makeSpecFiller(length int) string {
	b := make([]byte, length)
	for i := range b {
		b[i] = 'a' + byte(w.rnd.IntN(16))
	}
	return string(b)
}
