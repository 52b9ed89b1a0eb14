package counter

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"snipehub.example/refusal"
)

// preference is what a caller asks for in the header Prefer (RFC 7240).
type preference struct {
	async bool
	// wait is how long the caller wants to wait; it counts if given is set.
	wait  time.Duration
	given bool
}

// maxWaitSeconds keeps wait=N inside a time.Duration.
const maxWaitSeconds = 24 * 60 * 60

func prefer(h http.Header) (preference, error) {
	var p preference
	for _, part := range strings.Split(strings.Join(h.Values("Prefer"), ","), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "respond-async":
			p.async = true
		case "wait":
			n, err := strconv.Atoi(strings.Trim(strings.TrimSpace(value), `"`))
			if err != nil || n < 0 || n > maxWaitSeconds {
				return p, refusal.New(refusal.BadRequest, "Prefer: wait must be a number of seconds")
			}
			p.wait, p.given = time.Duration(n)*time.Second, true
		}
	}
	return p, nil
}

// bound returns how long to wait for something that takes at most longest.
func (p preference) bound(longest time.Duration) time.Duration {
	switch {
	case p.async && !p.given:
		return 0
	case p.given:
		return min(p.wait, longest)
	}
	return longest
}
