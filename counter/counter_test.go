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

// fakeService is a Service that records its calls. It answers at once, or calls submit.
type fakeService struct {
	submission   job.Submission
	request      job.Request
	caller       job.Caller
	submit       func(ctx context.Context, s job.Submission) (job.Answer, error)
	reply        job.Reply
	awaitTimeout time.Duration
}

func (f *fakeService) Mint(_ context.Context, c job.Caller) (job.Grant, error) {
	f.caller = c
	return job.Grant{Ticket: "t"}, nil
}

func (f *fakeService) Submit(ctx context.Context, s job.Submission) (job.Answer, error) {
	f.submission = s
	if f.submit != nil {
		return f.submit(ctx, s)
	}
	return job.Answer{Job: s.ID.String(), State: job.Done}, nil
}

func (f *fakeService) Request(_ context.Context, r job.Request) (job.Reply, error) {
	f.request = r
	return f.reply, nil
}

func (f *fakeService) Lookup(context.Context, job.Caller, ticket.JobID) (job.Answer, error) {
	return job.Answer{State: job.Running}, nil
}

func (f *fakeService) Await(_ context.Context, _ job.Caller, _ ticket.JobID, d time.Duration) (job.Answer, error) {
	f.awaitTimeout = d
	return job.Answer{State: job.Done}, nil
}

func (f *fakeService) Cancel(context.Context, job.Caller, ticket.JobID) (job.Answer, error) {
	return job.Answer{State: job.Running}, nil
}
func (f *fakeService) Ready() bool                   { return true }
func (f *fakeService) Status() any                   { return struct{}{} }
func (f *fakeService) StatusAll(context.Context) any { return struct{}{} }

const (
	jobPath = "/v1/jobs/dc1.vm0.hub0.1.1.0"
	goodJob = `{"kind":"price","tasks":[1]}`
	key     = "01890a5d-ac96-774b-bcce-b302099a8057"
)

func testConfig() settings.Config {
	cfg := settings.Default()
	h := sha256.Sum256([]byte("secret"))
	cfg.Callers.Tokens = []settings.Token{{Caller: "shop", Team: "north", SHA256: hex.EncodeToString(h[:])}}
	cfg.Limits.BodyBytes = 200
	cfg.Limits.HeaderBytes = 2000
	cfg.Limits.JobTasks = 3
	return cfg
}

func serve(t *testing.T, cfg settings.Config, f *fakeService, r *http.Request) *httptest.ResponseRecorder {
	t.Helper()
	m := meter.New(10, nil)
	defer m.Close()
	w := httptest.NewRecorder()
	counter.New(slog.New(slog.DiscardHandler), cfg, f, m).ServeHTTP(w, r)
	return w
}

// Every invalid request is answered by a refusal in JSON that says whether anything ran.
// For a request that names an identity it must not be "not run", because an earlier copy
// may have run: the caller would submit the same order under a new identity, and the order
// would be carried out twice. The exception is a malformed key, which no process accepts.
func TestRefusals(t *testing.T) {
	longText := strings.Repeat("a", 300)
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
		{"negative timeout", "PUT", jobPath, `{"kind":"price","tasks":[1],"timeout_ms":-1}`, nil, 400, refusal.BadRequest, refusal.RanUnknown},
		{"timeout over the limit", "PUT", jobPath, `{"kind":"price","tasks":[1],"timeout_ms":9000000}`, nil, 400, refusal.BadRequest, refusal.RanUnknown},
		{"large body", "PUT", jobPath, `{"kind":"` + longText + `","tasks":[1]}`, nil, 413, refusal.TooLarge, refusal.RanUnknown},
		{"large header", "PUT", jobPath, goodJob, []string{"X-Long", strings.Repeat(longText, 10)}, 413, refusal.TooLarge, refusal.RanUnknown},
		{"malformed wait", "PUT", jobPath, goodJob, []string{"Prefer", "wait=soon"}, 400, refusal.BadRequest, refusal.RanUnknown},
		{"id and key", "PUT", jobPath, goodJob, []string{"Idempotency-Key", key}, 400, refusal.BadRequest, refusal.RanUnknown},
		{"no key", "POST", "/v1/jobs", goodJob, nil, 400, refusal.BadRequest, refusal.RanNo},
		{"malformed key", "POST", "/v1/jobs", goodJob, []string{"Idempotency-Key", "order-7"}, 400, refusal.BadKey, refusal.RanNo},
		{"key of version 4", "POST", "/v1/jobs", goodJob, []string{"Idempotency-Key", "9b2d6ad0-91d2-4c5c-a3a8-d1b2c9f0a111"}, 400, refusal.BadKey, refusal.RanNo},
		{"two keys", "POST", "/v1/jobs", goodJob, []string{"Idempotency-Key", key, "Idempotency-Key", key}, 400, refusal.BadRequest, refusal.RanUnknown},
		{"large request", "POST", "/v1/requests/price", longText, nil, 413, refusal.TooLarge, refusal.RanNo},
		{"large request with key", "POST", "/v1/requests/price", longText, []string{"Idempotency-Key", key}, 413, refusal.TooLarge, refusal.RanUnknown},
		{"request with malformed id", "POST", "/v1/requests/price", "1", []string{"Snipe-Job", "x"}, 404, refusal.NotFound, refusal.RanUnknown},
		{"request with id and key", "POST", "/v1/requests/price", "1", []string{"Snipe-Job", "a.b.c.1.1.0", "Idempotency-Key", key}, 400, refusal.BadRequest, refusal.RanUnknown},
		{"invalid status of the backend server", "POST", "/v1/requests/price", "1", nil, 500, refusal.Internal, refusal.RanUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := request(tt.method, tt.path, tt.body, tt.header...)
			w := serve(t, testConfig(), &fakeService{}, r)
			var have refusal.Refusal
			if err := json.Unmarshal(w.Body.Bytes(), &have); err != nil {
				t.Fatalf("%v: %s", err, w.Body)
			}
			if w.Code != tt.status || have.Code != tt.code || have.Ran != tt.ran {
				t.Errorf("have %d %s ran %s, want %d %s ran %s", w.Code, have.Code, have.Ran, tt.status, tt.code, tt.ran)
			}
			if have.Ran == refusal.RanUnknown && have.Again == refusal.AgainNew {
				t.Error("the refusal asks for a new identity although the old one may have run")
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
		{"waits for the job's timeout", "", `{"kind":"price","tasks":[1],"timeout_ms":3000}`, true, 3*time.Second + grace},
		{"does not wait", "respond-async", goodJob, false, 0},
		{"waits a little", "wait=5", goodJob, true, 5 * time.Second},
		{"waits a little, then async", "respond-async, wait=5", goodJob, true, 5 * time.Second},
		{"never longer than the job's timeout", `wait="50"`, `{"kind":"price","tasks":[1],"timeout_ms":3000}`, true, 3*time.Second + grace},
		{"unknown preferences do not count", "handling=lenient", goodJob, true, 2*time.Minute + grace},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeService{}
			w := serve(t, testConfig(), f, request("PUT", jobPath, tt.body, "Prefer", tt.prefer))
			if w.Code != http.StatusOK || f.submission.Wait != tt.wait || f.submission.WaitFor != tt.waitFor {
				t.Errorf("status %d, wait %v for %v; want %v for %v", w.Code, f.submission.Wait, f.submission.WaitFor, tt.wait, tt.waitFor)
			}
			if f.submission.Caller != (job.Caller{Name: "shop", Team: "north"}) || f.submission.ID.String() != strings.TrimPrefix(jobPath, "/v1/jobs/") {
				t.Errorf("submission %+v", f.submission)
			}
		})
	}
}

// TestKeyAndWait checks that a key is passed on in canonical form, that a job that has not
// ended is answered with 202, and that a lookup waits as long as the caller prefers.
func TestKeyAndWait(t *testing.T) {
	f := &fakeService{}
	serve(t, testConfig(), f, request("POST", "/v1/jobs", goodJob, "Idempotency-Key", `"`+strings.ToUpper(key)+`"`))
	if f.submission.Key != key {
		t.Errorf("key %q, want %q", f.submission.Key, key)
	}
	if w := serve(t, testConfig(), f, request("GET", jobPath, "")); w.Code != http.StatusAccepted {
		t.Errorf("a running job: status %d", w.Code)
	}
	serve(t, testConfig(), f, request("GET", jobPath, "", "Prefer", "wait=7"))
	if f.awaitTimeout != 7*time.Second {
		t.Errorf("waited %v", f.awaitTimeout)
	}
}

// A caller sends a request with a Content-Type in Latin-1, gets no answer, and retries over
// another dispatcher, which forwards the request to the owner of its identity. Dispatchers
// forward the type as a JSON string, which replaces bytes that are not UTF-8: the owner would
// take the copy for a different request and refuse it, and the caller would not get the
// answer that exists. Such a type is therefore refused at the first dispatcher.
func TestTypeThatCannotBeForwarded(t *testing.T) {
	f := &fakeService{}
	w := serve(t, testConfig(), f, request("POST", "/v1/requests/price", "1", "Content-Type", "text/plain; name=\"caf\xe9\"", counter.HeaderKey, key))
	if w.Code != http.StatusBadRequest || w.Header().Get(counter.HeaderRefusal) != string(refusal.BadRequest) {
		t.Errorf("status %d, %s", w.Code, w.Body)
	}
	if f.request.Type != "" {
		t.Errorf("forwarded type %q", f.request.Type)
	}
	serve(t, testConfig(), f, request("POST", "/v1/requests/price", "1", "Content-Type", "text/plain; name=\"caf\u00e9\"", counter.HeaderKey, key))
	if f.request.Type != "text/plain; name=\"caf\u00e9\"" {
		t.Errorf("forwarded type %q", f.request.Type)
	}
}

func TestRequestPassesThrough(t *testing.T) {
	f := &fakeService{reply: job.Reply{Status: 418, Type: "text/x-menu", Body: []byte("rice")}}
	w := serve(t, testConfig(), f, request("POST", "/v1/requests/menu", "fish", "Content-Type", "text/x-list", "Snipe-Job", "a.b.c.1.1.5", "Prefer", "wait=3"))
	if w.Code != 418 || w.Body.String() != "rice" || w.Header().Get("Content-Type") != "text/x-menu" || w.Header().Get(counter.HeaderRefusal) != "" {
		t.Errorf("have %d %q %v", w.Code, w.Body, w.Header())
	}
	if string(f.request.Body) != "fish" || f.request.Type != "text/x-list" || f.request.Kind != "menu" || f.request.ID.Seq != 5 || f.request.Timeout != 3*time.Second {
		t.Errorf("forwarded %+v", f.request)
	}
}

// The callers' address must not show one caller the names of the others. It serves metrics
// only without an operators' address; with one, it serves neither metrics nor status.
func TestCallersDoNotSeeEachOther(t *testing.T) {
	cfg := testConfig()
	if w := serve(t, cfg, &fakeService{}, request("GET", "/metrics", "")); w.Code != http.StatusOK {
		t.Errorf("status %d", w.Code)
	}
	cfg.Listen.Operators = netip.MustParseAddrPort("127.0.0.1:1")
	for _, p := range []string{"/metrics", "/status"} {
		if w := serve(t, cfg, &fakeService{}, request("GET", p, "")); w.Code != http.StatusNotFound {
			t.Errorf("%s: status %d, want 404: operators have their own address", p, w.Code)
		}
	}
}
