package pool

import (
	"math"
	"net/netip"
	"time"
)

const (
	// classes is the number of speed classes. Each spans a factor of the square root of 2,
	// and the middle one holds servers of usual speed.
	classes     = 17
	middleClass = classes / 2

	// warmupSamples is the number of samples after which an average turns from a plain
	// mean into an exponentially weighted one.
	warmupSamples = 64

	// The learned slowness is kept between 1/maxSlowness and maxSlowness.
	maxSlowness = 64
)

var logClassFactor = math.Log(math.Sqrt2)

// average is an exponentially weighted mean that starts as a plain one.
type average struct {
	value float64
	n     int
}

func (a *average) add(v float64) {
	a.n = min(a.n+1, warmupSamples)
	a.value += (v - a.value) / float64(a.n)
}

// Server is a backend server as this dispatcher sees it.
type Server struct {
	Address netip.AddrPort

	slots   int
	limit   int
	leaving bool
	busy    int
	// freeSlots is the server's part of Fleet.freeSlots.
	freeSlots   int
	memberships []*Membership
	// busyIndex is the server's index in Fleet.busyServers, or -1.
	busyIndex int

	slowness    average
	failureRate float64

	// window is how many tasks the server has shown to accept from this dispatcher, if
	// that is below limit; 0 means that it has never refused.
	window float64

	failuresInRow int
	refusalsInRow int
	backoffUntil  time.Time
	// backingOff is set while the server is in Fleet.backingOff.
	backingOff bool
	// lastProgress is when a task last ended on the server, or started while it had none.
	lastProgress time.Time
	healthState  healthState
	ejectReason  Reason
	probeAt      time.Time
	// probeDue is set if the server's next task is to be a probe; it holds for one task
	// only.
	probeDue      bool
	probeInterval time.Duration
}

// Busy returns the number of this dispatcher's tasks on the server.
func (s *Server) Busy() int { return s.busy }

// Limit returns how many tasks this dispatcher may have on the server.
func (s *Server) Limit() int { return s.limit }

// Ejected reports whether the server is ejected or being probed.
func (s *Server) Ejected() bool { return s.healthState != stateInUse }

// Slowness returns the server's service time as a multiple of the usual one.
func (s *Server) Slowness() float64 {
	if s.slowness.n == 0 {
		return 1
	}
	return s.slowness.value
}

// maxTasks returns how many tasks may be on the server at once: the limit, or the window
// if that is smaller.
func (s *Server) maxTasks() int {
	if s.window == 0 || s.window >= float64(s.limit) {
		return s.limit
	}
	return int(s.window)
}

// shrinkWindow sets the window to the number of tasks that were on the server when it
// refused, growWindow extends it by one for each round of completed tasks. If other
// dispatchers use the server too, this dispatcher's own count shows free slots that are
// taken, and each attempt to use one is a wasted message.
func (s *Server) shrinkWindow() { s.window = max(float64(s.busy), 1) }

func (s *Server) growWindow() {
	if s.window > 0 {
		s.window = min(s.window+1/s.window, float64(s.limit))
	}
}

// Load estimates how late the next task would end on the server, in an arbitrary unit:
// the learned slowness, increased for each task that is already there and for recent
// failures.
func (s *Server) Load() float64 {
	used := float64(s.busy) / float64(max(s.limit, 1))
	return s.Slowness() * (1 + used) * (1 + failurePenalty*s.failureRate)
}

// failurePenalty is how much slower a server that always fails looks: by failurePenalty
// times its own service time.
const failurePenalty = 4

func (s *Server) class() int {
	v := s.Slowness() * (1 + failurePenalty*s.failureRate)
	c := middleClass + int(math.Round(math.Log(v)/logClassFactor))
	return min(max(c, 0), classes-1)
}

// learn records a service time, given as a multiple of the usual one.
func (s *Server) learn(ratio float64) {
	s.slowness.add(min(max(ratio, 1.0/maxSlowness), maxSlowness))
}

// ServiceTime is the learned service time of a kind of task, corrected for the slowness
// of the servers on which it ran.
//
// The service time of a kind on a server is modeled as the product of the two. A separate
// average for each pair would need samples of every pair; with thousands of servers most
// would never get any.
type ServiceTime struct{ mean average }

// Known reports whether there are enough samples to rely on the mean.
func (t *ServiceTime) Known() bool { return t.mean.n >= warmupSamples }

// Mean returns the service time on a server of usual speed, or 0 without samples.
func (t *ServiceTime) Mean() time.Duration { return time.Duration(t.mean.value) }

// discount makes the next sample count as much as all earlier ones together.
func (a *average) discount() { a.n = min(a.n, 1) }

func (t *ServiceTime) learn(d time.Duration, s *Server) {
	slowness := s.Slowness()
	if t.mean.n > 0 && t.mean.value > 0 {
		s.learn(float64(d) / t.mean.value)
	}
	t.mean.add(float64(d) / slowness)
}
