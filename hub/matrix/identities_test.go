//go:build !race || matrix

package matrix_test

import (
	"sync"
	"time"

	"github.com/google/uuid"
)

// keyedKind is the prefix of kinds that are used by the work of a single key only.
const keyedKind = "order"

// ownKey is a caller that uses a key of its own, and sends the same order to two
// dispatchers at once and later to others.
func ownKey(w *system, beginStep func(int), _ fault) {
	beginStep(0)
	c := call{key: uuid.Must(uuid.NewV7()).String(), kind: keyedKind + "-job", tasks: 3}
	var wg sync.WaitGroup
	wg.Go(func() { w.ask(w.hub(0), c) })
	wg.Go(func() { w.ask(w.hub(2), c) })
	time.Sleep(300 * time.Millisecond)
	beginStep(1)
	wg.Go(func() { w.ask(w.hub(1), c) })
	wg.Wait()
	beginStep(2)
	w.ask(w.hub(3), c)
	time.Sleep(time.Second)
}

// repeatedRequest is a caller with a charge that must not be repeated: it takes a ticket,
// gets no answer, and sends the request again through other dispatchers.
func repeatedRequest(w *system, beginStep func(int), _ fault) {
	beginStep(0)
	c := call{id: w.ticketFrom(0) + ".0", kind: "check", tasks: 1, request: true}
	beginStep(1)
	var wg sync.WaitGroup
	wg.Go(func() { w.ask(w.hub(1), c) })
	time.Sleep(100 * time.Millisecond)
	beginStep(2)
	wg.Go(func() { w.ask(w.hub(0), c) })
	wg.Go(func() { w.ask(w.hub(2), c) })
	wg.Wait()
	beginStep(3)
	w.ask(w.hub(3), c)
	time.Sleep(time.Second)
}
