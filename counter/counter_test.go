package counter_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"snipehub.example/counter"
	"snipehub.example/job"
	"snipehub.example/meter"
	"snipehub.example/refusal"
	"snipehub.example/settings"
	"snipehub.example/ticket"
)

// fake answers every call at once, or as its functions say.
type fake struct {
	last   job.Submission
	req    job.Request
	caller job.Caller
	submit func(ctx context.Context, s job.Submission) (job.Answer, error)
	reply  job.Reply
	waited time.Duration
}

func (f *fake) Mint(_ context.Context, c job.Caller) (job.Grant, error) {
	f.caller = c
	return job.Grant{Ticket: "t"}, nil
}

func (f *fake) Submit(ctx context.Context, s job.Submission) (job.Answer, error) {
	f.last = s
	if f.submit != nil {
		return f.submit(ctx, s)
	}
	return job.Answer{Job: s.ID.String(), State: job.Done}, nil
}

func (f *fake) Request(_ context.Context, r job.Request) (job.Reply, error) {
	f.req = r
	return f.reply, nil
}

func (f *fake) Lookup(context.Context, job.Caller, ticket.JobID) (job.Answer, error) {
	return job.Answer{State: job.Running}, nil
}

func (f *fake) Await(_ context.Context, _ job.Caller, _ ticket.JobID, d time.Duration) (job.Answer, error) {
	f.waited = d
	return job.Answer{State: job.Done}, nil
}

func (f *fake) Cancel(context.Context, job.Caller, ticket.JobID) (job.Answer, error) {
	return job.Answer{State: job.Running}, nil
}
func (f *fake) Ready() bool                   { return true }
func (f *fake) Status() any                   { return struct{}{} }
func (f *fake) StatusAll(context.Context) any { return struct{}{} }

const (
	jobPath = "/v1/jobs/dc1.vm0.hub0.1.1.0"
	goodJob = `{"kind":"price","tasks":[1]}`
	key     = "01890a5d-ac96-774b-bcce-b302099a8057"
)

func config() settings.Config {
	cfg := settings.Default()
	h := sha256.Sum256([]byte("secret"))
	cfg.Callers.Tokens = []settings.Token{{Caller: "shop", Team: "north", SHA256: hex.EncodeToString(h[:])}}
	cfg.Limits.BodyBytes = 200
	cfg.Limits.HeaderBytes = 2000
	cfg.Limits.JobTasks = 3
	return cfg
}

func serve(t *testing.T, cfg settings.Config, f *fake, r *http.Request) *httptest.ResponseRecorder {
	t.Helper()
	m := meter.New(10, nil)
	defer m.Close()
	w := httptest.NewRecorder()
	counter.New(slog.New(slog.DiscardHandler), cfg, f, m).ServeHTTP(w, r)
	return w
}

// Whatever a caller does wrong, it gets a refusal as JSON that says whether
// anything ran. About a request that names an identity the counter can't say
// "not run": an earlier copy may have run. A caller who was told so would send
// the same order under a new identity, and two vans would drive out.
func TestRefusals(t *testing.T) {
	long := strings.Repeat("a", 300)
	tests := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		code                     refusal.Code
		ran                      refusal.Ran
	}{
		{"no token", "POST", "/v1/tickets", "", []string{"Authorization", ""}, 401, refusal.Unauthorized, refusal.RanNo},
		{"wrong token", "POST", "/v1/tickets", "", []string{"Authorization", "Bearer Secret"}, 401, refusal.Unauthorized, refusal.RanNo},
		{"wrong scheme", "POST", "/v1/tickets", "", []string{"Authorization", "Basic secret"}, 401, refusal.Unauthorized, refusal.RanNo},
		{"wrong token, with id", "PUT", jobPath, goodJob, []string{"Authorization", "x"}, 401, refusal.Unauthorized, refusal.RanUnknown},
		{"no such path", "GET", "/v1/nothing", "", nil, 404, refusal.NoPath, refusal.RanNo},
		{"wrong method", "GET", "/v1/tickets", "", nil, 405, refusal.NoMethod, refusal.RanNo},
		{"malformed id", "PUT", "/v1/jobs/x", goodJob, nil, 404, refusal.NotFound, refusal.RanUnknown},
		{"malformed body", "PUT", jobPath, `{`, nil, 400, refusal.BadRequest, refusal.RanUnknown},
		{"unknown field", "PUT", jobPath, `{"kind":"price","tasks":[1],"speed":1}`, nil, 400, refusal.BadRequest, refusal.RanUnknown},
		{"two values", "PUT", jobPath, goodJob + goodJob, nil, 400, refusal.BadRequest, refusal.RanUnknown},
		{"no kind", "PUT", jobPath, `{"tasks":[1]}`, nil, 400, refusal.BadRequest, refusal.RanUnknown},
		{"no tasks", "PUT", jobPath, `{"kind":"price"}`, nil, 400, refusal.BadRequest, refusal.RanUnknown},
		{"too many tasks", "PUT", jobPath, `{"kind":"price","tasks":[1,2,3,4]}`, nil, 413, refusal.TooLarge, refusal.RanUnknown},
		{"negative time", "PUT", jobPath, `{"kind":"price","tasks":[1],"timeout_ms":-1}`, nil, 400, refusal.BadRequest, refusal.RanUnknown},
		{"too long a time", "PUT", jobPath, `{"kind":"price","tasks":[1],"timeout_ms":9000000}`, nil, 400, refusal.BadRequest, refusal.RanUnknown},
		{"large body", "PUT", jobPath, `{"kind":"` + long + `","tasks":[1]}`, nil, 413, refusal.TooLarge, refusal.RanUnknown},
		{"large header", "PUT", jobPath, goodJob, []string{"X-Long", strings.Repeat(long, 10)}, 413, refusal.TooLarge, refusal.RanUnknown},
		{"malformed wait", "PUT", jobPath, goodJob, []string{"Prefer", "wait=soon"}, 400, refusal.BadRequest, refusal.RanUnknown},
		{"id and key", "PUT", jobPath, goodJob, []string{"Idempotency-Key", key}, 400, refusal.BadRequest, refusal.RanUnknown},
		{"no key", "POST", "/v1/jobs", goodJob, nil, 400, refusal.BadRequest, refusal.RanNo},
		{"malformed key", "POST", "/v1/jobs", goodJob, []string{"Idempotency-Key", "order-7"}, 400, refusal.BadKey, refusal.RanNo},
		{"key of version 4", "POST", "/v1/jobs", goodJob, []string{"Idempotency-Key", "9b2d6ad0-91d2-4c5c-a3a8-d1b2c9f0a111"}, 400, refusal.BadKey, refusal.RanNo},
		{"two keys", "POST", "/v1/jobs", goodJob, []string{"Idempotency-Key", key, "Idempotency-Key", key}, 400, refusal.BadRequest, refusal.RanUnknown},
		{"large request", "POST", "/v1/requests/price", long, nil, 413, refusal.TooLarge, refusal.RanNo},
		{"large request with key", "POST", "/v1/requests/price", long, []string{"Idempotency-Key", key}, 413, refusal.TooLarge, refusal.RanUnknown},
		{"request with malformed id", "POST", "/v1/requests/price", "1", []string{"Snipe-Job", "x"}, 404, refusal.NotFound, refusal.RanUnknown},
		{"request with id and key", "POST", "/v1/requests/price", "1", []string{"Snipe-Job", "a.b.c.1.1.0", "Idempotency-Key", key}, 400, refusal.BadRequest, refusal.RanUnknown},
		{"status of nothing", "POST", "/v1/requests/price", "1", nil, 500, refusal.Internal, refusal.RanUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := request(tt.method, tt.path, tt.body, tt.header...)
			w := serve(t, config(), &fake{}, r)
			var have refusal.Refusal
			if err := json.Unmarshal(w.Body.Bytes(), &have); err != nil {
				t.Fatalf("%v: %s", err, w.Body)
			}
			if w.Code != tt.status || have.Code != tt.code || have.Ran != tt.ran {
				t.Errorf("have %d %s ran %s, want %d %s ran %s", w.Code, have.Code, have.Ran, tt.status, tt.code, tt.ran)
			}
			if have.Ran == refusal.RanUnknown && have.Again == refusal.AgainNew {
				t.Error("a new identity is asked for although the old one may have run")
			}
			if h := w.Header().Get(counter.HeaderRefusal); h != string(tt.code) {
				t.Errorf("header %q", h)
			}
		})
	}
}

func request(method, path, body string, header ...string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer secret")
	for i := 0; i+1 < len(header); i += 2 {
		if header[i] == counter.HeaderKey {
			r.Header.Add(header[i], header[i+1])
			continue
		}
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

func TestSubmit(t *testing.T) {
	grace := 2 * time.Second
	tests := []struct {
		name, prefer, body string
		wait               bool
		waitFor            time.Duration
	}{
		{"waits for the longest job", "", goodJob, true, 2*time.Minute + grace},
		{"waits for its own time", "", `{"kind":"price","tasks":[1],"timeout_ms":3000}`, true, 3*time.Second + grace},
		{"does not wait", "respond-async", goodJob, false, 0},
		{"waits a little", "wait=5", goodJob, true, 5 * time.Second},
		{"waits a little, then async", "respond-async, wait=5", goodJob, true, 5 * time.Second},
		{"never longer than the job", `wait="50"`, `{"kind":"price","tasks":[1],"timeout_ms":3000}`, true, 3*time.Second + grace},
		{"unknown preferences do not count", "handling=lenient", goodJob, true, 2*time.Minute + grace},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fake{}
			w := serve(t, config(), f, request("PUT", jobPath, tt.body, "Prefer", tt.prefer))
			if w.Code != http.StatusOK || f.last.Wait != tt.wait || f.last.WaitFor != tt.waitFor {
				t.Errorf("status %d, wait %v for %v; want %v for %v", w.Code, f.last.Wait, f.last.WaitFor, tt.wait, tt.waitFor)
			}
			if f.last.Caller != (job.Caller{Name: "shop", Team: "north"}) || f.last.ID.String() != strings.TrimPrefix(jobPath, "/v1/jobs/") {
				t.Errorf("submission %+v", f.last)
			}
		})
	}
}

func TestKeyAndWait(t *testing.T) {
	f := &fake{}
	serve(t, config(), f, request("POST", "/v1/jobs", goodJob, "Idempotency-Key", `"`+strings.ToUpper(key)+`"`))
	if f.last.Key != key {
		t.Errorf("key %q, want %q", f.last.Key, key)
	}
	if w := serve(t, config(), f, request("GET", jobPath, "")); w.Code != http.StatusAccepted {
		t.Errorf("a running job: status %d", w.Code)
	}
	serve(t, config(), f, request("GET", jobPath, "", "Prefer", "wait=7"))
	if f.waited != 7*time.Second {
		t.Errorf("waited %v", f.waited)
	}
}

// A caller names the type of its request in Latin-1 and hears nothing; it sends the request
// again over another dispatcher, which forwards it to the owner of its identity. On the way
// between dispatchers a type is text in JSON, in which bytes that are not UTF-8 come out as
// others: the owner takes the copy for another request and refuses it, and the caller does
// not get the answer that is there.
func TestTypeThatCannotBeForwarded(t *testing.T) {
	f := &fake{}
	w := serve(t, config(), f, request("POST", "/v1/requests/price", "1", "Content-Type", "text/plain; name=\"caf\xe9\"", counter.HeaderKey, key))
	if w.Code != http.StatusBadRequest || w.Header().Get(counter.HeaderRefusal) != string(refusal.BadRequest) {
		t.Errorf("status %d, %s", w.Code, w.Body)
	}
	if f.req.Type != "" {
		t.Errorf("passed on %q", f.req.Type)
	}
	serve(t, config(), f, request("POST", "/v1/requests/price", "1", "Content-Type", "text/plain; name=\"caf\u00e9\"", counter.HeaderKey, key))
	if f.req.Type != "text/plain; name=\"caf\u00e9\"" {
		t.Errorf("passed on %q", f.req.Type)
	}
}

func TestRequestPassesThrough(t *testing.T) {
	f := &fake{reply: job.Reply{Status: 418, Type: "text/x-menu", Body: []byte("rice")}}
	w := serve(t, config(), f, request("POST", "/v1/requests/menu", "fish", "Content-Type", "text/x-list", "Snipe-Job", "a.b.c.1.1.5", "Prefer", "wait=3"))
	if w.Code != 418 || w.Body.String() != "rice" || w.Header().Get("Content-Type") != "text/x-menu" || w.Header().Get(counter.HeaderRefusal) != "" {
		t.Errorf("have %d %q %v", w.Code, w.Body, w.Header())
	}
	if string(f.req.Body) != "fish" || f.req.Type != "text/x-list" || f.req.Kind != "menu" || f.req.ID.Seq != 5 || f.req.Timeout != 3*time.Second {
		t.Errorf("passed on %+v", f.req)
	}
}

// A shop looks at the metrics of the address that it calls. It must not read
// there who the other callers are.
func TestCallersDoNotSeeEachOther(t *testing.T) {
	cfg := config()
	if w := serve(t, cfg, &fake{}, request("GET", "/metrics", "")); w.Code != http.StatusOK {
		t.Errorf("status %d", w.Code)
	}
	cfg.Listen.Operators = netip.MustParseAddrPort("127.0.0.1:1")
	for _, p := range []string{"/metrics", "/status"} {
		if w := serve(t, cfg, &fake{}, request("GET", p, "")); w.Code != http.StatusNotFound {
			t.Errorf("%s: status %d although operators have an address of their own", p, w.Code)
		}
	}
}
