package job_test

import (
	"context"
	"testing"

	"snipehub.example/dispatch"
	"snipehub.example/job"
	"snipehub.example/refusal"
	"snipehub.example/ticket"
)

func (f *fixture) request(id ticket.JobID) (job.Reply, error) {
	return f.owner.Request(context.Background(), job.Request{Caller: lake, ID: &id, Kind: "charge", Body: []byte(`7 euro`)})
}

// endAtOnce makes the fakeRunner end each batch at once with the result.
func (f *fixture) endAtOnce(r dispatch.Result) {
	f.runner.onSubmit = func(batch dispatch.Submission) { batch.Done(0, r) }
}

// A charge must not run twice. A caller that got no reply and sends it again must get the
// same complete reply. A charge with an unknown outcome stays failed, and one that was not
// run never runs, even if the backend servers would accept it by then.
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
			f := newFixture(t, smallLimits)
			id := f.mint(lake).Job(0)
			f.endAtOnce(c.r)
			for range 3 {
				got, err := f.request(id)
				if c.code != "" {
					f.wantRefusal(err, c.code, c.ran)
				} else if err != nil || got.Status != 201 || string(got.Body) != "charged" || got.Type != "text/plain" {
					t.Errorf("reply %+v, %v", got, err)
				}
				f.endAtOnce(done)
			}
			f.wantStarts(id, 1)
		})
	}
}

// A request without an identity is running when the process stops, and must be completed.
// Its result is reported twice; if it were counted twice, the stop would not wait for
// another running request.
func TestPassedRequestIsNotCut(t *testing.T) {
	f := newFixture(t, smallLimits)
	stopped, cancel := context.WithCancel(context.Background())
	cancel()
	r := job.Request{Caller: lake, Kind: "price"}
	var first dispatch.Submission
	f.runner.onSubmit = func(batch dispatch.Submission) {
		if err := f.owner.Stop(stopped); err == nil {
			t.Error("Stop returned while a request runs")
		}
		first = batch
		batch.Done(0, dispatch.Result{Ran: refusal.RanYes, Done: true, Status: 200})
	}
	if got, err := f.owner.PassThrough(context.Background(), r); err != nil || got.Status != 200 {
		t.Errorf("reply %+v, %v", got, err)
	}
	first.Done(0, dispatch.Result{Ran: refusal.RanYes, Done: true, Status: 200})
	if err := f.owner.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	if n := f.owner.Stats().Running; n != 0 {
		t.Errorf("%d requests are still counted as running", n)
	}
	_, err := f.owner.PassThrough(context.Background(), r)
	f.wantRefusal(err, refusal.Stopping, refusal.RanNo)
}
