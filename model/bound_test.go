package model

import (
	"slices"
	"testing"
	"time"

	"snipehub.example/lease"
)

// minus returns the difference of each part to that of o.
func (p Parts) minus(o Parts) Parts {
	return Parts{p.Whole - o.Whole, p.Windows - o.Windows, p.Class - o.Class, p.DataCenter - o.DataCenter}
}

// checkBounds checks that no part of what was earned exceeds the bounds.
func checkBounds(t *testing.T, name string, c Comparison) {
	t.Helper()
	for _, b := range []struct {
		name   string
		margin Parts
	}{
		{"bound", c.Bound.minus(c.Result.Parts)},
		{"outages", c.Outages.minus(c.Result.Parts)},
		{"outages under the bound", c.Bound.minus(c.Outages)},
	} {
		if p := b.margin; min(p.Whole, p.Windows, p.Class, p.DataCenter) < -1e-9 {
			t.Errorf("%s: %s: earned %v, bound %v, with outages %v", name, b.name, c.Result.Parts, c.Bound, c.Outages)
		}
	}
	if b := c.Bound; max(b.Whole, b.Windows, b.Class, b.DataCenter) > 1+1e-9 {
		t.Errorf("%s: bound above the whole worth: %v", name, b)
	}
}

// On no day may the real decisions earn more than the bound. On a calm day, where nothing is
// scarce, the bound must be all of the worth.
func TestNobodySurpassesTheBound(t *testing.T) {
	t.Parallel()
	for _, d := range Days {
		cfg := Kioskopskrba()
		cfg.Seed = 2
		d.Apply(&cfg)
		cfg.Length, cfg.Tail = min(cfg.Length, 8*time.Second), 4*time.Second
		c := Compare(cfg)
		checkBounds(t, d.Name, c)
		if bound, got := Bound(cfg), New(cfg).Run().Worth; got != c.Result.Worth || bound != c.Bound.Whole {
			t.Errorf("%s: earned %.4f and bound %.4f by themselves, %.4f and %.4f together", d.Name, got, bound, c.Result.Worth, c.Bound.Whole)
		}
		if d.Name == "calm" && c.Bound.Whole < 0.999 {
			t.Errorf("bound of a calm day %.4f, want at least 0.999", c.Bound.Whole)
		}
	}
}

// The same for days with drawn faults and more load than the workers can serve, where the bound
// is below the whole worth.
func TestNobodySurpassesTheBoundOfDrawnDays(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		cfg := drawnDay(seed + 1)
		cfg.Load *= 1 + float64(seed)
		c := Compare(cfg)
		t.Logf("seed %d: earned %.3f, bound %.3f, with outages %.3f", seed+1, c.Result.Parts, c.Bound, c.Outages)
		checkBounds(t, "drawn", c)
	}
}

// One worker serves jobs whose only task takes a little more than half of it. By cores almost
// two fit at a time, but tasks are indivisible, so only one does.
func TestBoundKnowsWholeTasks(t *testing.T) {
	cfg := Config{
		Seed:        1,
		DataCenters: []DataCenter{{Name: "a", VMs: 1, Workers: 1, Callers: 1}},
		Kinds:       []Kind{{Speed: 1, Resources: lease.Resources{CPU: 20000, Memory: 1000}}},
		Classes: []Class{{
			Name: "half", PerSecond: 20, Work: 100 * time.Millisecond, MaxWork: 100 * time.Millisecond, Width: 1, MaxWidth: 1,
			CPU: 11000, MaxCPU: 11000, Memory: 1, Objective: 100 * time.Millisecond, Stretch: 1.5, Attempts: 2, Worth: 1, Late: 0.2,
		}},
		Lead: 2 * time.Second, Length: 10 * time.Second, Tail: 2 * time.Second,
	}
	c := Compare(cfg)
	checkBounds(t, "half", c)
	// Ten of twenty jobs a second are in time, plus a few at the ends; the rest are late.
	if b := c.Bound.Whole; b < 0.55 || b > 0.68 {
		t.Errorf("bound %.3f, want 0.55 to 0.68; earned %.3f", b, c.Result.Worth)
	}
}

// While no process is up, no caller can submit a job or be answered. Callers who find no process
// retry 1.3 seconds later, which is too late for most.
func TestBoundOfAnOutage(t *testing.T) {
	cfg := lightDay(1)
	cfg.Faults = []Fault{{4 * time.Second, PowerOffAll(time.Second)}}
	c := Compare(cfg)
	checkBounds(t, "outage", c)
	if c.Bound.Whole < 0.999 || c.Outages.Whole > 0.93 || c.Outages.Windows > 0.8 {
		t.Errorf("bound %.3f, with outages %.3f, in the worst windows %.3f", c.Bound.Whole, c.Outages.Whole, c.Outages.Windows)
	}
}

// The period in which a caller can submit and be answered, around a time without any process.
func TestAnswerPeriodAroundOutage(t *testing.T) {
	const ms = time.Millisecond
	line := timeline{alive: slices.Concat(slices.Repeat([]bool{true}, 50), slices.Repeat([]bool{false}, 50), slices.Repeat([]bool{true}, 200))}
	tests := []struct {
		name              string
		begin, last       time.Duration
		wantFirst, wantTo time.Duration
	}{
		{"long before", 100 * ms, 600 * ms, 100 * ms, 600 * ms},
		{"lost while it waits", 900 * ms, 1400 * ms, 900 * ms, 1000 * ms},
		{"lost, but there is time to ask again", 900 * ms, 2500 * ms, 900 * ms, 2500 * ms},
		{"nobody there, too late", 1500 * ms, 2500 * ms, 2500 * ms, 2500 * ms},
		{"nobody there, in time", 1500 * ms, 3500 * ms, 2800 * ms, 3500 * ms},
		{"after", 2100 * ms, 2600 * ms, 2100 * ms, 2600 * ms},
	}
	for _, tt := range tests {
		first, end := line.answerPeriod(tt.begin, tt.last)
		if first != tt.wantFirst || end != tt.wantTo {
			t.Errorf("%s: %v to %v, want %v to %v", tt.name, first, end, tt.wantFirst, tt.wantTo)
		}
	}
}

// Two jobs need the whole machine in the same two slots. The one with more worth for its work is
// done whole, and half of the other.
func TestBoundTakesTheMostValuable(t *testing.T) {
	capacity := []float64{10, 10, 10}
	first := &workload{fromSlot: 0, toSlot: 2, demand: 15, gain: 2}
	second := &workload{fromSlot: 0, toSlot: 2, demand: 10, gain: 1}
	first.fitShare([]*workload{first}, capacity)
	second.fitShare([]*workload{first, second}, capacity)
	if first.share != 1 || second.share < 0.48 || second.share > 0.5 {
		t.Errorf("shares %v and %v, want 1 and a half", first.share, second.share)
	}
	if got := maxGain([]*workload{first, second}, capacity); got < 2.5 || got > 2.51 {
		t.Errorf("gained %v, want 2 and a half of 1", got)
	}
}
