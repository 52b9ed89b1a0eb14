package peer

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/clock"
)

// minAcceptBackoff and maxAcceptBackoff bound the backoff after an error of accept.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

// Accept accepts a connection. It repeats attempts that fail, as without free descriptors, and
// passes the first error to report. It returns an error only if ctx ends, the listener is closed
// or its deadline has passed.
func Accept(ctx context.Context, ln net.Listener, report func(error)) (net.Conn, error) {
	for backoff := minAcceptBackoff; ; backoff = min(2*backoff, maxAcceptBackoff) {
		c, err := ln.Accept()
		var netErr net.Error
		switch {
		case err == nil:
			return c, nil
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case errors.Is(err, net.ErrClosed), errors.As(err, &netErr) && netErr.Timeout():
			return nil, err
		case backoff == minAcceptBackoff:
			report(err)
		}
		clock.Sleep(ctx, backoff)
	}
}
