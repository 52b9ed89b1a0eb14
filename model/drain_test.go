package model

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"snipehub.example/node"
)

var allDrains = flag.Bool("all-drains", false, "play each fault after a drain at 46 moments of the reads of the store, and each one around an evacuation at 12")

// onAll applies a fault to each VM that match selects, given the planner's VM.
func onAll(match func(planner, n *vm) bool, do func(vm int) func(*World)) func(*World) {
	return func(w *World) {
		planner := w.victim(true)
		for _, n := range w.vms {
			if match(planner, n) {
				do(n.index)(w)
			}
		}
	}
}

func isPlanner(planner, n *vm) bool         { return n == planner }
func inItsDataCenter(planner, n *vm) bool   { return n.dc == planner.dc }
func readsList(_, n *vm) bool               { return n.core.ListReading() != (node.ListReading{}) }
func threeInFour(planner, n *vm) bool       { return n == planner || n.index%4 != 0 }
func allInOtherDCs(planner, n *vm) bool     { return n.dc != planner.dc }
func blockStore(vm int) func(*World)        { return BlockStore(vm, 5*time.Second) }
func suspend(vm int) func(*World)           { return Suspend(vm, 3300*time.Millisecond) }
func isolate(vm int) func(*World)           { return IsolateVM(vm, 3300*time.Millisecond) }
func blockStoreBriefly(vm int) func(*World) { return BlockStore(vm, 3300*time.Millisecond) }

// drainFaults are the faults of a planner, or of whoever reads the list of workers for it, that
// come just after workers have announced that they drain.
var drainFaults = []struct {
	name   string
	faults []Fault
	// cutOff is set if processes that go on are cut off from whoever could tell them.
	cutOff bool
}{
	{"nothing", nil, false},
	{"planner loses the store", []Fault{{0, onAll(isPlanner, blockStore)}}, false},
	{"planner's data centre loses the store", []Fault{{0, onAll(inItsDataCenter, blockStore)}}, false},
	{"three processes of four lose the store", []Fault{{0, onAll(threeInFour, blockStore)}}, false},
	{"planner loses the store, then the rest of its data centre does", []Fault{
		{-time.Second, onAll(isPlanner, blockStore)},
		{0, onAll(inItsDataCenter, blockStore)},
	}, false},
	{"planner loses the store, then whoever reads for it does", []Fault{
		{-3500 * time.Millisecond, onAll(isPlanner, blockStore)},
		{0, onAll(readsList, blockStore)},
	}, false},
	{"planner loses the store, then its sessions are reset", []Fault{
		{-3500 * time.Millisecond, onAll(isPlanner, blockStore)},
		{10 * time.Millisecond, onAll(isPlanner, ResetSessions)},
		{200 * time.Millisecond, onAll(isPlanner, ResetSessions)},
	}, false},
	{"planner is suspended", []Fault{{0, onAll(isPlanner, suspend)}}, false},
	{"planner's data centre is suspended", []Fault{{0, onAll(inItsDataCenter, suspend)}}, false},
	{"all others are suspended", []Fault{{0, onAll(allInOtherDCs, suspend)}}, false},
	{"planner is cut off from all and the store", []Fault{{0, onAll(isPlanner, isolate)}, {0, onAll(isPlanner, blockStoreBriefly)}}, true},
	{"planner's data centre is cut off from all and the store", []Fault{{0, func(w *World) {
		IsolateDataCenter(w.victim(true).dc, false, 3300*time.Millisecond)(w)
	}}}, true},
	{"planner is killed, and the next one loses the store", []Fault{
		{0, onAll(isPlanner, func(vm int) func(*World) { return Kill(vm, 4*time.Second) })},
		{50 * time.Millisecond, onAll(isPlanner, blockStore)},
	}, false},
}

// playDrain plays a day on which twelve workers announce that they drain, one every 40 ms, and a
// fault comes just after the last of them. The seed also moves the fault against the reads of
// the store: the longest of them waits for two seconds.
func playDrain(t *testing.T, seed int, processes []int, bound time.Duration, faults []Fault) time.Duration {
	cfg := Lakeshore()
	cfg.Seed, cfg.Load, cfg.Length, cfg.Tail = uint64(seed), 0.6, 12*time.Second, time.Second
	for i, n := range processes {
		cfg.DataCenters[i].VMs = n
	}
	cfg.DrainBound = bound
	at := 5*time.Second + time.Duration(seed-1)*50*time.Millisecond
	for k := range 12 {
		cfg.Faults = append(cfg.Faults, Fault{at - time.Duration(k*40)*time.Millisecond, Retire(4*k, 7*time.Second)})
	}
	for _, f := range faults {
		cfg.Faults = append(cfg.Faults, Fault{at + f.At, f.Do})
	}
	return play(t, cfg).LastDrainedStart
}

// A worker announces that it drains, and just then the planner loses the store, does not run or is
// cut off. Tasks that are started there later are lost when the worker leaves, and their callers
// wait in vain.
func TestNoStartsOnDrainingWorkers(t *testing.T) {
	t.Parallel()
	deployments := []struct {
		name      string
		processes []int
		bound     time.Duration
		seeds     []int
		faults    int
	}{
		{"8 processes", []int{3, 3, 2}, 2 * time.Second, []int{7, 19, 31, 43}, len(drainFaults)},
		{"41 processes", []int{14, 14, 13}, 3 * time.Second, []int{33, 39}, 3},
	}
	for _, d := range deployments {
		if *allDrains {
			d.seeds, d.faults = nil, len(drainFaults)
			for seed := 1; seed <= 46; seed++ {
				d.seeds = append(d.seeds, seed)
			}
		}
		for _, tt := range drainFaults[:d.faults] {
			t.Run(fmt.Sprintf("%s, %s", d.name, tt.name), func(t *testing.T) {
				t.Parallel()
				last := time.Duration(0)
				for _, seed := range d.seeds {
					last = max(last, playDrain(t, seed, d.processes, d.bound, tt.faults))
				}
				if last > d.bound && !tt.cutOff {
					t.Errorf("a task was started on a worker that had drained for %v, want %v at most", last, d.bound)
				}
				t.Logf("%s: last start on a draining worker after %v", tt.name, last)
			})
		}
	}
}
