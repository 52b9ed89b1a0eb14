package model

import (
	"testing"
	"time"
)

// The bound must not be surpassed by what the real decisions earn, on any day, and must be
// all of the worth where nothing is scarce.
func TestNobodySurpassesTheBound(t *testing.T) {
	for _, d := range Days {
		cfg := Kioskopskrba()
		cfg.Seed = 2
		d.Apply(&cfg)
		cfg.Length, cfg.Tail = min(cfg.Length, 8*time.Second), 4*time.Second
		bound, got := Bound(cfg), New(cfg).Run().Worth
		if got > bound+0.002 || bound > 1.0001 {
			t.Errorf("%s: earned %.4f, the bound is %.4f", d.Name, got, bound)
		}
		if d.Name == "calm" && bound < 0.999 {
			t.Errorf("a calm day can't be served whole: %.4f", bound)
		}
	}
}

// Two jobs want the whole machine in the same two slots; only the one with more worth for
// its work can be done, and half of the other.
func TestBoundTakesTheMostValuable(t *testing.T) {
	capacity := []float64{10, 10, 10}
	first := &load{from: 0, to: 2, demand: 15, worth: 2}
	second := &load{from: 0, to: 2, demand: 10, worth: 1}
	first.fit([]*load{first}, capacity)
	second.fit([]*load{first, second}, capacity)
	if first.share != 1 || second.share < 0.48 || second.share > 0.5 {
		t.Errorf("shares %v and %v, want 1 and a half", first.share, second.share)
	}
}
