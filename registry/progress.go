package registry

import (
	"context"
	"time"
)

// maxCallDuration bounds a call on which data arrives all the time.
const maxCallDuration = 30 * time.Second

type progressKey struct{}

// Arrived reports to the caller of a Source that data of the response has arrived. Sources
// call it with the context of the call.
func Arrived(ctx context.Context) {
	if arrived, ok := ctx.Value(progressKey{}).(func()); ok {
		arrived()
	}
}

// withSilenceTimeout returns a context that ends when nothing has arrived for a time: first
// until the first data, then between any two.
func withSilenceTimeout(ctx context.Context, first, between time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, maxCallDuration)
	t := time.AfterFunc(first, cancel)
	arrived := func() { t.Reset(between) }
	return context.WithValue(ctx, progressKey{}, arrived), func() {
		t.Stop()
		cancel()
	}
}
