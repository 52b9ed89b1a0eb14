package load

import (
	"context"
	"fmt"
	"net/url"
	"os"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/clock"
	"snipehub.example/job"
	"snipehub.example/stand"
)

const (
	// maxWaveCalls bounds the concurrent calls of a wave.
	maxWaveCalls = 200
	// vmListDelay is the time from the end of a VM until it is removed from the VM list.
	vmListDelay = 2 * time.Second
)

// act executes one action of a scenario. It prints errors: the run continues and its
// measurements show the effect.
func (d *driver) act(ctx context.Context, a Action) {
	var err error
	switch a.Kind {
	case FailWorker:
		err = d.injectFaults(ctx, d.Workers[:1], stand.WorkerFaults{Fail: true})
	case SlowWorker:
		err = d.injectFaults(ctx, d.Workers[:1], stand.WorkerFaults{Slow: 10})
	case FreezeWorker:
		err = d.injectFaults(ctx, d.Workers[:1], stand.WorkerFaults{Freeze: true})
	case RackGone:
		err = d.injectFaults(ctx, d.firstRack(), stand.WorkerFaults{Vanish: true})
	case KillVMs:
		err = d.killVMs(ctx, a.Share)
	case LogDown:
		err = put(ctx, d.Platform, "/stand/faults", stand.LogFaults{Down: true})
	case CancelWave:
		d.runWave(a.Share, func(f inFlightJob) { d.cancelJob(ctx, f) })
	case ResubmitWave:
		d.runWave(a.Share, func(f inFlightJob) { d.resubmit(ctx, f) })
	default:
		err = errors.Errorf("unknown action %q", a.Kind)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "snipeload:", a.Kind, err)
	}
}

// firstRack returns the backend servers of the first rack.
func (d *driver) firstRack() []Worker {
	var out []Worker
	for _, w := range d.Workers {
		if w.Rack == d.Workers[0].Rack {
			out = append(out, w)
		}
	}
	return out
}

// injectFaults sets faults of backend servers at the first control address that accepts
// them.
func (d *driver) injectFaults(ctx context.Context, workers []Worker, f stand.WorkerFaults) error {
	q := make(url.Values)
	for _, w := range workers {
		q.Add("server", w.Address.String())
	}
	for _, c := range d.Controls {
		if err := put(ctx, c, "/stand/faults?"+q.Encode(), f); err == nil {
			return nil
		}
	}
	return errors.New("no control address knows the backend server")
}

// killVMs kills the dispatchers on the last VMs of the list, and removes these from the
// VM list after vmListDelay. Callers don't need the VM list: they retry at
// random dispatchers, as behind a load balancer.
func (d *driver) killVMs(ctx context.Context, share float64) error {
	remaining := len(d.VMs) - int(share*float64(len(d.VMs))+0.5)
	for i, p := range d.dispatchers {
		if i%len(d.VMs) >= remaining {
			p.kill()
		}
	}
	clock.Sleep(ctx, vmListDelay)
	return d.putVMs(ctx, d.VMs[:remaining])
}

// runWave calls do for a random share of the jobs in flight. It waits for free slots, not
// for the last calls.
func (d *driver) runWave(share float64, do func(f inFlightJob)) {
	slots := make(chan struct{}, maxWaveCalls)
	for _, f := range d.inFlight.pickRandom(share) {
		slots <- struct{}{}
		d.actionGroup.Go(func() {
			defer func() { <-slots }()
			do(f)
		})
	}
}

func (d *driver) cancelJob(ctx context.Context, f inFlightJob) {
	d.inFlight.markCancelled(f.id.String())
	_, _ = d.clients[f.caller][f.owner].Cancel(ctx, d.endpoints[f.owner].callerAddr, f.id)
}

// resubmit submits the job again to the next dispatcher, which forwards it.
func (d *driver) resubmit(ctx context.Context, f inFlightJob) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	to := (f.owner + 1) % len(d.endpoints)
	a, err := d.clients[f.caller][to].Put(ctx, d.endpoints[to].callerAddr, f.id, f.spec)
	d.mu.Lock()
	d.resubmissions++
	d.mu.Unlock()
	if err == nil && a.State == job.Done {
		d.inFlight.addResubmitAnswer(f.id.String(), a)
	}
}
