package model

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	rows     = flag.Int("rows", 2, "how many days with losses in a row are played, and half as many with cells")
	firstRow = flag.Uint64("first-row", 1, "the seed of the first of them")
)

// rowDay is a day of long jobs on which, again and again, a process is lost and, before that
// is noticed or just after, one or two further ones: without power, frozen, cut off, killed,
// or only late with their heartbeats and back in between. Each data centre has the VMs given,
// or as many as ever.
func rowDay(seed uint64, vms int) Config {
	rnd := rand.New(rand.NewPCG(seed, 7))
	cfg := long(seed)
	cfg.Length, cfg.Load = 20*time.Second, 0.9
	if seed%2 == 0 {
		cfg.DelayedCallShare = 0.2
	}
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rnd.Int64N(int64(most-least)))
	}
	away := func() time.Duration { return between(700*time.Millisecond, 4*time.Second) }
	losses := []func(vm int) func(*World){
		func(vm int) func(*World) { return PowerOff(vm, away()) },
		func(vm int) func(*World) { return Freeze(vm, away()) },
		func(vm int) func(*World) { return Cut(vm, away()) },
		func(vm int) func(*World) { return Kill(vm, away()) },
		func(vm int) func(*World) { return Freeze(vm, between(260*time.Millisecond, 900*time.Millisecond)) },
	}
	all := 0
	for i := range cfg.DataCenters {
		dc := &cfg.DataCenters[i]
		dc.VMs = max(dc.VMs, vms)
		all += dc.VMs
	}
	for at := time.Second; at < cfg.Length; at += between(2*time.Second, 5*time.Second) {
		next := at
		for range 2 + rnd.IntN(2) {
			cfg.Faults = append(cfg.Faults, Fault{next, losses[rnd.IntN(len(losses))](rnd.IntN(all))})
			next += between(50*time.Millisecond, 1250*time.Millisecond)
		}
	}
	return cfg
}

// The process that took in a job is lost, and the holder of its runs before or just after that
// is noticed. What the holder had renewed runs on; a caller who notices the first loss at once
// comes back, and its tasks must not run twice at once.
func TestLossesInARow(t *testing.T) {
	t.Parallel()
	for i := range *rows {
		r := play(t, rowDay(*firstRow+uint64(i), 0))
		t.Logf("seed %d: worth %.3f", *firstRow+uint64(i), r.Worth)
	}
}

// The same where each data centre is a cell: owners and holders of a run may be in two cells,
// which elect their planners by themselves.
func TestLossesInARowWithCells(t *testing.T) {
	t.Parallel()
	for i := range (*rows + 1) / 2 {
		cfg := rowDay(*firstRow+uint64(i), 33)
		cfg.Length, cfg.Load = 8*time.Second, 0.6
		r := play(t, cfg)
		t.Logf("seed %d: worth %.3f", *firstRow+uint64(i), r.Worth)
	}
}
