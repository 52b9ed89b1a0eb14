package counter

import (
	"io"
	"net/http"

	"snipehub.example/meter"
)

func (c *Counter) registerHealth() {
	c.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	c.mux.HandleFunc("GET /readyz", c.readyz)
}

// readyz answers 503 if the process is not ready. Ready turns false when a planned stop
// begins, so that the load balancer sends callers to other processes while the requests in
// flight end here.
func (c *Counter) readyz(w http.ResponseWriter, _ *http.Request) {
	if !c.svc.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "not ready\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// Operators returns the HTTP handler of the operators' address. It shows the names of
// callers, so only operators must be able to reach the address.
func Operators(svc Inspector, m *meter.Meter) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, svc.Status())
	})
	mux.HandleFunc("GET /status/all", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, svc.StatusAll(r.Context()))
	})
	mux.Handle("GET /metrics", m)
	return mux
}
