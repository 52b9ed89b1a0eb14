package counter

import (
	"net/http"

	"snipehub.example/settings"
)

// headerLimitFactor is the ratio of http.Server's header limit to the counter's. The
// server's limit is higher, so that the counter refuses large headers, with a refusal in
// the body.
const headerLimitFactor = 4

// NewServer returns an HTTP server for the handler, with timeouts derived from l.
// WriteTimeout starts with the header of the request, so it must allow for the longest job;
// it is only the upper bound. The handler sets its own deadline when it begins to write.
func NewServer(l settings.Limits, h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: l.ReadTimeout.D(),
		ReadTimeout:       l.ReadTimeout.D(),
		WriteTimeout:      l.ReadTimeout.D() + l.JobTimeout.D() + 2*answerGrace + l.WriteTimeout.D(),
		IdleTimeout:       l.IdleTimeout.D(),
		MaxHeaderBytes:    headerLimitFactor * l.HeaderBytes,
	}
}
