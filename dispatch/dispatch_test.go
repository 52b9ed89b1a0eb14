package dispatch

import (
	"context"
	"errors"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"snipehub.example/clock"
	"snipehub.example/delivery"
	"snipehub.example/dispatch/plan"
	"snipehub.example/dispatch/policy"
	"snipehub.example/meter"
	"snipehub.example/refusal"
	"snipehub.example/roster"
	"snipehub.example/tables"
	"snipehub.example/ticket"
)

// fakeDirectory has one backend server with two slots and no other dispatchers.
type fakeDirectory struct {
	state *tables.State
	// cutOff is set while nothing may be placed.
	cutOff *atomic.Bool
}

func (dir fakeDirectory) State() *tables.State                  { return dir.state }
func (dir fakeDirectory) Usable(time.Time, netip.AddrPort) bool { return true }
func (dir fakeDirectory) MayPlace(time.Time) bool               { return !dir.cutOff.Load() }
func (dir fakeDirectory) Members(time.Time) []roster.Known      { return nil }

// fakeDeliverer completes each task after a second and records the starts.
type fakeDeliverer struct {
	mu     sync.Mutex
	starts []string
}

func (deliverer *fakeDeliverer) Deliver(_ context.Context, a delivery.Attempt) delivery.Outcome {
	deliverer.mu.Lock()
	deliverer.starts = append(deliverer.starts, a.Task)
	deliverer.mu.Unlock()
	time.Sleep(time.Second)
	return delivery.Outcome{Kind: delivery.Done, Status: 200, Body: a.Body}
}

func newDispatcher(t *testing.T) (*Dispatcher, *fakeDeliverer, *clock.Service) {
	t.Helper()
	st, err := tables.Build(1, tables.Rows{
		Routes:  []tables.Route{{Kind: "price", Half: "north", Pool: "quick"}},
		Pools:   []tables.Pool{{Name: "quick", Half: "north"}},
		Servers: []tables.Server{{Pool: "quick", Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCenter: "dc1", Slots: 2}},
	})
	if err != nil {
		t.Fatal(err)
	}
	chosen, _ := policy.Find("share")
	cfg := Config{
		Self: roster.Member{Owner: ticket.Owner{DataCenter: "dc1", VM: "a", Process: "p", Incarnation: 1}},
		Config: plan.Config{
			DataCenter: "dc1", Policy: chosen.Policy, Connections: 8, QueuedTasks: 1000, Attempts: 3,
			TaskTimeout: 10 * time.Second, MaxWait: time.Minute, RetryBudget: 0.1, MaxEjectedShare: 0.3, MinHandoverTasks: 1,
		},
	}
	deliverer := &fakeDeliverer{}
	ticks := clock.New()
	m := meter.New(100, func() {})
	t.Cleanup(m.Close)
	return New(cfg, deliverer, fakeDirectory{st, new(atomic.Bool)}, ticks, slog.New(slog.DiscardHandler), m), deliverer, ticks
}

// serve runs the dispatcher and its clock until the end of the test.
func serve(t *testing.T, d *Dispatcher, ticks *clock.Service) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = ticks.Serve(ctx) })
	running.Go(func() { _ = d.Serve(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

func newSubmission(id string, n int, done func(int, Result)) Submission {
	return Submission{Job: id, Kind: "price", Caller: "x", Expires: time.Now().Add(time.Hour), Tasks: make([][]byte, n), Done: done}
}

// An owner holds its lock while it submits and takes the same lock in Done. If one
// goroutine served both, they would deadlock, and every caller of the process with them.
func TestDoneDoesNotBlockSubmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _, ticks := newDispatcher(t)
		serve(t, d, ticks)
		// The lock is a channel because synctest does not treat a wait for a mutex as
		// blocked.
		lock := make(chan struct{}, 1)
		ended := 0
		done := func(int, Result) {
			lock <- struct{}{}
			ended++
			<-lock
		}
		for i := range 20 {
			lock <- struct{}{}
			time.Sleep(500 * time.Millisecond)
			if err := d.Submit(newSubmission(string(rune('a'+i)), 1, done)); err != nil {
				t.Errorf("job %d: %v", i, err)
			}
			<-lock
		}
		time.Sleep(time.Minute)
		lock <- struct{}{}
		if ended != 20 {
			t.Errorf("%d of 20 jobs ended", ended)
		}
		<-lock
	})
}

// A process reports ready right after it has confirmed its tables. A submission at that
// moment must not be refused as cut off because the planner last checked earlier.
func TestReadyAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _, ticks := newDispatcher(t)
		cutOff := d.dir.(fakeDirectory).cutOff
		cutOff.Store(true)
		serve(t, d, ticks)
		time.Sleep(time.Second)
		synctest.Wait()
		cutOff.Store(false)
		if err := d.Submit(newSubmission("first", 1, func(int, Result) {})); err != nil {
			t.Error(err)
		}
		cutOff.Store(true)
		if d.Submit(newSubmission("second", 1, func(int, Result) {})) == nil {
			t.Error("accepted while nothing may be placed")
		}
		time.Sleep(time.Minute)
	})
}

// The planner does not run for a while, as after a suspension. The submitter gets "not
// run" within submitTimeout, and the submission that is still queued must not start
// later: the caller may have submitted the same order again under a new identity.
func TestTimedOutSubmissionNeverStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, deliverer, ticks := newDispatcher(t)
		began := time.Now()
		err := d.Submit(newSubmission("late", 1, func(int, Result) {}))
		var r *refusal.Refusal
		if !errors.As(err, &r) || r.Ran != refusal.RanNo || time.Since(began) > submitTimeout {
			t.Fatalf("%v after %v", err, time.Since(began))
		}
		serve(t, d, ticks)
		time.Sleep(time.Minute)
		if len(deliverer.starts) > 0 {
			t.Errorf("started: %v", deliverer.starts)
		}
	})
}

// While the planner does not run, more submissions arrive than the channel holds. None of
// them may block for ever.
func TestFullRequestBufferRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, _, _ := newDispatcher(t)
		var waiting sync.WaitGroup
		for range 2 * requestBuffer {
			waiting.Go(func() {
				if d.Submit(newSubmission("x", 1, func(int, Result) {})) == nil {
					t.Error("accepted without a planner")
				}
			})
		}
		waiting.Wait()
	})
}

// A job of ten tasks is cancelled when two have started. Those two end; the others are
// reported as not run and never start.
func TestCancelledTasksNeverStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, deliverer, ticks := newDispatcher(t)
		serve(t, d, ticks)
		var mu sync.Mutex
		got := make(map[refusal.Ran]int)
		_ = d.Submit(newSubmission("job", 10, func(_ int, r Result) {
			mu.Lock()
			defer mu.Unlock()
			got[r.Ran]++
		}))
		time.Sleep(500 * time.Millisecond)
		d.Cancel("job")
		time.Sleep(time.Minute)
		mu.Lock()
		defer mu.Unlock()
		if len(deliverer.starts) != 2 || got[refusal.RanYes] != 2 || got[refusal.RanNo] != 8 {
			t.Errorf("starts %v, results %v", deliverer.starts, got)
		}
	})
}
