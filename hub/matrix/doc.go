// Package matrix contains the fault matrix: every fault at every step of a caller's or
// operator's scenario, run against real dispatchers on an in-memory network and a fake
// clock. The package contains only tests.
//
// The tests are excluded from builds with the race detector unless the tag "matrix" is
// set. With the detector, the runtime of Go 1.26.8 crashes occasionally (SIGSEGV in
// timer.maybeRunChan): the goroutines of a synctest bubble share one race context for
// timers, and two that look at an expired timer channel at the same time use that context
// from two threads. The process tests of package hub run the same code with the detector.
// The command
//
//	go test -race -tags matrix ./hub/matrix
//
// is still worth a manual run: it found two races before it crashed.
package matrix
