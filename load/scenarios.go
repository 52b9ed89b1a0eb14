package load

import (
	"time"

	"snipehub.example/settings"
)

func newPhase(d time.Duration, load float64) Phase {
	return Phase{Length: settings.Duration(d), Load: load}
}

func newAction(d time.Duration, kind ActionKind, share float64) Action {
	return Action{At: settings.Duration(d), Kind: kind, Share: share}
}

var (
	defaultJobTasks = Range{Min: 1, Max: 100}
	// defaultServiceTimes follows the requirements: most tasks take 50 ms to a second, a
	// few take several seconds.
	defaultServiceTimes = ServiceTimes{
		Min:       settings.Duration(50 * time.Millisecond),
		Max:       settings.Duration(time.Second),
		Long:      settings.Duration(3 * time.Second),
		LongShare: 0.02,
	}
)

// steadyDuration is the length of a scenario with one steady load.
const steadyDuration = 8 * time.Second

// Scenarios returns the built-in scenarios, by number.
func Scenarios() []Scenario {
	out := append([]Scenario(nil), builtinScenarios...)
	for i := range out {
		if out[i].JobTasks == (Range{}) {
			out[i].JobTasks = defaultJobTasks
		}
		if out[i].ServiceTimes == (ServiceTimes{}) {
			out[i].ServiceTimes = defaultServiceTimes
		}
	}
	return out
}

func steady(load float64) []Phase { return []Phase{newPhase(steadyDuration, load)} }

// builtinScenarios are numbered in tens by theme: from 1 steady load, from 20 changing
// load and job sizes, from 30 unequal speeds and shares, from 40 faults, from 50 actions
// of many callers at once.
var builtinScenarios = []Scenario{
	{Number: 1, Name: "steady30", Title: "steady load at 30% of capacity", Since: "0.1", Phases: steady(0.3)},
	{Number: 2, Name: "steady60", Title: "steady load at 60% of capacity", Since: "0.1", Phases: steady(0.6)},
	{Number: 3, Name: "steady80", Title: "steady load at 80% of capacity", Since: "0.1", Phases: steady(0.8)},
	{Number: 4, Name: "steady95", Title: "steady load at 95% of capacity", Since: "0.1", Phases: steady(0.95)},
	{
		Number: 20, Name: "bursts", Title: "bursts of one second at 1.5 times the capacity over 40%", Since: "0.1",
		Phases: []Phase{
			newPhase(2*time.Second, 0.4), newPhase(time.Second, 1.5), newPhase(3*time.Second, 0.4),
			newPhase(time.Second, 1.5), newPhase(3*time.Second, 0.4),
		},
	},
	{
		Number: 21, Name: "sizes", Title: "jobs of 1 to 1,300 tasks at 60% of capacity", Since: "0.1",
		Phases: steady(0.6), JobTasks: Range{Min: 1, Max: 1300},
	},
	{
		Number: 22, Name: "overload", Title: "twice the capacity for nine seconds, and the recovery", Since: "0.1",
		Phases: []Phase{newPhase(3*time.Second, 0.6), newPhase(9*time.Second, 2), newPhase(6*time.Second, 0.6)},
	},
	{
		Number: 30, Name: "unlike", Title: "backend servers of unlike speed at 60% of capacity", Since: "0.1",
		Phases: steady(0.6), Speeds: []float64{0.5, 0.75, 1, 1.25, 1.5},
	},
	{
		Number: 31, Name: "skew", Title: "one dispatcher gets half of the jobs, at 30% of capacity", Since: "0.1",
		Phases: steady(0.3), Skew: 0.5,
	},
	{
		Number: 32, Name: "greedy", Title: "one caller submits nine in ten jobs, at 1.5 times the capacity", Since: "0.1",
		Phases: steady(1.5), GreedyShare: 0.9,
	},
	{
		Number: 40, Name: "failing", Title: "a backend server fails everything it starts, at 60% of capacity", Since: "0.1",
		Phases: steady(0.6), Actions: []Action{newAction(2*time.Second, FailWorker, 0)},
	},
	{
		Number: 41, Name: "rack", Title: "a rack gone at 60% of capacity", Since: "0.1",
		Phases: steady(0.6), Actions: []Action{newAction(3*time.Second, RackGone, 0)},
	},
	{
		Number: 42, Name: "killed", Title: "a third of the dispatchers killed, at 40% of capacity", Since: "0.1",
		Phases: steady(0.4), Actions: []Action{newAction(3*time.Second, KillVMs, 1.0/3)},
	},
	{
		Number: 43, Name: "slow", Title: "a backend server ten times slower, at 60% of capacity", Since: "0.1",
		Phases: steady(0.6), Actions: []Action{newAction(2*time.Second, SlowWorker, 0)},
	},
	{
		Number: 44, Name: "frozen", Title: "a backend server frozen, at 60% of capacity", Since: "0.1",
		Phases: steady(0.6), Actions: []Action{newAction(2*time.Second, FreezeWorker, 0)},
	},
	{
		Number: 45, Name: "logdown", Title: "the platform's log down, at 60% of capacity", Since: "0.1",
		Phases: steady(0.6), Actions: []Action{newAction(time.Second, LogDown, 0)},
	},
	{
		Number: 50, Name: "cancel", Title: "half of the jobs in flight cancelled at once, under overload", Since: "0.1",
		Phases: []Phase{newPhase(4*time.Second, 1.5), newPhase(4*time.Second, 0.6)}, Actions: []Action{newAction(4*time.Second, CancelWave, 0.5)},
	},
	{
		Number: 51, Name: "resubmit", Title: "all jobs in flight submitted again over other dispatchers, at 60% of capacity", Since: "0.1",
		Phases: steady(0.6), Actions: []Action{newAction(3*time.Second, ResubmitWave, 1), newAction(6*time.Second, ResubmitWave, 1)},
	},
}
