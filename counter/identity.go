package counter

import (
	"net/http"
	"strings"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"snipehub.example/refusal"
	"snipehub.example/ticket"
)

// The headers that carry the identity of a job or request.
const (
	// HeaderKey carries the caller's own key, a UUID of version 7.
	HeaderKey = "Idempotency-Key"
	// HeaderJob carries a job id, which belongs to a ticket.
	HeaderJob = "Snipe-Job"
)

// keyUUIDVersion is the required UUID version of a key. The time stamp in a UUID of version
// 7 shows whether the platform's log still holds the key's first use.
const keyUUIDVersion = 7

// namesIdentity reports whether the request names an identity under which work may have
// been started before.
func namesIdentity(r *http.Request) bool {
	return r.Header.Get(HeaderKey) != "" || r.Header.Get(HeaderJob) != "" ||
		strings.HasPrefix(r.URL.Path, "/v1/jobs/")
}

// qualifyRefusal adapts a refusal that the counter itself gives to a request that names an
// identity. "Not run" could be false for it: a copy of the request may have arrived earlier
// or through another process and run. The caller would submit the same order under a new
// identity, and the order would be carried out twice.
func qualifyRefusal(r *http.Request, err error) error {
	var ref *refusal.Refusal
	if !namesIdentity(r) || !errors.As(err, &ref) {
		return err
	}
	return ref.ForNamedIdentity()
}

// pathID returns the job id in the path. It refuses a request that also has a key.
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

// headerID returns the job id in the header Snipe-Job, nil if there is none.
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

// headerKey returns the caller's own key in canonical form, "" if there is none. Different
// spellings of one UUID are the same key.
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
	if err != nil || len(text) != len(uuid.Nil.String()) || id.Version() != keyUUIDVersion {
		return "", refusal.New(refusal.BadKey, HeaderKey+" must be a UUID of version 7")
	}
	return id.String(), nil
}
