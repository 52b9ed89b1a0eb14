package counter

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"snipehub.example/refusal"
)

// preference is the parsed header Prefer (RFC 7240).
type preference struct {
	async bool
	// wait is how long the caller wants to wait. It is valid if hasWait is set.
	wait    time.Duration
	hasWait bool
}

// maxWaitSeconds prevents an overflow of time.Duration by wait=N.
const maxWaitSeconds = 24 * 60 * 60

func parsePrefer(h http.Header) (preference, error) {
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
			p.wait, p.hasWait = time.Duration(n)*time.Second, true
		}
	}
	return p, nil
}

// waitTime returns how long to wait for a result: the caller's wait, but at most maxWait; if
// it sets none, 0 for respond-async and maxWait otherwise.
func (p preference) waitTime(maxWait time.Duration) time.Duration {
	switch {
	case p.async && !p.hasWait:
		return 0
	case p.hasWait:
		return min(p.wait, maxWait)
	}
	return maxWait
}
