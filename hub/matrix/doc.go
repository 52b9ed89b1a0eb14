// Package matrix holds the fault matrix: every fault at every step of a caller's
// or operator's course, over real dispatchers on a network in memory and a fake
// clock. All of it is tests.
//
// It is built without the race detector, unless the tag "matrix" asks for it.
// With it, the runtime of Go 1.26.8
// crashes now and then (SIGSEGV in timer.maybeRunChan): the goroutines of a
// synctest bubble share one race context for timers, and two that look at an
// expired timer channel at the same time use it from two threads. The process
// tests of package hub run the same code with the detector, and
//
//	go test -race -tags matrix ./hub/matrix
//
// is worth a run by hand: it found two races before it crashed.
package matrix
