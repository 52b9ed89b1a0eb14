package load

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/clock"
)

// Options are the parameters of a run beyond scenario and deployment.
type Options struct {
	// Policy replaces the policy of the deployment's settings, if set.
	Policy string
	Seed   uint64
}

// settleDelay is the delay before each sample of the counters, since the metrics of a
// dispatcher can be a second old. After the last answer it also gives time for late
// starts: a task that was reported as "not run" but starts late must still be counted.
const settleDelay = time.Second

// Run starts the deployment, drives the scenario against it, and returns the
// measurements.
func Run(ctx context.Context, d Deployment, s Scenario, o Options) (Report, error) {
	d = applyOptions(d, s, o)
	arrivals, err := plan(s, d, o.Seed)
	if err != nil {
		return Report{}, err
	}
	r := newReport(d, s, o)
	running, err := Deploy(ctx, d)
	if err != nil {
		return r, err
	}
	defer running.Close()
	dr := newDriver(running)
	clock.Sleep(ctx, settleDelay)
	before := running.takeSample(ctx)
	dr.run(ctx, arrivals, s.Actions)
	clock.Sleep(ctx, settleDelay)
	return r, r.finish(ctx, dr, s, before)
}

func applyOptions(d Deployment, s Scenario, o Options) Deployment {
	if o.Policy != "" {
		d.cfg.Dispatch.Policy = o.Policy
	}
	if len(s.Speeds) > 0 {
		d.Workers = append([]Worker(nil), d.Workers...)
		for i := range d.Workers {
			d.Workers[i].Speed = s.Speeds[i%len(s.Speeds)]
		}
	}
	return d
}

func newReport(d Deployment, s Scenario, o Options) Report {
	r := Report{
		Scenario: s.Name, Title: s.Title, Deployment: d.Name, Policy: d.cfg.Dispatch.Policy,
		At: time.Now().UTC(), Commit: commit(), Machine: describeMachine(),
		Setting: Setting{
			Dispatchers: d.Dispatchers, Connections: d.cfg.Dispatch.Connections, JobSlots: d.cfg.Dispatch.JobSlots,
			Workers: len(d.Workers), Seed: o.Seed, Seconds: s.length().Seconds(),
			Capacity: d.effectiveCores() / s.ServiceTimes.spread().Mean().Seconds(),
		},
	}
	for _, w := range d.Workers {
		r.Setting.Cores += w.Cores
	}
	return r
}

// finish fills in the measurements after the last answer.
func (r *Report) finish(ctx context.Context, d *driver, s Scenario, before sample) error {
	if err := d.checkStandIns(); err != nil {
		return err
	}
	after := d.takeSample(ctx)
	r.measure(s, d.Callers, d.outcomes)
	r.Messages.Repeats += int64(d.resubmissions)
	r.Messages.setDifference(before, after, r.Tasks)
	for _, p := range d.dispatchers {
		r.Messages.Partial = r.Messages.Partial || !p.alive()
	}
	r.Cost.setDifference(before, after, r.Tasks)
	starts, err := d.readStarts(ctx)
	if err != nil {
		return err
	}
	v := verify(d.outcomes, starts, d.inFlight.resubmitAnswers)
	v.LostAnswers, v.WrongAnswers = r.Safety.LostAnswers, r.Safety.WrongAnswers
	r.Safety = v
	return nil
}

// checkStandIns returns an error if a stand-in has ended: without it the figures of the
// run mean nothing.
func (r *Running) checkStandIns() error {
	for i, p := range append([]*process{r.platform}, r.workerStandIns...) {
		if !p.alive() {
			return errors.Errorf("load: stand-in %d has ended: %s", i, r.outputs())
		}
	}
	return nil
}
