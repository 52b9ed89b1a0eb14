package handover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"snipehub.example/delivery"
	"snipehub.example/dispatch"
	"snipehub.example/refusal"
	"snipehub.example/roster"
	"snipehub.example/ticket"
)

var (
	from = ticket.Owner{DataCenter: "dc1", VM: "a", Process: "p", Incarnation: 1}
	to   = ticket.Owner{DataCenter: "dc1", VM: "b", Process: "p", Incarnation: 1}
)

// fakeDispatcher is the receiver's dispatcher: each task takes a second, and starts are
// counted.
type fakeDispatcher struct {
	mu     sync.Mutex
	starts map[string]int
	err    error
	// turnedDown is the id of a task that is refused.
	turnedDown string
}

func (d *fakeDispatcher) Free() int { return 7 }

func (d *fakeDispatcher) Submit(b dispatch.Submission) error {
	if d.err != nil {
		return d.err
	}
	if b.Job == d.turnedDown {
		return refusal.New(refusal.Overloaded, "")
	}
	d.mu.Lock()
	d.starts[b.Job]++
	d.mu.Unlock()
	time.AfterFunc(time.Second, func() {
		b.Done(0, dispatch.Result{Ran: refusal.RanYes, Done: true, Status: 200, Answer: b.Tasks[0]})
	})
	return nil
}

var errLost = errors.New("lost")

// fakeNetwork connects a sender with a receiver. For each request, fault decides what
// happens to it.
type fakeNetwork struct {
	r        *Receiver
	fault    func(n int, req Request) fate
	gone     bool
	requests int
	sent     []Request
}

type fate int

const (
	arrives fate = iota
	notSent
	requestLost
	answerLost
	twice
	restarted
)

func (net *fakeNetwork) Gone(ticket.Owner) bool { return net.gone }

func (net *fakeNetwork) Ask(ctx context.Context, _ roster.Known, req Request) (Response, error) {
	net.requests++
	req = throughJSON(req)
	net.sent = append(net.sent, req)
	switch net.fault(net.requests, req) {
	case notSent:
		return Response{}, fmt.Errorf("%w: refused", ErrNotSent)
	case requestLost:
		return Response{}, errLost
	case answerLost:
		_, _ = net.r.Handle(ctx, req)
		return Response{}, errLost
	case twice:
		go func() { _, _ = net.r.Handle(ctx, req) }()
	case restarted:
		next := to
		next.Incarnation++
		net.r = NewReceiver(next, net.r.dispatcher, time.Now)
	}
	return net.r.Handle(ctx, req)
}

// throughJSON returns the request as the receiver decodes it.
func throughJSON(req Request) Request {
	b, err := json.Marshal(req)
	var out Request
	if err != nil || json.Unmarshal(b, &out) != nil {
		panic("request does not survive JSON")
	}
	return out
}

func tasks(n int) []dispatch.HandoverTask {
	out := make([]dispatch.HandoverTask, n)
	for i := range out {
		out[i] = dispatch.HandoverTask{Job: "job", Index: i, Kind: "price", Body: []byte(`{}`), Expires: time.Now().Add(10 * time.Second)}
	}
	return out
}

// A batch meets every fault of the network. In each case every task starts at most once
// and gets one outcome, and "not run" is reported only for a task that never starts.
func TestFaults(t *testing.T) {
	always := func(f fate) func(int, Request) fate { return func(int, Request) fate { return f } }
	first := func(f fate) func(int, Request) fate {
		return func(n int, _ Request) fate {
			if n == 1 {
				return f
			}
			return arrives
		}
	}
	tests := []struct {
		name   string
		fault  func(n int, req Request) fate
		gone   bool
		err    error
		want   delivery.Kind
		starts int
	}{
		{"no fault", always(arrives), false, nil, delivery.Done, 1},
		{"never connected", always(notSent), false, nil, delivery.NotRun, 0},
		{"first request lost", first(requestLost), false, nil, delivery.Done, 1},
		{"first answer lost", first(answerLost), false, nil, delivery.Done, 1},
		{"every answer lost", always(answerLost), false, nil, delivery.Unknown, 1},
		{"every request lost", always(requestLost), false, nil, delivery.Unknown, 0},
		{"lost, then not connected", func(n int, _ Request) fate {
			if n == 1 {
				return answerLost
			}
			return notSent
		}, false, nil, delivery.Unknown, 1},
		{"every request twice", always(twice), false, nil, delivery.Done, 1},
		{"restarted after the first", func(n int, _ Request) fate {
			if n == 1 {
				return answerLost
			}
			return restarted
		}, false, nil, delivery.Unknown, 1},
		{"restarted before the first", always(restarted), false, nil, delivery.Unknown, 0},
		{"gone for good", always(requestLost), true, nil, delivery.Unknown, 0},
		{"turned down", always(arrives), false, refusal.New(refusal.Overloaded, ""), delivery.NotRun, 0},
		{"turned down, answer lost", first(answerLost), false, refusal.New(refusal.Overloaded, ""), delivery.NotRun, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dispatcher := &fakeDispatcher{starts: make(map[string]int), err: tt.err}
				net := &fakeNetwork{r: NewReceiver(to, dispatcher, time.Now), fault: tt.fault, gone: tt.gone}
				began := time.Now()
				send(t, NewSender(from, net, time.Now), tt.want)
				if took := time.Since(began); tt.gone && took > time.Second {
					t.Errorf("waited %v for a peer that is gone", took)
				}
				time.Sleep(time.Minute)
				for i := range 3 {
					if n := dispatcher.starts[fmt.Sprintf("job/%d/0", i)]; n != tt.starts {
						t.Errorf("task %d started %d times, want %d", i, n, tt.starts)
					}
				}
			})
		})
	}
}

func send(t *testing.T, s *Sender, want delivery.Kind) {
	t.Helper()
	got := make([]int, 3)
	s.Send(t.Context(), roster.Known{Member: roster.Member{Owner: to}}, tasks(3), func(i int, o delivery.Outcome) {
		got[i]++
		if o.Kind != want {
			t.Errorf("task %d: kind %d, want %d (%s)", i, o.Kind, want, o.Reason)
		}
	}, func(int) {})
	for i, n := range got {
		if n != 1 {
			t.Errorf("task %d has %d outcomes", i, n)
		}
	}
}

// A duplicate of a request is delayed and arrives when its batch has long ended and another
// one has followed. The receiver has forgotten the batch by then; if it treated the request
// as new, every task would run twice.
func TestLateCopy(t *testing.T) {
	for _, err := range []error{nil, refusal.New(refusal.Overloaded, "")} {
		synctest.Test(t, func(t *testing.T) {
			dispatcher := &fakeDispatcher{starts: make(map[string]int), err: err}
			net := &fakeNetwork{r: NewReceiver(to, dispatcher, time.Now), fault: func(int, Request) fate { return arrives }}
			want := delivery.Done
			if err != nil {
				want = delivery.NotRun
			}
			s := NewSender(from, net, time.Now)
			send(t, s, want)
			late := net.sent[0]
			started := dispatcher.starts["job/0/0"]
			dispatcher.err = nil
			s.Send(t.Context(), roster.Known{Member: roster.Member{Owner: to}},
				[]dispatch.HandoverTask{{Job: "next", Kind: "price", Expires: time.Now().Add(time.Second)}}, func(int, delivery.Outcome) {}, func(int) {})
			a, _ := net.r.Handle(t.Context(), late)
			if a.State != Forgotten || dispatcher.starts["job/0/0"] != started {
				t.Errorf("state %s, %d starts, want %d", a.State, dispatcher.starts["job/0/0"], started)
			}
			time.Sleep(time.Minute)
		})
	}
}

// A backend server answers a task of a handover with an error status. The job's answer
// must contain the reason, as it does for a task that ran on a backend server of the
// owner.
func TestReasonComesBack(t *testing.T) {
	r := result(3, dispatch.Result{Ran: refusal.RanYes, Done: true, Status: 503, Answer: []byte("x"), Type: "text/plain"})
	want := delivery.Outcome{Kind: delivery.Ran, Cause: delivery.Status, Status: 503, Body: []byte("x"), Type: "text/plain", Reason: "status 503"}
	if got := r.outcome(); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// Each answer is a message. A batch whose tasks end together must cost one answer, but a
// job's last task must not be delayed for the tasks of other jobs.
func TestAnswersAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := &fakeDispatcher{starts: make(map[string]int)}
		net := &fakeNetwork{r: NewReceiver(to, dispatcher, time.Now), fault: func(int, Request) fate { return arrives }}
		send(t, NewSender(from, net, time.Now), delivery.Done)
		if net.requests > 2 {
			t.Errorf("%d requests for one batch", net.requests)
		}
	})
}

// A dispatcher stops while it runs tasks of a peer. It must wait until the tasks have
// ended and the peer has their results, and refuse new ones as "not run".
func TestStopCutsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := &fakeDispatcher{starts: make(map[string]int)}
		net := &fakeNetwork{r: NewReceiver(to, dispatcher, time.Now), fault: func(int, Request) fate { return arrives }}
		s := NewSender(from, net, time.Now)
		var sent sync.WaitGroup
		sent.Go(func() { send(t, s, delivery.Done) })
		synctest.Wait()
		net.r.Stop()
		began := time.Now()
		net.r.Drain(t.Context())
		if took := time.Since(began); took < 900*time.Millisecond {
			t.Errorf("drained after %v, with tasks under way", took)
		}
		sent.Wait()
		send(t, s, delivery.NotRun)
	})
}

// A peer accepts all but one task of a batch. The refused one must be reported at once,
// so that it can run elsewhere; if it were delayed until further results are due, its job
// would wait for a second.
func TestTurnedDownIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := &fakeDispatcher{starts: make(map[string]int), turnedDown: "job/1/0"}
		net := &fakeNetwork{r: NewReceiver(to, dispatcher, time.Now), fault: func(int, Request) fate { return arrives }}
		began := time.Now()
		NewSender(from, net, time.Now).Send(t.Context(), roster.Known{Member: roster.Member{Owner: to}}, tasks(3), func(i int, o delivery.Outcome) {
			if took := time.Since(began); i == 1 && (o.Kind != delivery.NotRun || took > 0) {
				t.Errorf("kind %d after %v", o.Kind, took)
			}
		}, func(int) {})
	})
}
