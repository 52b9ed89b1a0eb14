package counter

import (
	"net/http"
	"strings"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"snipehub.example/refusal"
	"snipehub.example/ticket"
)

// The headers by which a caller names its work.
const (
	// HeaderKey carries a key of the caller's own, a UUID of version 7.
	HeaderKey = "Idempotency-Key"
	// HeaderJob carries a job id of a ticket.
	HeaderJob = "Snipe-Job"
)

// keyVersion is the version of UUID that a key must have: its time stamp tells
// whether the platform's log still remembers the key's first use.
const keyVersion = 7

// named tells whether the request names an identity under which work may have
// been started before.
func named(r *http.Request) bool {
	return r.Header.Get(HeaderKey) != "" || r.Header.Get(HeaderJob) != "" ||
		strings.HasPrefix(r.URL.Path, "/v1/jobs/")
}

// own marks a refusal as the counter's own. "Not run" would be false for a
// request that names an identity: a copy of it may have come over another
// process, or earlier, and run. The caller would take a new identity for the
// same order, and two vans drive out.
func own(r *http.Request, err error) error {
	var f *refusal.Refusal
	if !named(r) || !errors.As(err, &f) {
		return err
	}
	return f.AboutIdentity()
}

// pathID reads the job id of the path.
func pathID(r *http.Request) (ticket.JobID, error) {
	id, err := ticket.ParseJobID(r.PathValue("id"))
	if err != nil {
		return id, refusal.New(refusal.NotFound, "malformed id")
	}
	if r.Header.Get(HeaderKey) != "" {
		return id, refusal.New(refusal.BadRequest, HeaderKey+" does not go with a job id")
	}
	return id, nil
}

// headerID reads the job id of the header, nil when there is none.
func headerID(r *http.Request) (*ticket.JobID, error) {
	h := r.Header.Get(HeaderJob)
	if h == "" {
		return nil, nil
	}
	id, err := ticket.ParseJobID(h)
	if err != nil {
		return nil, refusal.New(refusal.NotFound, "malformed id in "+HeaderJob)
	}
	return &id, nil
}

// headerKey reads the caller's own key, "" when there is none. Two spellings of
// one UUID are one key.
func headerKey(r *http.Request) (string, error) {
	h := r.Header.Values(HeaderKey)
	if len(h) == 0 {
		return "", nil
	}
	if len(h) > 1 {
		return "", refusal.New(refusal.BadRequest, HeaderKey+" stands twice")
	}
	text := strings.Trim(h[0], `"`)
	id, err := uuid.Parse(text)
	if err != nil || len(text) != len(uuid.Nil.String()) || id.Version() != keyVersion {
		return "", refusal.New(refusal.BadKey, HeaderKey+" must be a UUID of version 7")
	}
	return id.String(), nil
}
