package load

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"snipehub.example/client"
	"snipehub.example/clock"
)

// drive is one run of a scenario on a deployment.
type drive struct {
	*Running
	clients [][]*client.Client
	fastest float64
	began   time.Time
	flying  *flights
	waves   sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
	// resubmissions counts the calls of resubmission waves.
	resubmissions int
}

func newDrive(r *Running) *drive {
	d := &drive{Running: r, fastest: r.fastest(), flying: newFlights()}
	for _, c := range r.Callers {
		var at []*client.Client
		for _, p := range r.places {
			at = append(at, client.New(client.Config{Entries: []netip.AddrPort{p.callers}, Token: c.Token}))
		}
		d.clients = append(d.clients, at)
	}
	return d
}

// run submits the arrivals, each at its time, carries out the actions, and
// waits for the end of everything.
func (d *drive) run(ctx context.Context, arrivals []arrival, actions []Action) {
	d.began = time.Now()
	for _, a := range actions {
		d.waves.Go(func() {
			if clock.Sleep(ctx, time.Until(d.began.Add(a.At.D()))) {
				d.act(ctx, a)
			}
		})
	}
	var jobs sync.WaitGroup
	for _, a := range arrivals {
		if !clock.Sleep(ctx, time.Until(d.began.Add(a.at))) {
			break
		}
		jobs.Go(func() {
			o := d.submit(ctx, a)
			d.mu.Lock()
			defer d.mu.Unlock()
			d.outcomes = append(d.outcomes, o)
		})
	}
	jobs.Wait()
	d.waves.Wait()
}
