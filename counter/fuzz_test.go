package counter_test

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"snipehub.example/counter"
	"snipehub.example/refusal"
)

// FuzzSubmit searches for a submission that makes the handler panic, that is answered by
// anything but complete JSON, or that is answered "not run" by a process that does not own
// its identity. For a long run:
// go test -run xxx -fuzz FuzzSubmit -fuzztime 10m ./counter
func FuzzSubmit(f *testing.F) {
	f.Add("dc1.vm0.hub0.1.1.0", goodJob, "wait=5", "")
	f.Add("dc1.vm0.hub0.1.1.0", `{"kind":`, "", "")
	f.Add("dc1.vm0.hub0.1.1.0", goodJob, "wait=soon", "")
	f.Add("x", `{"kind":"price","tasks":[1,{}],"timeout_ms":-1}`, `respond-async, wait="a"`, key)
	f.Add("a.b.c.1.1.99999999999999999999", `{"tasks":null}{}`, "", "\"")
	h := counter.New(slog.New(slog.DiscardHandler), testConfig(), &fakeService{}, nil)
	f.Fuzz(func(t *testing.T, id, body, prefer, key string) {
		if strings.ContainsAny(id, "/?#%") || id == "" || id == "." || id == ".." {
			return
		}
		r := httptest.NewRequest(http.MethodPut, "/v1/jobs/x", strings.NewReader(body))
		r.URL.Path = "/v1/jobs/" + id
		r.Header.Set("Authorization", "Bearer secret")
		r.Header.Set("Prefer", prefer)
		r.Header.Set("Idempotency-Key", key)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		var out refusal.Refusal
		if err := json.Unmarshal(w.Body.Bytes(), &out); err != nil {
			t.Fatalf("status %d: %v: %s", w.Code, err, w.Body)
		}
		if w.Code >= http.StatusInternalServerError || w.Code >= http.StatusBadRequest && out.Ran != refusal.RanUnknown {
			t.Errorf("status %d: %s", w.Code, w.Body)
		}
	})
}
