package hub

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"snipehub.example/counter"
	"snipehub.example/dispatch"
	"snipehub.example/job"
	"snipehub.example/refusal"
	"snipehub.example/settings"
	"snipehub.example/ticket"
)

// refusalCase provokes a refusal in a world whose node 0 owns the identity.
type refusalCase struct {
	*world
	owner, other *node
	id           ticket.JobID
	// sendLateCopy delivers a copy of the order that was delayed in the network. The
	// default is a PUT of id.
	sendLateCopy func()
	// modify changes the next request and the settings with which it is handled.
	modify func(cfg *settings.Config, req *http.Request)
}

// nodeService makes a node the backend of a counter.
type nodeService struct {
	*jobService
	*node
}

func (nodeService) Ready() bool { return true }
func (nodeService) Status() any { return nil }

// StatusAll is for operators only and is not called here.
func (nodeService) StatusAll(context.Context) any { return nil }

// Submit selects the jobService's method; the node's Submit is that of a dispatcher.
func (f nodeService) Submit(ctx context.Context, s job.Submission) (job.Answer, error) {
	return f.jobService.Submit(ctx, s)
}

// Cancel selects the jobService's method.
func (f nodeService) Cancel(ctx context.Context, c job.Caller, id ticket.JobID) (job.Answer, error) {
	return f.jobService.Cancel(ctx, c, id)
}

// tokenHash is the SHA-256 of "token-a".
const tokenHash = "a70bf50e531ce1a817561f2f5d5b6645d4e806becf58ccc5e8cf6b8045a090a8"

// http sends a request to the counter of a node. It returns the refusal, or nil if the
// answer is not a refusal.
func (r *refusalCase) http(n *node, method, path, body, token string) *refusal.Refusal {
	cfg := settings.Default()
	cfg.Limits.BodyBytes = 200
	cfg.Callers.Tokens = []settings.Token{{Caller: lake.Name, SHA256: tokenHash}}
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Prefer", "respond-async")
	if r.modify != nil {
		r.modify(&cfg, req)
		r.modify = nil
	}
	c := counter.New(slog.New(slog.DiscardHandler), cfg, nodeService{n.jobService, n}, nil)
	rec := httptest.NewRecorder()
	c.ServeHTTP(rec, req)
	if rec.Code < http.StatusBadRequest {
		return nil
	}
	var out refusal.Refusal
	if err := json.Unmarshal(rec.Body.Bytes(), &out); err != nil {
		return nil
	}
	return &out
}

const order = `{"kind":"price","tasks":["order"]}`

func (r *refusalCase) putOrder(n *node) *refusal.Refusal {
	return r.http(n, http.MethodPut, "/v1/jobs/"+r.id.String(), order, "token-a")
}

// refusedByDispatcher submits the order while the owner's dispatcher refuses submissions
// with the code.
func refusedByDispatcher(code refusal.Code) func(r *refusalCase) *refusal.Refusal {
	return func(r *refusalCase) *refusal.Refusal {
		r.owner.submitErr = refusal.New(code, "")
		out := r.putOrder(r.other)
		r.owner.submitErr = nil
		return out
	}
}

// runOrder submits the order and completes it.
func (r *refusalCase) runOrder() {
	r.putOrder(r.owner)
	r.owner.finishOldest()
}

func (r *refusalCase) request(q job.Request) *refusal.Refusal {
	q.Caller, q.Kind, q.Body = lake, "price", []byte(`"order"`)
	_, err := r.other.jobService.Request(context.Background(), q)
	return refusalFrom(err)
}

// submitUnderKey submits the order under a key, and once more as the late copy.
func (r *refusalCase) submitUnderKey(k string) *refusal.Refusal {
	r.sendLateCopy = func() {
		r.logFault = ""
		_, _ = r.owner.submitWithKey(k, `"order"`)
	}
	_, err := r.other.submitWithKey(k, `"order"`)
	return refusalFrom(err)
}

// refusals has a case for each code. The order is submitted under r.id, or as the case
// says under a key or without an identity. What the refusal says about it is compared
// with the starts at the backend servers.
var refusals = []struct {
	code    refusal.Code
	provoke func(r *refusalCase) *refusal.Refusal
}{
	{refusal.BadRequest, func(r *refusalCase) *refusal.Refusal {
		r.putOrder(r.owner)
		return r.http(r.other, http.MethodPut, "/v1/jobs/"+r.id.String(), `{"kind":`, "token-a")
	}},
	{refusal.Unauthorized, func(r *refusalCase) *refusal.Refusal {
		r.putOrder(r.owner)
		return r.http(r.other, http.MethodPut, "/v1/jobs/"+r.id.String(), order, "wrong")
	}},
	{refusal.NotFound, func(r *refusalCase) *refusal.Refusal {
		r.runOrder()
		id := r.id
		id.Number++
		return r.http(r.other, http.MethodPut, "/v1/jobs/"+id.String(), order, "token-a")
	}},
	{refusal.TooLarge, func(r *refusalCase) *refusal.Refusal {
		r.putOrder(r.owner)
		return r.http(r.other, http.MethodPut, "/v1/jobs/"+r.id.String(), `"`+strings.Repeat("a", 300)+`"`, "token-a")
	}},
	{refusal.NoRoute, refusedByDispatcher(refusal.NoRoute)},
	{refusal.NeedsID, func(r *refusalCase) *refusal.Refusal {
		r.other.repeatable = false
		r.sendLateCopy = func() { r.request(job.Request{}) }
		return r.request(job.Request{})
	}},
	{refusal.NoPath, func(r *refusalCase) *refusal.Refusal {
		r.putOrder(r.owner)
		return r.http(r.other, http.MethodPut, "/v1/jobs/"+r.id.String()+"/tasks", order, "token-a")
	}},
	{refusal.NoMethod, func(r *refusalCase) *refusal.Refusal {
		r.putOrder(r.owner)
		return r.http(r.other, http.MethodPost, "/v1/jobs/"+r.id.String(), order, "token-a")
	}},
	{refusal.TooSlow, func(r *refusalCase) *refusal.Refusal {
		r.putOrder(r.owner)
		r.modify = func(_ *settings.Config, req *http.Request) {
			req.Body = io.NopCloser(iotest.ErrReader(os.ErrDeadlineExceeded))
		}
		return r.putOrder(r.other)
	}},
	{refusal.Busy, func(r *refusalCase) *refusal.Refusal {
		r.putOrder(r.owner)
		r.modify = func(cfg *settings.Config, _ *http.Request) { cfg.Limits.OpenRequests = 0 }
		return r.putOrder(r.other)
	}},
	{refusal.Burned, func(r *refusalCase) *refusal.Refusal {
		refusedByDispatcher(refusal.Overloaded)(r)
		r.advance(r.limits.AnswerRetention)
		r.owner.jobService.owner.Stats()
		return r.putOrder(r.other)
	}},
	{refusal.Forgotten, func(r *refusalCase) *refusal.Refusal {
		r.runOrder()
		r.advance(r.limits.AnswerRetention)
		r.owner.jobService.owner.Stats()
		return r.putOrder(r.other)
	}},
	{refusal.OwnerGone, func(r *refusalCase) *refusal.Refusal {
		r.putOrder(r.owner)
		r.startNode(0)
		return r.putOrder(r.other)
	}},
	{refusal.Mismatch, func(r *refusalCase) *refusal.Refusal {
		r.runOrder()
		return r.http(r.other, http.MethodPut, "/v1/jobs/"+r.id.String(), `{"kind":"price","tasks":["other"]}`, "token-a")
	}},
	{refusal.OutOfRange, func(r *refusalCase) *refusal.Refusal {
		r.id.Seq = r.limits.Range
		return r.putOrder(r.other)
	}},
	{refusal.Cancelled, func(r *refusalCase) *refusal.Refusal {
		return r.http(r.owner, http.MethodDelete, "/v1/jobs/"+r.id.String(), "", "token-a")
	}},
	{refusal.WindowFull, func(r *refusalCase) *refusal.Refusal {
		r.http(r.owner, http.MethodPut, "/v1/jobs/"+r.id.String(), `{"kind":"price","tasks":["other"]}`, "token-a")
		r.id.Seq = uint64(r.limits.Window)
		return r.putOrder(r.other)
	}},
	{refusal.NotSubmitted, func(r *refusalCase) *refusal.Refusal {
		return r.http(r.other, http.MethodGet, "/v1/jobs/"+r.id.String(), "", "token-a")
	}},
	{refusal.Failed, func(r *refusalCase) *refusal.Refusal {
		r.owner.immediateResult = &dispatch.Result{Ran: refusal.RanUnknown, Error: "reset"}
		defer func() { r.owner.immediateResult = nil }()
		return r.request(job.Request{ID: &r.id})
	}},
	{refusal.Overloaded, refusedByDispatcher(refusal.Overloaded)},
	{refusal.Stopping, func(r *refusalCase) *refusal.Refusal {
		_ = r.owner.jobService.owner.Stop(context.Background())
		return r.putOrder(r.other)
	}},
	{refusal.Hopeless, refusedByDispatcher(refusal.Hopeless)},
	{refusal.OverQuota, refusedByDispatcher(refusal.OverQuota)},
	{refusal.NoServer, refusedByDispatcher(refusal.NoServer)},
	{refusal.OwnerUnreachable, func(r *refusalCase) *refusal.Refusal {
		r.answersLost[r.owner.at] = true
		defer delete(r.answersLost, r.owner.at)
		return r.putOrder(r.other)
	}},
	{refusal.LogDown, func(r *refusalCase) *refusal.Refusal {
		r.logFault = logDown
		return r.submitUnderKey(uuidAt(r.now, 1))
	}},
	{refusal.BadKey, func(r *refusalCase) *refusal.Refusal { return r.submitUnderKey("order-17") }},
	{refusal.KeyEarly, func(r *refusalCase) *refusal.Refusal { return r.submitUnderKey(uuidAt(r.now.Add(30*time.Second), 1)) }},
	{refusal.KeysBusy, func(r *refusalCase) *refusal.Refusal {
		r.logFault = appendLost
		for i := range 20 {
			_, _ = r.other.submitWithKey(uuidAt(r.now, 2+i), `"filler"`)
		}
		return r.submitUnderKey(uuidAt(r.now, 1))
	}},
	{refusal.CutOff, refusedByDispatcher(refusal.CutOff)},
	{refusal.Internal, func(r *refusalCase) *refusal.Refusal {
		r.owner.panics = true
		defer func() { r.owner.panics = false }()
		return r.putOrder(r.owner)
	}},
}

// An order is refused in each possible way, and a delayed copy of it arrives afterwards,
// when there is capacity again. If the refusal said "not run", the caller may have
// ordered anew by then, so the backend servers must never start the first order. If the
// refusal said that a retry changes nothing, the copy must start nothing more. In all
// other cases the order may have started, but only once.
func TestEveryRefusalIsTrue(t *testing.T) {
	covered := make(map[refusal.Code]bool)
	for _, c := range refusals {
		covered[c.code] = true
		t.Run(string(c.code), func(t *testing.T) {
			w := newWorld(3)
			r := &refusalCase{world: w, owner: w.nodes[0], other: w.nodes[1]}
			r.id = r.owner.mint().Job(0)
			got := c.provoke(r)
			entry, _ := refusal.Find(c.code)
			want := refusal.New(c.code, "").ForNamedIdentity()
			if got == nil || got.Code != c.code || got.Ran != want.Ran || got.Again != want.Again {
				t.Fatalf("got %+v, want %+v", got, entry)
			}
			before := w.starts[`"order"`]
			if r.sendLateCopy == nil {
				r.sendLateCopy = func() { r.putOrder(r.other) }
			}
			r.sendLateCopy()
			r.owner.finishOldest()
			r.advance(time.Minute)
			r.sendLateCopy()
			after := w.starts[`"order"`]
			switch {
			case got.Ran == refusal.RanNo && after > 0:
				t.Errorf("said not run, and %d started", after)
			case got.Again == refusal.AgainNever && after != before:
				t.Errorf("said that a repetition changes nothing, and %d more started", after-before)
			case after > 1:
				t.Errorf("%d starts", after)
			}
		})
	}
	for _, e := range refusal.All() {
		if !covered[e.Code] {
			t.Errorf("%s: no case brings it about", e.Code)
		}
	}
}
