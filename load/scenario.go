package load

import (
	"math"
	"math/rand/v2"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/settings"
	"snipehub.example/stand"
)

// Scenario describes the load that is offered to a deployment and the actions that are
// executed meanwhile.
type Scenario struct {
	Number int    `toml:"number"`
	Name   string `toml:"name"`
	Title  string `toml:"title"`
	Since  string `toml:"since"`
	// Phases follow each other. Jobs arrive by a Poisson process in each.
	Phases []Phase `toml:"phases"`
	// JobTasks bounds the number of tasks of a job, which is drawn evenly on a
	// logarithmic scale.
	JobTasks Range `toml:"job_tasks"`
	// ServiceTimes is the distribution of service times at speed 1. The zero value means
	// the default one.
	ServiceTimes ServiceTimes `toml:"service"`
	// Speeds, if set, replace the speeds of the deployment's backend servers, in turn.
	Speeds []float64 `toml:"speeds"`
	// Skew is the share of all jobs that go to the first dispatcher; the rest is spread
	// evenly over all.
	Skew float64 `toml:"skew"`
	// GreedyShare, if set, is the share of all jobs that the first caller submits; the
	// others share the rest in the deployment's proportions.
	GreedyShare float64  `toml:"greedy"`
	Actions     []Action `toml:"actions"`
}

// Phase is a period with one rate of arrivals.
type Phase struct {
	Length settings.Duration `toml:"for"`
	// Load is the offered load as a share of the capacity.
	Load float64 `toml:"load"`
}

// Range is an inclusive range of sizes.
type Range struct {
	Min int `toml:"min"`
	Max int `toml:"max"`
}

// ServiceTimes is a distribution of service times; see stand.ServiceTimes.
type ServiceTimes struct {
	Min       settings.Duration `toml:"min"`
	Max       settings.Duration `toml:"max"`
	Long      settings.Duration `toml:"long"`
	LongShare float64           `toml:"long_share"`
}

func (s ServiceTimes) spread() stand.ServiceTimes {
	return stand.ServiceTimes{Min: s.Min.D(), Max: s.Max.D(), Long: s.Long.D(), LongShare: s.LongShare}
}

// ActionKind is what an action does: it injects a fault, or makes callers act in a wave.
type ActionKind string

// The kinds of actions.
const (
	// FailWorker makes one backend server fail every task that it starts.
	FailWorker ActionKind = "fail_worker"
	// SlowWorker makes one backend server ten times slower.
	SlowWorker ActionKind = "slow_worker"
	// FreezeWorker makes one backend server stop answering.
	FreezeWorker ActionKind = "freeze_worker"
	// RackGone removes all backend servers of a rack.
	RackGone ActionKind = "rack_gone"
	// KillVMs kills the dispatchers on a share of the VMs, and removes these from the VM
	// list after vmListDelay.
	KillVMs ActionKind = "kill_vms"
	// CancelWave cancels a share of the jobs in flight.
	CancelWave ActionKind = "cancel_wave"
	// ResubmitWave submits a share of the jobs in flight again, each to another
	// dispatcher.
	ResubmitWave ActionKind = "resubmit_wave"
	// LogDown takes the platform's log and VM list down.
	LogDown ActionKind = "log_down"
)

// Action is something that happens at a time after the start of the arrivals.
type Action struct {
	At   settings.Duration `toml:"at"`
	Kind ActionKind        `toml:"do"`
	// Share is the share of the VMs for KillVMs, and of the jobs in flight for waves.
	Share float64 `toml:"share"`
}

// These bound a run. A scenario that lasts longer is rejected, and so is one that plans
// more tasks.
const (
	maxRunDuration  = 2 * time.Minute
	maxPlannedTasks = 2_000_000
)

func (s Scenario) length() time.Duration {
	var d time.Duration
	for _, p := range s.Phases {
		d += p.Length.D()
	}
	return d
}

func (s Scenario) validate() error {
	switch {
	case s.Name == "":
		return errors.New("name must be set")
	case len(s.Phases) == 0 || s.length() > maxRunDuration:
		return errors.Errorf("phases must be there and last %v at most", maxRunDuration)
	case s.JobTasks.Min < 1 || s.JobTasks.Max < s.JobTasks.Min:
		return errors.New("job_tasks: needs 1 <= min <= max")
	case s.ServiceTimes.Min <= 0 || s.ServiceTimes.Max < s.ServiceTimes.Min:
		return errors.New("service: needs 0 < min <= max")
	}
	if s.Skew < 0 || s.Skew > 1 || s.GreedyShare < 0 || s.GreedyShare >= 1 {
		return errors.New("skew and greedy must be shares")
	}
	for _, p := range s.Phases {
		if p.Load <= 0 || p.Load > 5 {
			return errors.New("phases: load must be above 0 and at most 5")
		}
	}
	for _, v := range s.Speeds {
		if v <= 0 {
			return errors.New("speeds: must be above 0")
		}
	}
	return nil
}

// FindScenario returns the built-in scenario of that name, or reads one from a TOML file,
// with the defaults of the built-in ones.
func FindScenario(name string) (Scenario, error) {
	for _, s := range Scenarios() {
		if s.Name == name {
			return s, nil
		}
	}
	if filepath.Ext(name) != ".toml" {
		return Scenario{}, errors.Errorf("no scenario %q", name)
	}
	s := Scenario{JobTasks: defaultJobTasks, ServiceTimes: defaultServiceTimes}
	if err := readStrictTOML(name, &s); err != nil {
		return s, err
	}
	if err := s.validate(); err != nil {
		return s, errors.Errorf("%s: %v", name, err)
	}
	return s, nil
}

// mean returns the mean of the sizes that draw returns.
func (r Range) mean() float64 {
	var sum, weight float64
	for n := r.Min; n <= r.Max; n++ {
		w := math.Log(float64(n+1)) - math.Log(float64(n))
		sum += w * float64(n)
		weight += w
	}
	return sum / weight
}

// draw returns a random size, evenly distributed on a logarithmic scale: as many jobs
// have 1 to 10 tasks as have 10 to 100.
func (r Range) draw(rnd *rand.Rand) int {
	low, high := math.Log(float64(r.Min)), math.Log(float64(r.Max+1))
	return min(int(math.Exp(low+rnd.Float64()*(high-low))), r.Max)
}
