package counter

import (
	"io"
	"net/http"

	"snipehub.example/meter"
)

func (c *Counter) health() {
	c.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	c.mux.HandleFunc("GET /readyz", c.ready)
}

// ready is false as soon as a planned stop begins, so that the balancer sends
// callers elsewhere while what is in flight still ends here.
func (c *Counter) ready(w http.ResponseWriter, _ *http.Request) {
	if !c.svc.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "not ready\n")
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// Operators is the HTTP handler of the operators' own address. It shows the
// names of callers, so the address must be one that only operators reach.
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
