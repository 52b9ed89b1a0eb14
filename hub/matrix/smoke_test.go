//go:build !race || matrix

package matrix_test

import (
	"testing"
	"testing/synctest"
)

// TestSystem runs a job in the system without a fault.
func TestSystem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSystem(t)
		defer w.close()
		g, ok := w.mint(w.hubs[0])
		if !ok {
			t.Fatalf("no ticket:\n%s", w.logs)
		}
		for _, n := range w.hubs {
			if s := w.put(n, g.Ticket+".0", 5); !s.done() {
				t.Errorf("over %s: %+v\n%s", n.ip, s, w.logs)
			}
		}
		w.checkInvariants()
	})
}
