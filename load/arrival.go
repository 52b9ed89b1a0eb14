package load

import (
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/job"
)

// arrival is one job of a run, as planned before the run begins.
type arrival struct {
	at time.Duration
	// caller and dispatcher are indexes into the deployment's lists.
	caller, dispatcher int
	kind               string
	// service is the service time of each task at speed 1.
	service []time.Duration
}

// plan draws all arrivals of a run at random. Their times come from a Poisson process and
// do not depend on answers (open loop), since otherwise slow answers would lower the load
// and hide themselves.
func plan(s Scenario, d Deployment, seed uint64) ([]arrival, error) {
	rnd := rand.New(rand.NewPCG(seed, 2))
	spread := s.ServiceTimes.spread()
	secondsPerJob := s.JobTasks.mean() * spread.Mean().Seconds()
	var out []arrival
	var begin time.Duration
	tasks := 0
	for _, p := range s.Phases {
		rate := p.Load * d.effectiveCores() / secondsPerJob
		end := begin + p.Length.D()
		for t := begin + interarrivalTime(rnd, rate); t < end; t += interarrivalTime(rnd, rate) {
			a := arrival{at: t, caller: pickCaller(rnd, s.callers(d)), dispatcher: rnd.IntN(d.Dispatchers)}
			if rnd.Float64() < s.Skew {
				a.dispatcher = 0
			}
			a.kind = d.rows.Routes[rnd.IntN(len(d.rows.Routes))].Kind
			for range s.JobTasks.draw(rnd) {
				a.service = append(a.service, spread.Draw(rnd))
			}
			// This is checked here and not at the end: a scenario of very short tasks
			// would otherwise fill the machine's memory during planning.
			if tasks += len(a.service); tasks > maxPlannedTasks {
				return nil, errors.Errorf("load: more than %d tasks are planned", maxPlannedTasks)
			}
			out = append(out, a)
		}
		begin = end
	}
	return out, nil
}

func interarrivalTime(rnd *rand.Rand, rate float64) time.Duration {
	return time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
}

// callers returns the deployment's callers with the shares of the scenario.
func (s Scenario) callers(d Deployment) []Caller {
	if s.GreedyShare == 0 || len(d.Callers) < 2 {
		return d.Callers
	}
	out := append([]Caller(nil), d.Callers...)
	var rest float64
	for _, c := range out[1:] {
		rest += c.Share
	}
	out[0].Share = rest * s.GreedyShare / (1 - s.GreedyShare)
	return out
}

func pickCaller(rnd *rand.Rand, all []Caller) int {
	var sum float64
	for _, c := range all {
		sum += c.Share
	}
	x := rnd.Float64() * sum
	for i, c := range all {
		if x -= c.Share; x < 0 {
			return i
		}
	}
	return len(all) - 1
}

// ideal returns the job's response time if each task starts at once on the fastest
// backend server.
func (a arrival) ideal(maxSpeed float64) time.Duration {
	var longest time.Duration
	for _, d := range a.service {
		longest = max(longest, d)
	}
	return time.Duration(float64(longest) / maxSpeed)
}

// spec returns the submitted job. Each task carries its service time for the stand-in.
func (a arrival) spec() job.Spec {
	s := job.Spec{Kind: a.kind, TimeoutMS: jobTimeout.Milliseconds(), Tasks: make([]json.RawMessage, len(a.service))}
	for i, d := range a.service {
		b := append([]byte(`{"service_ms":`), strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 3, 64)...)
		s.Tasks[i] = append(b, '}')
	}
	return s
}
