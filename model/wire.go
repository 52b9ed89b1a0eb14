package model

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"snipehub.example/node"
)

// What calls and messages take on a link beside their content, as captured between real
// processes: headers of HTTP, of TCP and IP, and acknowledgements.
const (
	mailBytes   = 60
	holdBytes   = 330
	startBytes  = 380
	answerBytes = 260
	callerBytes = 360
)

// wire is one direction of a VM's link: what is sent waits for what was sent before.
type wire struct{ free time.Time }

// pass returns after how long some bytes have passed the wire.
func (w *World) pass(l *wire, bytes int) time.Duration {
	if w.cfg.Link == 0 {
		return 0
	}
	if l.free.Before(w.now) {
		l.free = w.now
	}
	l.free = l.free.Add(time.Duration(bytes) * time.Second / time.Duration(w.cfg.Link))
	return l.free.Sub(w.now)
}

// crossingMost is how long a call to a worker is held up at the most: a packet that was
// lost and is sent again.
const crossingMost = 120 * time.Millisecond

// heldUp returns how much longer than usual a call to a worker is on its way.
func (w *World) heldUp() time.Duration {
	if w.cfg.Crossing == 0 || w.crossings.Float64() >= w.cfg.Crossing {
		return 0
	}
	return time.Duration(w.crossings.Int64N(int64(crossingMost)))
}

// messageSize is what a message takes on a link.
func (w *World) messageSize(m node.Message) int {
	if w.cfg.Link == 0 {
		return 0
	}
	b, err := cbor.Marshal(m)
	if err != nil {
		panic("model: a message can't be encoded: " + err.Error())
	}
	return len(b) + mailBytes
}

// makeText makes a text of which the jobs' texts are parts: letters that occur equally
// often, so that packing halves it.
func (w *World) makeText(most int) string {
	b := make([]byte, most)
	for i := range b {
		b[i] = 'a' + byte(w.rnd.IntN(16))
	}
	return string(b)
}
