// Package bubble runs tests on a fake clock.
package bubble

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test is synctest.Test on one processor: all timers of a bubble share one context of the race
// detector, which crashes now and then if several processors run them at once.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, f)
}
