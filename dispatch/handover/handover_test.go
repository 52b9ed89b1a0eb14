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

// fakeDispatcher is a receiver's dispatcher: tasks take a second, and every start is
// counted.
type fakeDispatcher struct {
	mu     sync.Mutex
	starts map[string]int
	err    error
	// turnedDown is a task for which there is no room.
	turnedDown string
}

func (p *fakeDispatcher) Free() int { return 7 }

func (p *fakeDispatcher) Submit(b dispatch.Batch) error {
	if p.err != nil {
		return p.err
	}
	if b.Job == p.turnedDown {
		return refusal.New(refusal.Overloaded, "")
	}
	p.mu.Lock()
	p.starts[b.Job]++
	p.mu.Unlock()
	time.AfterFunc(time.Second, func() {
		b.Done(0, dispatch.Result{Ran: refusal.RanYes, Done: true, Status: 200, Answer: b.Tasks[0]})
	})
	return nil
}

var errLost = errors.New("lost")

// fakeNetwork is a network between a sender and a receiver. Each ask goes through fault,
// which says what happens to it.
type fakeNetwork struct {
	r     *Receiver
	fault func(n int, a Ask) fate
	gone  bool
	asks  int
	sent  []Ask
}

type fate int

const (
	arrives fate = iota
	notSent
	askLost
	answerLost
	twice
	restarted
)

func (w *fakeNetwork) Gone(ticket.Owner) bool { return w.gone }

func (w *fakeNetwork) Ask(ctx context.Context, _ roster.Known, a Ask) (Answer, error) {
	w.asks++
	a = throughJSON(a)
	w.sent = append(w.sent, a)
	switch w.fault(w.asks, a) {
	case notSent:
		return Answer{}, fmt.Errorf("%w: refused", ErrNotSent)
	case askLost:
		return Answer{}, errLost
	case answerLost:
		_, _ = w.r.Handle(ctx, a)
		return Answer{}, errLost
	case twice:
		go func() { _, _ = w.r.Handle(ctx, a) }()
	case restarted:
		next := to
		next.Incarnation++
		w.r = NewReceiver(next, w.r.dispatcher, time.Now)
	}
	return w.r.Handle(ctx, a)
}

// throughJSON sends the ask through its form on the wire.
func throughJSON(a Ask) Ask {
	b, err := json.Marshal(a)
	var out Ask
	if err != nil || json.Unmarshal(b, &out) != nil {
		panic("an ask that is no JSON")
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

// A batch on its way to a peer meets every fault of the way. Whatever happens,
// each task starts at most once, each gets one outcome, and "not run" is said
// only of a task that never starts.
func TestFaults(t *testing.T) {
	always := func(f fate) func(int, Ask) fate { return func(int, Ask) fate { return f } }
	first := func(f fate) func(int, Ask) fate {
		return func(n int, _ Ask) fate {
			if n == 1 {
				return f
			}
			return arrives
		}
	}
	tests := []struct {
		name   string
		fault  func(n int, a Ask) fate
		gone   bool
		err    error
		want   delivery.Kind
		starts int
	}{
		{"no fault", always(arrives), false, nil, delivery.Done, 1},
		{"never connected", always(notSent), false, nil, delivery.NotRun, 0},
		{"first ask lost", first(askLost), false, nil, delivery.Done, 1},
		{"first answer lost", first(answerLost), false, nil, delivery.Done, 1},
		{"every answer lost", always(answerLost), false, nil, delivery.Unknown, 1},
		{"every ask lost", always(askLost), false, nil, delivery.Unknown, 0},
		{"lost, then not connected", func(n int, _ Ask) fate {
			if n == 1 {
				return answerLost
			}
			return notSent
		}, false, nil, delivery.Unknown, 1},
		{"every ask twice", always(twice), false, nil, delivery.Done, 1},
		{"restarted after the first", func(n int, _ Ask) fate {
			if n == 1 {
				return answerLost
			}
			return restarted
		}, false, nil, delivery.Unknown, 1},
		{"restarted before the first", always(restarted), false, nil, delivery.Unknown, 0},
		{"gone for good", always(askLost), true, nil, delivery.Unknown, 0},
		{"turned down", always(arrives), false, refusal.New(refusal.Overloaded, ""), delivery.NotRun, 0},
		{"turned down, answer lost", first(answerLost), false, refusal.New(refusal.Overloaded, ""), delivery.NotRun, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				place := &fakeDispatcher{starts: make(map[string]int), err: tt.err}
				w := &fakeNetwork{r: NewReceiver(to, place, time.Now), fault: tt.fault, gone: tt.gone}
				began := time.Now()
				send(t, NewSender(from, w, time.Now), tt.want)
				if took := time.Since(began); tt.gone && took > time.Second {
					t.Errorf("a peer that is gone was waited for %v", took)
				}
				time.Sleep(time.Minute)
				for i := range 3 {
					if n := place.starts[fmt.Sprintf("job/%d/0", i)]; n != tt.starts {
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

// A copy of an ask stays behind on the way and arrives when its batch is long
// over and another one has followed. The receiver has forgotten the batch by
// then; were it taken for a new one, every task would run twice.
func TestLateCopy(t *testing.T) {
	for _, err := range []error{nil, refusal.New(refusal.Overloaded, "")} {
		synctest.Test(t, func(t *testing.T) {
			place := &fakeDispatcher{starts: make(map[string]int), err: err}
			w := &fakeNetwork{r: NewReceiver(to, place, time.Now), fault: func(int, Ask) fate { return arrives }}
			want := delivery.Done
			if err != nil {
				want = delivery.NotRun
			}
			s := NewSender(from, w, time.Now)
			send(t, s, want)
			late := w.sent[0]
			started := place.starts["job/0/0"]
			place.err = nil
			s.Send(t.Context(), roster.Known{Member: roster.Member{Owner: to}},
				[]dispatch.HandoverTask{{Job: "next", Kind: "price", Expires: time.Now().Add(time.Second)}}, func(int, delivery.Outcome) {}, func(int) {})
			a, _ := w.r.Handle(t.Context(), late)
			if a.State != Forgotten || place.starts["job/0/0"] != started {
				t.Errorf("state %s, %d starts, want %d", a.State, place.starts["job/0/0"], started)
			}
			time.Sleep(time.Minute)
		})
	}
}

// A backend server answers a task with an error status. Its caller reads in the job's answer
// what went wrong; without the reason, the task of a job that was handed over would have
// failed for nothing, while the same task on a backend server of the owner names the status.
func TestReasonComesBack(t *testing.T) {
	r := result(3, dispatch.Result{Ran: refusal.RanYes, Done: true, Status: 503, Answer: []byte("x"), Type: "text/plain"})
	want := delivery.Outcome{Kind: delivery.Ran, Cause: delivery.Status, Status: 503, Body: []byte("x"), Type: "text/plain", Reason: "status 503"}
	if got := r.outcome(); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// Each answer is a message. A batch whose tasks end together costs one, and a
// job's last task is not kept back for those of other jobs.
func TestAnswersAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		place := &fakeDispatcher{starts: make(map[string]int)}
		w := &fakeNetwork{r: NewReceiver(to, place, time.Now), fault: func(int, Ask) fate { return arrives }}
		send(t, NewSender(from, w, time.Now), delivery.Done)
		if w.asks > 2 {
			t.Errorf("%d asks for one batch", w.asks)
		}
	})
}

// A dispatcher stops while it runs tasks of a peer. The tasks end, the peer is
// told, and only then the process goes; new ones are turned down with "not run".
func TestStopCutsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		place := &fakeDispatcher{starts: make(map[string]int)}
		w := &fakeNetwork{r: NewReceiver(to, place, time.Now), fault: func(int, Ask) fate { return arrives }}
		s := NewSender(from, w, time.Now)
		var sent sync.WaitGroup
		sent.Go(func() { send(t, s, delivery.Done) })
		synctest.Wait()
		w.r.Stop()
		began := time.Now()
		w.r.Drain(t.Context())
		if took := time.Since(began); took < 900*time.Millisecond {
			t.Errorf("drained after %v, with tasks under way", took)
		}
		sent.Wait()
		send(t, s, delivery.NotRun)
	})
}

// A peer has room for all but one task of a batch. The one it turns down goes
// elsewhere at once; kept back with the results that are still to come, it would
// make its job wait for a second.
func TestTurnedDownIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		place := &fakeDispatcher{starts: make(map[string]int), turnedDown: "job/1/0"}
		w := &fakeNetwork{r: NewReceiver(to, place, time.Now), fault: func(int, Ask) fate { return arrives }}
		began := time.Now()
		NewSender(from, w, time.Now).Send(t.Context(), roster.Known{Member: roster.Member{Owner: to}}, tasks(3), func(i int, o delivery.Outcome) {
			if took := time.Since(began); i == 1 && (o.Kind != delivery.NotRun || took > 0) {
				t.Errorf("kind %d after %v", o.Kind, took)
			}
		}, func(int) {})
	})
}
