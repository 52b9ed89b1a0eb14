package load

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"snipehub.example/client"
	"snipehub.example/clock"
)

// driver runs a scenario on a deployment.
type driver struct {
	*Running
	// clients holds a client for each caller and dispatcher, in this order.
	clients   [][]*client.Client
	maxSpeed  float64
	startTime time.Time
	inFlight  *inFlightJobs
	// actionGroup waits for the actions and for the calls of their waves.
	actionGroup sync.WaitGroup

	mu       sync.Mutex
	outcomes []outcome
	// resubmissions counts the calls of all resubmission waves.
	resubmissions int
}

func newDriver(r *Running) *driver {
	d := &driver{Running: r, maxSpeed: r.maxSpeed(), inFlight: newInFlightJobs()}
	for _, c := range r.Callers {
		var byDispatcher []*client.Client
		for _, p := range r.endpoints {
			byDispatcher = append(byDispatcher, client.New(client.Config{Entries: []netip.AddrPort{p.callerAddr}, Token: c.Token}))
		}
		d.clients = append(d.clients, byDispatcher)
	}
	return d
}

// run submits each job at its arrival time, executes the actions, and waits until all
// have ended.
func (d *driver) run(ctx context.Context, arrivals []arrival, actions []Action) {
	d.startTime = time.Now()
	for _, a := range actions {
		d.actionGroup.Go(func() {
			if clock.Sleep(ctx, time.Until(d.startTime.Add(a.At.D()))) {
				d.act(ctx, a)
			}
		})
	}
	var jobs sync.WaitGroup
	for _, a := range arrivals {
		if !clock.Sleep(ctx, time.Until(d.startTime.Add(a.at))) {
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
	d.actionGroup.Wait()
}
