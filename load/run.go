package load

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/clock"
)

// Options are the choices of a run beyond scenario and deployment.
type Options struct {
	// Policy replaces the policy of the deployment's settings when set.
	Policy string
	Seed   uint64
}

// settle is the wait between the last answer and the reading of the starts: a
// task that was called "not run" and starts late must still be seen.
const settle = time.Second

// Run brings up the deployment, drives the scenario against it, and measures.
func Run(ctx context.Context, d Deployment, s Scenario, o Options) (Report, error) {
	d = prepare(d, s, o)
	arrivals, err := plan(s, d, o.Seed)
	if err != nil {
		return Report{}, err
	}
	r := newReport(d, s, o)
	up, err := Deploy(ctx, d)
	if err != nil {
		return r, err
	}
	defer up.Close()
	dr := newDrive(up)
	// The metrics of a dispatcher can be a second behind.
	clock.Sleep(ctx, settle)
	before := up.read(ctx)
	dr.run(ctx, arrivals, s.Actions)
	clock.Sleep(ctx, settle)
	return r, r.finish(ctx, dr, s, before)
}

func prepare(d Deployment, s Scenario, o Options) Deployment {
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
		At: time.Now().UTC(), Commit: commit(), Machine: thisMachine(),
		Setting: Setting{
			Dispatchers: d.Dispatchers, Connections: d.cfg.Dispatch.Connections, JobSlots: d.cfg.Dispatch.JobSlots,
			Workers: len(d.Workers), Seed: o.Seed, Seconds: s.length().Seconds(),
			Capacity: d.power() / s.Service.spread().Mean().Seconds(),
		},
	}
	for _, w := range d.Workers {
		r.Setting.Cores += w.Cores
	}
	return r
}

// finish fills in the measures.
func (r *Report) finish(ctx context.Context, d *drive, s Scenario, before reading) error {
	if err := d.standing(); err != nil {
		return err
	}
	after := d.read(ctx)
	r.measure(s, d.Callers, d.outcomes)
	r.Messages.Repeats += int64(d.resubmissions)
	r.Messages.between(before, after, r.Tasks)
	for _, p := range d.dispatchers {
		r.Messages.Partial = r.Messages.Partial || !p.alive()
	}
	r.Cost.between(before, after, r.Tasks)
	starts, err := d.starts(ctx)
	if err != nil {
		return err
	}
	v := verify(d.outcomes, starts, d.flying.again)
	v.LostAnswers, v.WrongAnswers = r.Safety.LostAnswers, r.Safety.WrongAnswers
	r.Safety = v
	return nil
}

// standing tells whether the stand-ins have lived through the run: without them
// its figures mean nothing.
func (r *Running) standing() error {
	for i, p := range append([]*process{r.platform}, r.farms...) {
		if !p.alive() {
			return errors.Errorf("load: stand-in %d has ended: %s", i, r.outputs())
		}
	}
	return nil
}
