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
	// waveCalls bounds the calls of a wave that are open at once.
	waveCalls = 200
	// listLag is how long after a VM's end it leaves the VM list.
	listLag = 2 * time.Second
)

// act carries out one action of a scenario. What fails is printed: the run goes
// on and its measures show it.
func (d *drive) act(ctx context.Context, a Action) {
	var err error
	switch a.Do {
	case FailWorker:
		err = d.spoil(ctx, d.Workers[:1], stand.WorkerFaults{Fail: true})
	case SlowWorker:
		err = d.spoil(ctx, d.Workers[:1], stand.WorkerFaults{Slow: 10})
	case FreezeWorker:
		err = d.spoil(ctx, d.Workers[:1], stand.WorkerFaults{Freeze: true})
	case RackGone:
		err = d.spoil(ctx, d.rack(), stand.WorkerFaults{Vanish: true})
	case KillVMs:
		err = d.killVMs(ctx, a.Share)
	case LogDown:
		err = put(ctx, d.Platform, "/stand/faults", stand.LogFaults{Down: true})
	case CancelWave:
		d.wave(a.Share, func(f flight) { d.cancel(ctx, f) })
	case ResubmitWave:
		d.wave(a.Share, func(f flight) { d.resubmit(ctx, f) })
	default:
		err = errors.Errorf("unknown action %q", a.Do)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "snipeload:", a.Do, err)
	}
}

// rack returns the backend servers of the first rack.
func (d *drive) rack() []Worker {
	var out []Worker
	for _, w := range d.Workers {
		if w.Rack == d.Workers[0].Rack {
			out = append(out, w)
		}
	}
	return out
}

func (d *drive) spoil(ctx context.Context, workers []Worker, f stand.WorkerFaults) error {
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

// killVMs kills the dispatchers on the last VMs. Callers' balancer stops
// sending there; the VM list follows a little later.
func (d *drive) killVMs(ctx context.Context, share float64) error {
	left := len(d.VMs) - int(share*float64(len(d.VMs))+0.5)
	for i, p := range d.dispatchers {
		if i%len(d.VMs) >= left {
			p.kill()
		}
	}
	clock.Sleep(ctx, listLag)
	return d.putVMs(ctx, d.VMs[:left])
}

func (d *drive) wave(share float64, do func(f flight)) {
	limit := make(chan struct{}, waveCalls)
	for _, f := range d.flying.pick(share) {
		limit <- struct{}{}
		d.waves.Go(func() {
			defer func() { <-limit }()
			do(f)
		})
	}
}

func (d *drive) cancel(ctx context.Context, f flight) {
	d.flying.cancel(f.id.String())
	_, _ = d.clients[f.caller][f.home].Cancel(ctx, d.places[f.home].callers, f.id)
}

// resubmit sends the job again over the next dispatcher, which forwards it.
func (d *drive) resubmit(ctx context.Context, f flight) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	to := (f.home + 1) % len(d.places)
	a, err := d.clients[f.caller][to].Put(ctx, d.places[to].callers, f.id, f.spec)
	d.mu.Lock()
	d.resubmissions++
	d.mu.Unlock()
	if err == nil && a.State == job.Done {
		d.flying.repeated(f.id.String(), a)
	}
}
