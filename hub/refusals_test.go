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

// refusing is a world whose node 0 is refused something, over HTTP.
type refusing struct {
	*world
	owner, other *node
	id           ticket.JobID
	// late sends the copy that was long on its way; by default a PUT of id.
	late func()
	// tune changes the next request and the settings that it meets.
	tune func(cfg *settings.Config, req *http.Request)
}

// front makes a node what stands behind the counter.
type front struct {
	*desk
	*node
}

func (front) Ready() bool { return true }
func (front) Status() any { return nil }

// StatusAll is for operators and not asked here.
func (front) StatusAll(context.Context) any { return nil }

// Submit picks the desk's method; the node's is that of the placer.
func (f front) Submit(ctx context.Context, s job.Submission) (job.Answer, error) {
	return f.desk.Submit(ctx, s)
}

// Cancel picks the desk's method.
func (f front) Cancel(ctx context.Context, c job.Caller, id ticket.JobID) (job.Answer, error) {
	return f.desk.Cancel(ctx, c, id)
}

// tokenHash is the SHA-256 of "token-a".
const tokenHash = "a70bf50e531ce1a817561f2f5d5b6645d4e806becf58ccc5e8cf6b8045a090a8"

// http sends a request to a node's counter and returns the refusal, if it is
// one.
func (r *refusing) http(n *node, method, path, body, token string) *refusal.Refusal {
	cfg := settings.Default()
	cfg.Limits.BodyBytes = 200
	cfg.Callers.Tokens = []settings.Token{{Caller: lake.Name, SHA256: tokenHash}}
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Prefer", "respond-async")
	if r.tune != nil {
		r.tune(&cfg, req)
		r.tune = nil
	}
	c := counter.New(slog.New(slog.DiscardHandler), cfg, front{n.desk, n}, nil)
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

func (r *refusing) put(n *node) *refusal.Refusal {
	return r.http(n, http.MethodPut, "/v1/jobs/"+r.id.String(), order, "token-a")
}

// placed answers by the dispatch package's refusal.
func placed(code refusal.Code) func(r *refusing) *refusal.Refusal {
	return func(r *refusing) *refusal.Refusal {
		r.owner.refuse = refusal.New(code, "")
		out := r.put(r.other)
		r.owner.refuse = nil
		return out
	}
}

// ran submits the order and ends it.
func (r *refusing) ran() {
	r.put(r.owner)
	r.owner.finish()
}

func (r *refusing) request(q job.Request) *refusal.Refusal {
	q.Caller, q.Kind, q.Body = lake, "price", []byte(`"order"`)
	_, err := r.other.desk.Request(context.Background(), q)
	return given(err)
}

// key submits the order under a key, now and as the late copy.
func (r *refusing) key(k string) *refusal.Refusal {
	r.late = func() {
		r.logFault = ""
		_, _ = r.owner.putKey(k, `"order"`)
	}
	_, err := r.other.putKey(k, `"order"`)
	return given(err)
}

// refusals brings about each code. The order is submitted under r.id; what the
// refusal says of it is compared with the backend servers' record.
var refusals = []struct {
	code  refusal.Code
	bring func(r *refusing) *refusal.Refusal
}{
	{refusal.BadRequest, func(r *refusing) *refusal.Refusal {
		r.put(r.owner)
		return r.http(r.other, http.MethodPut, "/v1/jobs/"+r.id.String(), `{"kind":`, "token-a")
	}},
	{refusal.Unauthorized, func(r *refusing) *refusal.Refusal {
		r.put(r.owner)
		return r.http(r.other, http.MethodPut, "/v1/jobs/"+r.id.String(), order, "wrong")
	}},
	{refusal.NotFound, func(r *refusing) *refusal.Refusal {
		r.ran()
		id := r.id
		id.Number++
		return r.http(r.other, http.MethodPut, "/v1/jobs/"+id.String(), order, "token-a")
	}},
	{refusal.TooLarge, func(r *refusing) *refusal.Refusal {
		r.put(r.owner)
		return r.http(r.other, http.MethodPut, "/v1/jobs/"+r.id.String(), `"`+strings.Repeat("a", 300)+`"`, "token-a")
	}},
	{refusal.NoRoute, placed(refusal.NoRoute)},
	{refusal.NeedsID, func(r *refusing) *refusal.Refusal {
		r.other.repeatable = false
		r.late = func() { r.request(job.Request{}) }
		return r.request(job.Request{})
	}},
	{refusal.NoPath, func(r *refusing) *refusal.Refusal {
		r.put(r.owner)
		return r.http(r.other, http.MethodPut, "/v1/jobs/"+r.id.String()+"/tasks", order, "token-a")
	}},
	{refusal.NoMethod, func(r *refusing) *refusal.Refusal {
		r.put(r.owner)
		return r.http(r.other, http.MethodPost, "/v1/jobs/"+r.id.String(), order, "token-a")
	}},
	{refusal.TooSlow, func(r *refusing) *refusal.Refusal {
		r.put(r.owner)
		r.tune = func(_ *settings.Config, req *http.Request) {
			req.Body = io.NopCloser(iotest.ErrReader(os.ErrDeadlineExceeded))
		}
		return r.put(r.other)
	}},
	{refusal.Busy, func(r *refusing) *refusal.Refusal {
		r.put(r.owner)
		r.tune = func(cfg *settings.Config, _ *http.Request) { cfg.Limits.OpenRequests = 0 }
		return r.put(r.other)
	}},
	{refusal.Burned, func(r *refusing) *refusal.Refusal {
		placed(refusal.Overloaded)(r)
		r.pass(r.limits.AnswerRetention)
		r.owner.desk.owner.Stats()
		return r.put(r.other)
	}},
	{refusal.Forgotten, func(r *refusing) *refusal.Refusal {
		r.ran()
		r.pass(r.limits.AnswerRetention)
		r.owner.desk.owner.Stats()
		return r.put(r.other)
	}},
	{refusal.OwnerGone, func(r *refusing) *refusal.Refusal {
		r.put(r.owner)
		r.boot(0)
		return r.put(r.other)
	}},
	{refusal.Mismatch, func(r *refusing) *refusal.Refusal {
		r.ran()
		return r.http(r.other, http.MethodPut, "/v1/jobs/"+r.id.String(), `{"kind":"price","tasks":["other"]}`, "token-a")
	}},
	{refusal.OutOfRange, func(r *refusing) *refusal.Refusal {
		r.id.Seq = r.limits.Range
		return r.put(r.other)
	}},
	{refusal.Cancelled, func(r *refusing) *refusal.Refusal {
		return r.http(r.owner, http.MethodDelete, "/v1/jobs/"+r.id.String(), "", "token-a")
	}},
	{refusal.WindowFull, func(r *refusing) *refusal.Refusal {
		r.http(r.owner, http.MethodPut, "/v1/jobs/"+r.id.String(), `{"kind":"price","tasks":["other"]}`, "token-a")
		r.id.Seq = uint64(r.limits.Window)
		return r.put(r.other)
	}},
	{refusal.NotSubmitted, func(r *refusing) *refusal.Refusal {
		return r.http(r.other, http.MethodGet, "/v1/jobs/"+r.id.String(), "", "token-a")
	}},
	{refusal.Failed, func(r *refusing) *refusal.Refusal {
		r.owner.instant = &dispatch.Result{Ran: refusal.RanUnknown, Error: "reset"}
		defer func() { r.owner.instant = nil }()
		return r.request(job.Request{ID: &r.id})
	}},
	{refusal.Overloaded, placed(refusal.Overloaded)},
	{refusal.Stopping, func(r *refusing) *refusal.Refusal {
		_ = r.owner.desk.owner.Stop(context.Background())
		return r.put(r.other)
	}},
	{refusal.Hopeless, placed(refusal.Hopeless)},
	{refusal.OverQuota, placed(refusal.OverQuota)},
	{refusal.NoServer, placed(refusal.NoServer)},
	{refusal.OwnerUnreachable, func(r *refusing) *refusal.Refusal {
		r.mute[r.owner.at] = true
		defer delete(r.mute, r.owner.at)
		return r.put(r.other)
	}},
	{refusal.LogDown, func(r *refusing) *refusal.Refusal {
		r.logFault = logDown
		return r.key(keyAt(r.now, 1))
	}},
	{refusal.BadKey, func(r *refusing) *refusal.Refusal { return r.key("order-17") }},
	{refusal.KeyEarly, func(r *refusing) *refusal.Refusal { return r.key(keyAt(r.now.Add(30*time.Second), 1)) }},
	{refusal.KeysBusy, func(r *refusing) *refusal.Refusal {
		r.logFault = appendLost
		for i := range 20 {
			_, _ = r.other.putKey(keyAt(r.now, 2+i), `"filler"`)
		}
		return r.key(keyAt(r.now, 1))
	}},
	{refusal.CutOff, placed(refusal.CutOff)},
	{refusal.Internal, func(r *refusing) *refusal.Refusal {
		r.owner.broken = true
		defer func() { r.owner.broken = false }()
		return r.put(r.owner)
	}},
}

// An order is refused in each of the ways that there are. Afterwards a copy of
// it that was long on its way arrives, at a moment when there is room again. If
// the refusal said "not run", the caller has by then ordered anew: the backend
// servers must never have started the first one. If it said anything else, the
// order may have started, but once.
func TestEveryRefusalIsTrue(t *testing.T) {
	brought := make(map[refusal.Code]bool)
	for _, c := range refusals {
		brought[c.code] = true
		t.Run(string(c.code), func(t *testing.T) {
			w := newWorld(3)
			r := &refusing{world: w, owner: w.nodes[0], other: w.nodes[1]}
			r.id = r.owner.mint().Job(0)
			got := c.bring(r)
			entry, _ := refusal.Find(c.code)
			want := refusal.New(c.code, "").ForNamedIdentity()
			if got == nil || got.Code != c.code || got.Ran != want.Ran || got.Again != want.Again {
				t.Fatalf("got %+v, want %+v", got, entry)
			}
			before := w.starts[`"order"`]
			if r.late == nil {
				r.late = func() { r.put(r.other) }
			}
			r.late()
			r.owner.finish()
			r.pass(time.Minute)
			r.late()
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
		if !brought[e.Code] {
			t.Errorf("%s: no case brings it about", e.Code)
		}
	}
}
