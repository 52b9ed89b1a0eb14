//go:build !race || matrix

package matrix_test

import (
	"sync"
	"time"

	"github.com/google/uuid"
)

// keyedKind begins the names of kinds under which only one key's work runs.
const keyedKind = "order"

// ownKey is a caller that brings a key of its own, and sends the same order over
// two dispatchers at once and again over others.
func ownKey(w *system, at func(int), _ fault) {
	at(0)
	c := call{key: uuid.Must(uuid.NewV7()).String(), kind: keyedKind + "-job", tasks: 3}
	var wg sync.WaitGroup
	wg.Go(func() { w.ask(w.hub(0), c) })
	wg.Go(func() { w.ask(w.hub(2), c) })
	time.Sleep(300 * time.Millisecond)
	at(1)
	wg.Go(func() { w.ask(w.hub(1), c) })
	wg.Wait()
	at(2)
	w.ask(w.hub(3), c)
	time.Sleep(time.Second)
}

// once is a caller with a charge that must not be repeated: it takes a ticket,
// hears nothing, and sends the request again over other dispatchers.
func once(w *system, at func(int), _ fault) {
	at(0)
	c := call{id: w.ticketFrom(0) + ".0", kind: "check", tasks: 1, request: true}
	at(1)
	var wg sync.WaitGroup
	wg.Go(func() { w.ask(w.hub(1), c) })
	time.Sleep(100 * time.Millisecond)
	at(2)
	wg.Go(func() { w.ask(w.hub(0), c) })
	wg.Go(func() { w.ask(w.hub(2), c) })
	wg.Wait()
	at(3)
	w.ask(w.hub(3), c)
	time.Sleep(time.Second)
}
