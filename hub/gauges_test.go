package hub

import (
	"bytes"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	"snipehub.example/event"
	"snipehub.example/meter"
)

// A memory limit is reached three times and then no more. The metrics must show the
// gauge, and the log a single line with the event's number instead of one per second.
func TestBoundIsLoggedWhenReached(t *testing.T) {
	var out bytes.Buffer
	m := meter.New(100, func() {})
	defer m.Close()
	h := &Hub{log: slog.New(slog.NewTextHandler(&out, nil)), meter: m}
	limit := &memoryLimit{gauge: "kept_bytes", event: event.AnswersEvicted}
	for _, reached := range []int64{0, 3, 3} {
		h.updateLimit(limit, 77, reached)
	}
	if got := out.String(); strings.Count(got, "event=402") != 1 || !strings.Contains(got, "times=3") {
		t.Errorf("logged %q", got)
	}
	rec := httptest.NewRecorder()
	m.ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	if !strings.Contains(rec.Body.String(), "kept_bytes") {
		t.Errorf("no gauge in %s", rec.Body)
	}
}
