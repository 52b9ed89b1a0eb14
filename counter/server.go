package counter

import (
	"net/http"

	"snipehub.example/settings"
)

// headerSlack is how far the server's own limit on headers lies above the
// counter's, so that it is the counter that refuses, with a body that says what
// is wrong.
const headerSlack = 4

// NewServer makes the HTTP server of the handler, with the time-outs of the
// limits. WriteTimeout is only the last bound here: it counts from the header of
// the request on, so it must leave room for the longest job. The handler sets a
// deadline of its own when it begins to write.
func NewServer(l settings.Limits, h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: l.ReadTimeout.D(),
		ReadTimeout:       l.ReadTimeout.D(),
		WriteTimeout:      l.ReadTimeout.D() + l.JobTimeout.D() + 2*answerGrace + l.WriteTimeout.D(),
		IdleTimeout:       l.IdleTimeout.D(),
		MaxHeaderBytes:    headerSlack * l.HeaderBytes,
	}
}
