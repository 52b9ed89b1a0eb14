package job_test

import (
	"context"
	"testing"

	"snipehub.example/dispatch"
	"snipehub.example/job"
	"snipehub.example/refusal"
	"snipehub.example/ticket"
)

func (b *bench) request(id ticket.JobID) (job.Reply, error) {
	return b.o.Request(context.Background(), job.Request{Caller: lake, ID: &id, Kind: "charge", Body: []byte(`7 euro`)})
}

// end makes the fake end each batch at once with the result.
func (b *bench) end(r dispatch.Result) {
	b.p.onSubmit = func(batch dispatch.Batch) { batch.Done(0, r) }
}

// A charge must not be repeated. The caller that heard nothing sends it again
// and gets the same whole reply; one whose outcome is open stays failed, and one
// that was not run never runs, whatever the backend servers can do by then.
func TestRequestRunsOnce(t *testing.T) {
	done := dispatch.Result{Ran: refusal.RanYes, Done: true, Status: 201, Type: "text/plain", Answer: []byte("charged")}
	for _, c := range []struct {
		name string
		r    dispatch.Result
		code refusal.Code
		ran  refusal.Ran
	}{
		{"done", done, "", ""},
		{"reset in mid-answer", dispatch.Result{Ran: refusal.RanUnknown, Error: "reset"}, refusal.Failed, refusal.RanUnknown},
		{"refused by all", dispatch.Result{Ran: refusal.RanNo, Error: "refused"}, refusal.NoServer, refusal.RanNo},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, small)
			id := b.mint(lake).Job(0)
			b.end(c.r)
			for range 3 {
				got, err := b.request(id)
				if c.code != "" {
					b.want(err, c.code, c.ran)
				} else if err != nil || got.Status != 201 || string(got.Body) != "charged" || got.Type != "text/plain" {
					t.Errorf("%+v, %v", got, err)
				}
				b.end(done)
			}
			b.wantStarts(id, 1)
		})
	}
}

// A request without an identity is under way when the process stops: it is not
// cut off. Its outcome is reported twice; counted twice, the stop would not wait
// for another request.
func TestPassedRequestIsNotCut(t *testing.T) {
	b := newBench(t, small)
	stopped, cancel := context.WithCancel(context.Background())
	cancel()
	r := job.Request{Caller: lake, Kind: "price"}
	var first dispatch.Batch
	b.p.onSubmit = func(batch dispatch.Batch) {
		if err := b.o.Stop(stopped); err == nil {
			t.Error("stopped while a request runs")
		}
		first = batch
		batch.Done(0, dispatch.Result{Ran: refusal.RanYes, Done: true, Status: 200})
	}
	if got, err := b.o.Pass(context.Background(), r); err != nil || got.Status != 200 {
		t.Errorf("%+v, %v", got, err)
	}
	first.Done(0, dispatch.Result{Ran: refusal.RanYes, Done: true, Status: 200})
	if err := b.o.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	if n := b.o.Stats().Running; n != 0 {
		t.Errorf("%d requests are said to run", n)
	}
	_, err := b.o.Pass(context.Background(), r)
	b.want(err, refusal.Stopping, refusal.RanNo)
}
