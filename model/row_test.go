package model

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	rowDays  = flag.Int("rows", 2, "how many days with losses in a row are played, and half as many with cells")
	firstRow = flag.Uint64("first-row", 1, "the seed of the first of them")
)

// rowDay returns a day of long jobs on which processes are lost in series: one is lost and, before
// that is noticed or just after, one or two more. They lose power, freeze, are cut off, are
// killed, or are only late with their heartbeats and recover in between. Each data centre has at
// least the given number of VMs.
func rowDay(seed uint64, vms int) Config {
	rnd := rand.New(rand.NewPCG(seed, 7))
	cfg := longJobDay(seed)
	cfg.Length, cfg.Load = 20*time.Second, 0.9
	if seed%2 == 0 {
		cfg.DelayedCallShare = 0.2
	}
	randomDuration := func(low, high time.Duration) time.Duration {
		return low + time.Duration(rnd.Int64N(int64(high-low)))
	}
	downtime := func() time.Duration { return randomDuration(700*time.Millisecond, 4*time.Second) }
	losses := []func(vm int) func(*World){
		func(vm int) func(*World) { return PowerOff(vm, downtime()) },
		func(vm int) func(*World) { return Suspend(vm, downtime()) },
		func(vm int) func(*World) { return IsolateVM(vm, downtime()) },
		func(vm int) func(*World) { return Kill(vm, downtime()) },
		func(vm int) func(*World) {
			return Suspend(vm, randomDuration(260*time.Millisecond, 900*time.Millisecond))
		},
	}
	all := 0
	for i := range cfg.DataCenters {
		dc := &cfg.DataCenters[i]
		dc.VMs = max(dc.VMs, vms)
		all += dc.VMs
	}
	for at := time.Second; at < cfg.Length; at += randomDuration(2*time.Second, 5*time.Second) {
		next := at
		for range 2 + rnd.IntN(2) {
			cfg.Faults = append(cfg.Faults, Fault{next, losses[rnd.IntN(len(losses))](rnd.IntN(all))})
			next += randomDuration(50*time.Millisecond, 1250*time.Millisecond)
		}
	}
	return cfg
}

// The process that took a job is lost, and the holder of its runs just before or after that is
// noticed. What the holder had renewed runs on. A caller who notices the first loss at once
// retries, and its tasks must not run twice at once.
func TestLossesInARow(t *testing.T) {
	t.Parallel()
	for i := range *rowDays {
		r := play(t, rowDay(*firstRow+uint64(i), 0))
		t.Logf("seed %d: worth %.3f", *firstRow+uint64(i), r.Worth)
	}
}

// The same where each data centre is a cell: the owner and the holder of a run may be in two
// cells, which elect their planners independently.
func TestLossesInARowWithCells(t *testing.T) {
	t.Parallel()
	for i := range (*rowDays + 1) / 2 {
		cfg := rowDay(*firstRow+uint64(i), 33)
		cfg.Length, cfg.Load = 8*time.Second, 0.6
		r := play(t, cfg)
		t.Logf("seed %d: worth %.3f", *firstRow+uint64(i), r.Worth)
	}
}
