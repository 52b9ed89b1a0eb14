package model

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"snipehub.example/lease"
)

var (
	largeKind = Kind{Name: "a", Speed: 1, Resources: lease.Resources{CPU: 64000, Memory: 262144}}
	smallKind = Kind{Name: "b", Speed: 1, Resources: lease.Resources{CPU: 30000, Memory: 262144}}
)

// killPlanner kills the planner's process, if there is one.
func killPlanner(w *World) {
	for _, n := range w.vms {
		if n.up && n.core.IsPlanner() {
			Kill(n.index, 2*time.Second)(w)
			return
		}
	}
}

// restartDay returns a day on which a quarter of the workers, three at a time, restart under
// their IDs as workers of another kind with less CPU. Two classes of three require the former
// kind.
func restartDay(seed uint64, down time.Duration) Config {
	cfg := lightDay(seed)
	cfg.Length = 12 * time.Second
	cfg.Kinds = []Kind{largeKind}
	cfg.Classes[0].Label, cfg.Classes[2].Label = largeKind.Name, largeKind.Name
	for round := range 4 {
		at := time.Duration(2000+2111*round) * time.Millisecond
		cfg.Faults = append(cfg.Faults, Fault{at, RestartWorkers(3*round, 3, down, smallKind)})
	}
	return cfg
}

// Guards against starts that rest on what a worker's former incarnation was: at a worker without
// the required label, or beyond a capacity that has become smaller.
func TestWorkersRestartAsAnotherKind(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name      string
		down      time.Duration
		unguarded bool
		faults    []Fault
	}{
		{"after 1.5 s", 1500 * time.Millisecond, false, nil},
		{"after 20 ms", 20 * time.Millisecond, false, nil},
		{"store away", 300 * time.Millisecond, false, []Fault{{1900 * time.Millisecond, StoreDown(9 * time.Second)}}},
		{"planner killed", 300 * time.Millisecond, false, []Fault{
			{2290 * time.Millisecond, killPlanner},
			{4420 * time.Millisecond, killPlanner},
			{6560 * time.Millisecond, killPlanner},
		}},
		{"planner killed and store away", 300 * time.Millisecond, false, []Fault{
			{1900 * time.Millisecond, StoreDown(9 * time.Second)},
			{2500 * time.Millisecond, killPlanner},
			{6300 * time.Millisecond, killPlanner},
		}},
		{"capacity not guarded", 300 * time.Millisecond, true, nil},
		{"capacity not guarded, after 20 ms, store away", 20 * time.Millisecond, true, []Fault{{1900 * time.Millisecond, StoreDown(9 * time.Second)}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				cfg := restartDay(seed+1, tt.down)
				cfg.Unguarded = tt.unguarded
				cfg.Faults = append(cfg.Faults, tt.faults...)
				play(t, cfg)
			}
		})
	}
}

var restartDays = flag.Int("restart-days", 4, "how many days to draw in each of the tests of drawn restarts")

// workerFaults and processFaults are what drawnRestarts draws from: restarts of workers under their IDs
// and outages of the store, and losses and pauses of processes.
func workerFaults(rnd *rand.Rand) []func(*World) {
	lasts := time.Duration(10+rnd.IntN(1500)) * time.Millisecond
	worker, count := rnd.IntN(48), 1+rnd.IntN(4)
	kind := []Kind{largeKind, smallKind}[rnd.IntN(2)]
	return []func(*World){
		RestartWorkers(worker, count, lasts, kind),
		RestartWorkers(worker, count, lasts/20, kind),
		DrainAndRestart(worker, 2*time.Second, lasts),
		StoreDown(2 * lasts),
		BlockStore(rnd.IntN(8), 2*lasts),
	}
}

func processFaults(rnd *rand.Rand) []func(*World) {
	lasts := time.Duration(10+rnd.IntN(1500)) * time.Millisecond
	vm := rnd.IntN(8)
	return []func(*World){Kill(vm, lasts), killPlanner, PowerOff(vm, lasts), Suspend(vm, lasts), ResetSessions(vm)}
}

// playDrawnRestarts plays days of two kinds of workers on which faults come in series and overlap.
// Two classes of three require one of the kinds.
func playDrawnRestarts(t *testing.T, unguarded bool, draw func(*rand.Rand) []func(*World)) {
	for day := range *restartDays {
		t.Run(fmt.Sprint("day ", day), func(t *testing.T) {
			t.Parallel()
			rnd := rand.New(rand.NewPCG(uint64(day), 9))
			cfg := lightDay(uint64(day) + 1)
			cfg.Length, cfg.Unguarded = 14*time.Second, unguarded
			cfg.Kinds = []Kind{largeKind, smallKind}
			cfg.Classes[0].Label, cfg.Classes[1].Label = largeKind.Name, smallKind.Name
			cfg.Classes[1].CPU, cfg.Classes[1].MaxCPU = 14000, 21000
			for at := time.Second; at < 12*time.Second; at += time.Duration(rnd.IntN(700)) * time.Millisecond {
				faults := draw(rnd)
				cfg.Faults = append(cfg.Faults, Fault{at, faults[rnd.IntN(len(faults))]})
			}
			play(t, cfg)
		})
	}
}

func allFaults(rnd *rand.Rand) []func(*World) {
	return append(workerFaults(rnd), processFaults(rnd)...)
}

// Guards against the same where restarts, lost processes and outages of the store come in series and
// overlap.
func TestDrawnRestarts(t *testing.T) {
	t.Parallel()
	playDrawnRestarts(t, false, allFaults)
}

// Guards against tasks beyond the capacity of a worker that has restarted with less, while the store is
// away now and then.
func TestDrawnRestartsUnguarded(t *testing.T) {
	t.Parallel()
	playDrawnRestarts(t, true, workerFaults)
}

// Guards against the same while processes are lost. A new holder counts runs whose owner is lost, and
// which it stops, as needing nothing.
func TestDrawnRestartsUnguardedWithLostProcesses(t *testing.T) {
	t.Parallel()
	playDrawnRestarts(t, true, allFaults)
}

// Guards against tasks beyond the capacity of workers that have not restarted, while processes are lost.
func TestDrawnLossesUnguarded(t *testing.T) {
	t.Parallel()
	playDrawnRestarts(t, true, processFaults)
}

// Guards against a drain that outlives its incarnation: once all workers were restarted as
// planned under their IDs, no job would be served.
func TestDrainedWorkersServeAfterTheirRestart(t *testing.T) {
	t.Parallel()
	cfg := lightDay(1)
	cfg.Length = 12 * time.Second
	workers := 48
	for i := range workers {
		at := time.Duration(500+150*i) * time.Millisecond
		cfg.Faults = append(cfg.Faults, Fault{at, DrainAndRestart(i, 2*time.Second, 300*time.Millisecond)})
	}
	r := play(t, cfg)
	for _, c := range r.Classes {
		if c.Share() < 0.8 {
			t.Errorf("%s: share %.3f, want 0.8", c.Name, c.Share())
		}
	}
}
